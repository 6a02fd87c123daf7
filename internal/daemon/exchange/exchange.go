// Package exchange holds what both kinds of agent share: how a core's decisions about
// packets are carried out, and what agents say to each other.
package exchange

import (
	"fmt"
	"slices"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// fillReceivedPacket fills in a packet and what its header says of how it came, reusing the
// arrival's memory.
func fillReceivedPacket(arrival *core.ReceivedPacket, header *datagram.Header, packet flow.Packet) {
	arrival.Packet = packet
	arrival.Service = fleet.ServiceID(header.Service)
	arrival.Revision = header.Revision
	arrival.Placed = header.Flags&datagram.Placed != 0
	arrival.Searched = header.Flags&datagram.Searched != 0
	arrival.Relayed = header.Flags&datagram.Relayed != 0
	arrival.Referred = header.Flags&datagram.Referred != 0
	arrival.LookedUp = header.Flags&datagram.Asked != 0
	arrival.FromAgent = header.From != header.Origin
	arrival.Visited = arrival.Visited[:0]
	for _, id := range header.Visited {
		arrival.Visited = append(arrival.Visited, fleet.InstanceID(id))
	}
}

// forwardHeader returns the header with which a packet is passed on. It uses the memory
// of visited, which must not be changed before the header is encoded.
func forwardHeader(n *node.Node, in *datagram.Header, action *core.Forward, visited []uint64) datagram.Header {
	visited = append(visited[:0], in.Visited...)
	if self := uint64(n.ID()); !action.Referred && !slices.Contains(visited, self) {
		visited = append(visited, self)
	}
	out := n.Header(datagram.Packet, action.Target.ID(), action.Target.Incarnation())
	out.Service = in.Service
	out.Revision = max(out.Revision, in.Revision)
	out.Origin, out.Reply = in.Origin, in.Reply
	out.Visited = visited
	out.Flags = forwardFlags(action) | in.Flags&(datagram.Relayed|datagram.Referred|datagram.Asked)
	return out
}

func forwardFlags(action *core.Forward) datagram.Flags {
	var flags datagram.Flags
	if action.Placed {
		flags |= datagram.Placed
	}
	if action.Searched {
		flags |= datagram.Searched
	}
	if action.Relayed {
		flags |= datagram.Relayed
	}
	if action.Referred {
		flags |= datagram.Referred
	}
	return flags
}

// decodeReport decodes a load report.
func decodeReport(body []byte) (core.Report, error) {
	var report core.Report
	if err := cbor.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("decode load report: %w", err)
	}
	return report, nil
}

// SendReport sends a load report to siblings.
func SendReport(n *node.Node, sender *node.Sender, logger log.Interface, report core.Report, siblings []*fleet.Target) {
	body, err := cbor.Marshal(&report)
	if err != nil {
		logger.WithError(fmt.Errorf("encode load report: %w", err)).Error("report")
		return
	}
	for _, sibling := range siblings {
		header := n.Header(datagram.Load, sibling.ID(), sibling.Incarnation())
		sender.QueueControl(&header, body, sibling.Data())
	}
	sender.Flush()
}

// decodeRegistration decodes the hashes of flows that an agent registers.
func decodeRegistration(body []byte) ([]uint64, error) {
	var flows []uint64
	if err := cbor.Unmarshal(body, &flows); err != nil {
		return nil, fmt.Errorf("decode registration: %w", err)
	}
	return flows, nil
}

// SendRegistrations tells other agents of flows.
func SendRegistrations(n *node.Node, sender *node.Sender, logger log.Interface, registrations []core.Registration) {
	for _, registration := range registrations {
		body, err := cbor.Marshal(registration.Flows)
		if err != nil {
			logger.WithError(fmt.Errorf("encode registration for %s: %w", registration.To.Name(), err)).Error("register")
			continue
		}
		header := n.Header(datagram.Register, registration.To.ID(), registration.To.Incarnation())
		sender.QueueControl(&header, body, registration.To.Data())
	}
	sender.Flush()
}

// retryHeader returns the header that stands for how an opening packet came that is
// handed on later.
func retryHeader(retry *core.Retry) datagram.Header {
	header := datagram.Header{Service: uint64(retry.Service)}
	for _, id := range retry.Visited {
		header.Visited = append(header.Visited, uint64(id))
	}
	return header
}
