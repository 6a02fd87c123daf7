package node

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/peer"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// probeSender sends probes from the control goroutine.
type probeSender struct {
	ctx    context.Context
	node   *Node
	sender *Sender
}

func newProbeSender(ctx context.Context, n *Node) (*probeSender, error) {
	sender, err := n.NewSender()
	if err != nil {
		return nil, err
	}
	return &probeSender{ctx: ctx, node: n, sender: sender}, nil
}

func (p *probeSender) send(probe control.Probe) {
	header := p.node.Header(datagram.Probe, probe.Node.ID(), probe.Incarnation)
	if probe.OnNewSocket {
		if err := p.sendFromNewSocket(&header, probe.Node.Data()); err != nil {
			p.node.counters.Add("drop_send_failed", 1)
			p.node.logger.WithError(err).Warn("probe")
		}
		return
	}
	p.sender.QueueControl(&header, nil, probe.Node.Data())
	p.sender.Flush()
}

// newSocketTimeout is how long a fresh socket waits for the answer to its probe.
const newSocketTimeout = 2 * time.Second

// sendFromNewSocket probes a peer from a socket that it has not seen yet. If the answer
// comes there, the usual path has gone silent and the socket replaces it.
func (p *probeSender) sendFromNewSocket(header *datagram.Header, to netip.AddrPort) error {
	conn, err := peer.Listen(p.ctx, netip.AddrPortFrom(p.node.dataEndpoint.Addr(), 0))
	if err != nil {
		return err
	}
	sender, err := p.node.newSender(peer.NewWriter(conn, peer.NewPaths()))
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	sender.QueueControl(header, nil, to)
	sender.Flush()
	receiver, err := p.node.newReceiver(conn, peer.NewSingleReader(conn))
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	expire := time.AfterFunc(newSocketTimeout, func() { _ = conn.Close() })
	receiver.onProbeReply = func() {
		if expire.Stop() {
			p.node.Enqueue(func(time.Time) []control.Output {
				p.node.replacePath(to, conn)
				return nil
			})
		}
	}
	go func() {
		for receiver.ReceiveBatch(func(*datagram.Header, []byte) {}) == nil {
		}
	}()
	return nil
}

// replacePath runs on the control goroutine.
func (n *Node) replacePath(to netip.AddrPort, conn *net.UDPConn) {
	n.counters.Add("path_replaced", 1)
	n.logger.WithField("event", "path_replaced").WithField("peer", to.String()).Info("control")
	if replaced := n.paths.Use(to, conn); replaced != nil {
		_ = replaced.Close()
	}
}

// Header returns a header from this node.
func (n *Node) Header(kind datagram.Kind, to fleet.InstanceID, incarnation uint64) datagram.Header {
	return datagram.Header{
		Kind:            kind,
		To:              uint64(to),
		ToIncarnation:   incarnation,
		From:            uint64(n.id),
		FromIncarnation: n.incarnation,
		Revision:        n.Load().Revisions().Highest(),
	}
}

// Receiver handles the datagrams of one traffic goroutine.
type Receiver struct {
	node   *Node
	codec  *datagram.Codec
	reader *peer.Reader
	sender *Sender
	header datagram.Header
	// onProbeReply is called when a probe is answered.
	onProbeReply func()
}

// NewReceiver returns a receiver of the node's datagram socket.
func (n *Node) NewReceiver() (*Receiver, error) {
	return n.newReceiver(n.socket, peer.NewReader(n.socket))
}

func (n *Node) newReceiver(socket *net.UDPConn, reader *peer.Reader) (*Receiver, error) {
	codec, err := n.NewCodec()
	if err != nil {
		return nil, err
	}
	sender, err := n.newSender(peer.NewWriter(socket, n.paths))
	if err != nil {
		return nil, err
	}
	return &Receiver{
		node:   n,
		codec:  codec,
		reader: reader,
		sender: sender,

		onProbeReply: func() {},
	}, nil
}

// ReceiveBatch reads one batch. It answers probes itself and passes every other
// datagram meant for this node to handle. The header is valid during the call.
func (r *Receiver) ReceiveBatch(handle func(header *datagram.Header, body []byte)) error {
	count, err := r.reader.Read()
	if err != nil {
		return err
	}
	for i := range count {
		body, err := r.codec.Decode(r.reader.Datagram(i), &r.header)
		if err != nil {
			r.node.counters.Add(dropCounter(err), 1)
			continue
		}
		if !r.isForThisNode() {
			continue
		}
		r.dispatch(body, r.reader.Source(i), handle)
	}
	return nil
}

func (r *Receiver) isForThisNode() bool {
	switch {
	case r.header.To != uint64(r.node.id):
		r.node.counters.Add("drop_wrong_instance", 1)
		return false
	case !r.node.acceptsAnyIncarnation && r.header.ToIncarnation != 0 && r.header.ToIncarnation != r.node.incarnation:
		r.node.counters.Add("drop_wrong_incarnation", 1)
		r.sendProbeReply(datagram.ProbeAnswer, netip.AddrPort{})
		return false
	}
	return true
}

func (r *Receiver) dispatch(body []byte, source netip.AddrPort, handle func(*datagram.Header, []byte)) {
	switch r.header.Kind {
	case datagram.Probe:
		r.sendProbeReply(datagram.ProbeAnswer, source)
	case datagram.ProbeAnswer:
		r.onProbeReply()
		id, incarnation, weight := fleet.InstanceID(r.header.From), r.header.FromIncarnation, decodeWeight(body)
		r.node.Enqueue(func(now time.Time) []control.Output {
			return r.node.controller.HandleProbeReply(now, id, incarnation, weight)
		})
	default:
		handle(&r.header, body)
	}
}

// sendProbeReply replies to the sender of the current datagram, at a source address or
// at its published one.
func (r *Receiver) sendProbeReply(kind datagram.Kind, to netip.AddrPort) {
	if !to.IsValid() {
		sender := r.node.Load().Node(fleet.InstanceID(r.header.From))
		if sender == nil {
			return
		}
		to = sender.Data()
	}
	header := r.node.Header(kind, fleet.InstanceID(r.header.From), r.header.FromIncarnation)
	r.sender.QueueControl(&header, r.node.encodeWeight(), to)
	r.sender.Flush()
}

// encodeWeight returns the body of an answer to a probe: the weight, or nothing if the node
// has none.
func (n *Node) encodeWeight() []byte {
	weight := n.weight.Load()
	if weight == 0 {
		return nil
	}
	return binary.BigEndian.AppendUint16(nil, uint16(weight))
}

func decodeWeight(body []byte) fleet.Weight {
	if len(body) != 2 {
		return 0
	}
	return fleet.Weight(binary.BigEndian.Uint16(body))
}

func dropCounter(err error) string {
	switch err {
	case datagram.ErrVersion:
		return "drop_header_version"
	case datagram.ErrTag:
		return "drop_authentication"
	case datagram.ErrSize:
		return "drop_oversized"
	case datagram.ErrVisited:
		return "drop_visited"
	}
	return "drop_undecodable"
}

// ProbeNow has a peer probed at once, since traffic to it goes unanswered.
func (n *Node) ProbeNow(id fleet.InstanceID) {
	n.Enqueue(func(now time.Time) []control.Output { return n.controller.SuspectPeer(now, id) })
}
