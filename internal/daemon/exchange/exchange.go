// Package exchange is the part that both kinds of agent share: the agent whose own network
// stack terminates flows, and the carrier, whose backend server terminates them. It
// executes the core's decisions about packets, and encodes and decodes the datagrams that
// agents exchange.
package exchange

import (
	"fmt"
	"slices"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// fillReceivedPacket fills received with a packet and the fields of its datagram header. A
// packet whose sender is not its origin comes from another agent, because a balancer sets
// itself as both the sender and the origin. The memory of received.Visited is reused.
func fillReceivedPacket(received *core.ReceivedPacket, header *datagram.Header, packet flow.Packet) {
	received.Packet = packet
	received.Service = fleet.ServiceID(header.Service)
	received.Origin = fleet.InstanceID(header.Origin)
	received.Revision = fleet.UnpackRevision(header.Revision)
	received.Placed = header.Flags&datagram.Placed != 0
	received.Searched = header.Flags&datagram.Searched != 0
	received.Relayed = header.Flags&datagram.Relayed != 0
	received.Referred = header.Flags&datagram.Referred != 0
	received.LookedUp = header.Flags&datagram.LookedUp != 0
	received.Polled = header.Flags&datagram.Polled != 0
	received.Waited = header.Flags&datagram.Waited != 0
	received.Evidence = ownership.Evidence{}
	received.Sender = fleet.InstanceID(header.From)
	received.FromAgent = header.From != header.Origin
	received.Visited = received.Visited[:0]
	for _, id := range header.Visited {
		received.Visited = append(received.Visited, fleet.InstanceID(id))
	}
}

// forwardHeader returns the header with which a packet is forwarded. in is the header with
// which it was received. The origin and the reply endpoint stay as received. The flags are
// those that the core sets; Relayed, Referred, LookedUp and Waited also stay set if the packet
// came with them. The revision is the higher of this agent's and the one received.
//
// This agent is added to Visited, except when the core refers the packet to the
// registered owner of its flow: it has then not checked whether its own backend server holds the
// flow, and does not count as visited.
//
// The result's Visited uses the memory of visited, which must not be changed before the
// header is encoded.
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
	out.Flags = forwardFlags(action) | in.Flags&(datagram.Relayed|datagram.Referred|datagram.LookedUp|datagram.Waited)
	return out
}

// forwardFlags returns the flags that the core sets on a forwarded packet.
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
	if action.Waited {
		flags |= datagram.Waited
	}
	return flags
}

// decodeReport decodes a load report. It fails if body is not the CBOR encoding of one.
func decodeReport(body []byte) (core.Report, error) {
	var report core.Report
	if err := cbor.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("decode load report: %w", err)
	}
	return report, nil
}

// SendReport sends a load report to siblings. A report that cannot be encoded is logged
// and not sent.
func SendReport(n *node.Node, sender *node.Sender, logger log.Interface, report core.Report, siblings []*fleet.Target) {
	body, err := cbor.Marshal(&report)
	if err != nil {
		logger.WithError(fmt.Errorf("encode load report: %w", err)).Error("load report not sent; siblings use the previous one until it expires")
		return
	}
	for _, sibling := range siblings {
		header := n.Header(datagram.LoadReport, sibling.ID(), sibling.Incarnation())
		sender.QueueControl(&header, body, sibling.Data())
	}
	sender.Flush()
}

// decodeRegistration decodes the hashes of the flows that an agent registers as its own. It
// fails if body is not a CBOR array of integers.
func decodeRegistration(body []byte) ([]uint64, error) {
	var flows []uint64
	if err := cbor.Unmarshal(body, &flows); err != nil {
		return nil, fmt.Errorf("decode registration: %w", err)
	}
	return flows, nil
}

// SendRegistrations registers flows that this agent owns with other agents. A registration
// that cannot be encoded is logged and not sent.
func SendRegistrations(n *node.Node, sender *node.Sender, logger log.Interface, registrations []core.Registration) {
	for _, registration := range registrations {
		body, err := cbor.Marshal(registration.Flows)
		if err != nil {
			logger.WithError(fmt.Errorf("encode registration for %s: %w", registration.Target.Name(), err)).Error("registration not sent; continuing with the next agent")
			continue
		}
		header := n.Header(datagram.Registration, registration.Target.ID(), registration.Target.Incarnation())
		sender.QueueControl(&header, body, registration.Target.Data())
	}
	sender.Flush()
}

// openingHeader returns the header of an opening packet that the core has kept. The
// core keeps only the packet's service and the agents it has visited, so all other
// fields are zero.
func openingHeader(resolution *core.Resolution) datagram.Header {
	header := datagram.Header{Service: uint64(resolution.Service)}
	for _, id := range resolution.Visited {
		header.Visited = append(header.Visited, uint64(id))
	}
	return header
}
