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

// probeSender sends probes to peers. Only the control goroutine may use it.
type probeSender struct {
	// ctx cancels the opening of a new socket when the daemon stops.
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

// send sends a probe, from the socket in use for the peer or from a new one. A probe that is
// not sent counts as missed, because no reply arrives.
func (p *probeSender) send(probe control.Probe) {
	header := p.node.Header(datagram.Probe, probe.Node.ID(), probe.Incarnation)
	if probe.OnNewSocket {
		if err := p.sendFromNewSocket(&header, probe.Node.Data()); err != nil {
			p.node.counters.Add("drop_send_failed", 1)
			p.node.logger.WithError(err).Warn("probe from a new socket not sent; it counts as missed")
		}
		return
	}
	p.sender.QueueControl(&header, nil, probe.Node.Data())
	p.sender.Flush()
}

// newSocketTimeout is how long a new socket waits for the reply to its probe before it is
// closed.
const newSocketTimeout = 2 * time.Second

// sendFromNewSocket probes a peer from a socket with a new port. A reply to that socket
// shows that the peer runs and that only the path from the socket in use has failed. The new
// socket then replaces it for this peer.
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
			p.node.enqueueEvent(p.ctx, func(time.Time) []control.Output {
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

// replacePath sends all datagrams to a peer through a socket from now on, and closes the
// separate socket that was used for the peer before, if there was one. Only the control
// goroutine may call it.
func (n *Node) replacePath(to netip.AddrPort, conn *net.UDPConn) {
	n.counters.Add("path_replaced", 1)
	n.logger.WithField("event", "path_replaced").WithField("peer", to.String()).Info("control")
	if replaced := n.paths.SetSocket(to, conn); replaced != nil {
		_ = replaced.Close()
	}
}

// Header returns the header of a datagram from this node to an instance. incarnation is the
// receiver's; zero addresses any incarnation of the instance.
func (n *Node) Header(kind datagram.Kind, to fleet.InstanceID, incarnation uint64) datagram.Header {
	return datagram.Header{
		Kind:            kind,
		To:              uint64(to),
		ToIncarnation:   incarnation,
		From:            uint64(n.id),
		FromIncarnation: n.Incarnation(),
		Revision:        n.View().Revisions().Highest().Pack(),
	}
}

// Receiver reads and decodes the datagrams that reach a socket. It is not safe for
// concurrent use: each traffic goroutine has its own.
type Receiver struct {
	node   *Node
	codec  *datagram.Codec
	reader *peer.Reader
	sender *Sender
	// header is that of the datagram being processed.
	header datagram.Header
	// onProbeReply is called for each reply to a probe.
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

// ReceiveBatch reads and processes one batch of datagrams. It replies to probes itself and
// calls handle with every other datagram that is addressed to this node; the header is valid
// only during the call. A datagram that cannot be decoded or is addressed to another process
// is dropped and counted. ReceiveBatch fails if the socket cannot be read.
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
		if !r.checkAddressee() {
			continue
		}
		r.dispatch(body, r.reader.Source(i), handle)
	}
	return nil
}

// checkAddressee reports whether the current datagram is addressed to this node. If not, it
// counts the datagram as dropped. The sender of a datagram for another incarnation also gets a
// probe reply, which contains the current incarnation.
func (r *Receiver) checkAddressee() bool {
	switch {
	case r.header.To != uint64(r.node.id):
		r.node.counters.Add("drop_wrong_instance", 1)
		return false
	case !r.node.acceptsAnyIncarnation && r.header.ToIncarnation != 0 && r.header.ToIncarnation != r.node.Incarnation():
		r.node.counters.Add("drop_wrong_incarnation", 1)
		r.sendProbeReply(datagram.ProbeReply, netip.AddrPort{})
		return false
	}
	return true
}

// dispatch processes the current datagram: it replies to a probe, passes a probe reply to the
// controller, and passes any other datagram to handle.
func (r *Receiver) dispatch(body []byte, source netip.AddrPort, handle func(*datagram.Header, []byte)) {
	switch r.header.Kind {
	case datagram.Probe:
		r.sendProbeReply(datagram.ProbeReply, source)
	case datagram.ProbeReply:
		r.onProbeReply()
		id, incarnation, weight := fleet.InstanceID(r.header.From), r.header.FromIncarnation, decodeWeight(body)
		r.node.Enqueue(func(now time.Time) []control.Output {
			return r.node.controller.HandleProbeReply(now, id, incarnation, weight)
		})
	default:
		handle(&r.header, body)
	}
}

// sendProbeReply replies to the sender of the current datagram. It sends the reply to the
// endpoint to or, if to is the zero value, to the endpoint that the view lists for the
// sender. Without either it sends nothing.
func (r *Receiver) sendProbeReply(kind datagram.Kind, to netip.AddrPort) {
	if !to.IsValid() {
		sender := r.node.View().Node(fleet.InstanceID(r.header.From))
		if sender == nil {
			return
		}
		to = sender.Data()
	}
	header := r.node.Header(kind, fleet.InstanceID(r.header.From), r.header.FromIncarnation)
	r.sender.QueueControl(&header, r.node.encodeWeight(), to)
	r.sender.Flush()
}

// encodeWeight returns the body of a probe reply: the node's weight as two bytes in big-endian
// order, or nil if it has none.
func (n *Node) encodeWeight() []byte {
	weight := n.weight.Load()
	if weight == 0 {
		return nil
	}
	return binary.BigEndian.AppendUint16(nil, uint16(weight))
}

// decodeWeight returns the weight in the body of a probe reply, or zero if there is none.
func decodeWeight(body []byte) fleet.Weight {
	if len(body) != 2 {
		return 0
	}
	return fleet.Weight(binary.BigEndian.Uint16(body))
}

// dropCounter returns the name of the counter for a datagram that could not be decoded.
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

// ProbeNow makes the controller probe a peer without waiting for the next scheduled probe,
// unless a reply is pending or the peer has already missed too many probes. It is called when
// the peer has not responded to traffic.
func (n *Node) ProbeNow(id fleet.InstanceID) {
	n.Enqueue(func(now time.Time) []control.Output { return n.controller.ProbePeer(now, id) })
}
