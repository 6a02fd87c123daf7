// Package caller terminates the TCP and UDP flows of callers in a user-space network
// stack. It takes and returns packets as bytes and provides each flow as a connection.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/tcpip/transport/udp"
	"gvisor.dev/gvisor/pkg/waiter"

	"github.com/radishmast/radishmast/internal/core/flow"
)

const (
	// MTU is the size of the largest packet that the stack sends, in bytes. It leaves
	// room for the header of the datagrams that carry packets between processes.
	MTU = 1400

	// outputQueueLength is the maximum number of packets to callers that the stack queues.
	// It drops further packets.
	outputQueueLength = 4096
	// maxHandshakes is the maximum number of TCP requests that are pending at the same
	// time, that is, not yet accepted or abandoned. The stack ignores further opening
	// packets.
	maxHandshakes = 4096
	// timeWait is how long a closed TCP flow stays in the state TIME-WAIT.
	timeWait = time.Second
	// nicID identifies the only network interface of the stack.
	nicID = 1

	// callerTimeout is how long a caller may leave data or keepalive probes unacknowledged
	// before its TCP flow is closed. It is longer than a network outage between data
	// centres, which may last minutes.
	callerTimeout = 10 * time.Minute
	// keepaliveIdle is how long a flow is idle before the first keepalive probe.
	keepaliveIdle = time.Minute
	// keepaliveInterval is the time between two keepalive probes.
	keepaliveInterval = 30 * time.Second
	// keepaliveCount is the number of unanswered keepalive probes after which a flow is
	// closed, so that it is closed after callerTimeout.
	keepaliveCount = int((callerTimeout - keepaliveIdle) / keepaliveInterval)

	// maxRetransmissionTimeout caps the time between two retransmissions. While a balancer
	// is down, part of the acknowledgements is lost, and uncapped exponential backoff
	// would stop the transfer on a flow for a long time.
	maxRetransmissionTimeout = 2 * time.Second
	// maxRetries is the number of retransmissions within callerTimeout.
	maxRetries = uint64(callerTimeout / maxRetransmissionTimeout)
)

// Handler handles requests for new flows.
type Handler interface {
	// Serve is called in a new goroutine for each flow that a caller opens. It must call
	// Accept or Abandon on the request.
	Serve(request *Request)
}

// Stack is a user-space network stack that terminates the flows of all service addresses.
type Stack struct {
	stack   *stack.Stack
	nic     *channel.Endpoint
	handler Handler
}

// New returns a stack that accepts packets to any address and passes new flows to handler.
func New(handler Handler) (*Stack, error) {
	s := &Stack{
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol, udp.NewProtocol},
		}),
		nic:     channel.New(outputQueueLength, MTU, ""),
		handler: handler,
	}
	if err := s.configure(); err != nil {
		return nil, err
	}
	forwarder := tcp.NewForwarder(s.stack, 0, maxHandshakes, s.serveTCP)
	s.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, forwarder.HandlePacket)
	s.stack.SetTransportProtocolHandler(udp.ProtocolNumber, udp.NewForwarder(s.stack, s.serveUDP).HandlePacket)
	return s, nil
}

// configure creates the network interface, with a route for all addresses, and sets the TCP
// options. The interface accepts packets to any address (promiscuous mode) and sends from
// any address (spoofing).
func (s *Stack) configure() error {
	if err := s.stack.CreateNIC(nicID, s.nic); err != nil {
		return fmt.Errorf("create network interface: %s", err)
	}
	if err := s.stack.SetPromiscuousMode(nicID, true); err != nil {
		return fmt.Errorf("set promiscuous mode: %s", err)
	}
	if err := s.stack.SetSpoofing(nicID, true); err != nil {
		return fmt.Errorf("set spoofing: %s", err)
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	maxTimeout := tcpip.TCPMaxRTOOption(maxRetransmissionTimeout)
	retries := tcpip.TCPMaxRetriesOption(maxRetries)
	return errors.Join(SetTCPOptions(s.stack), applyTCPOptions(s.stack, &maxTimeout, &retries))
}

// SetTCPOptions sets the TCP options for a gVisor stack at either end of a flow: in the agent
// or at the caller. It disables the stack's RACK loss detection: after the acknowledgements
// of a tail loss probe were lost, the sender did not set its retransmission timer again, and
// the flow stalled for good.
func SetTCPOptions(s *stack.Stack) error {
	sack := tcpip.TCPSACKEnabled(true)
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	moderate := tcpip.TCPModerateReceiveBufferOption(true)
	noRACK := tcpip.TCPRecovery(0)
	return applyTCPOptions(s, &sack, &wait, &moderate, &noRACK)
}

func applyTCPOptions(s *stack.Stack, options ...tcpip.SettableTransportProtocolOption) error {
	for _, option := range options {
		if err := s.SetTransportProtocolOption(tcp.ProtocolNumber, option); err != nil {
			return fmt.Errorf("set TCP option %T: %s", option, err)
		}
	}
	return nil
}

// Inject passes a packet from a caller to the stack, which copies the bytes.
func (s *Stack) Inject(data []byte) {
	packet := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(data)})
	s.nic.InjectInbound(ipv4.ProtocolNumber, packet)
	packet.DecRef()
}

// Next waits for a packet that the stack sends to a caller and returns dst with the packet
// appended. It returns an error when ctx is done.
func (s *Stack) Next(ctx context.Context, dst []byte) ([]byte, error) {
	packet := s.nic.ReadContext(ctx)
	if packet == nil {
		return nil, fmt.Errorf("read from stack: %w", ctx.Err())
	}
	return appendPacket(dst, packet), nil
}

// TryNext is Next without the wait. It returns nil if the stack has no packet to send.
func (s *Stack) TryNext(dst []byte) []byte {
	packet := s.nic.Read()
	if packet == nil {
		return nil
	}
	return appendPacket(dst, packet)
}

// appendPacket appends a packet to dst and releases the packet.
func appendPacket(dst []byte, packet *stack.PacketBuffer) []byte {
	defer packet.DecRef()
	for _, part := range packet.AsSlices() {
		dst = append(dst, part...)
	}
	return dst
}

// HasEndpoint reports whether the stack has an endpoint for a TCP flow, including one
// that is closing.
func (s *Stack) HasEndpoint(id flow.ID) bool {
	found := s.stack.FindTransportEndpoint(ipv4.ProtocolNumber, tcp.ProtocolNumber, endpointID(id), nicID)
	return found != nil
}

// endpointID returns the identity of a flow's endpoint in the stack. The local side is the
// service address, the remote side the caller.
func endpointID(id flow.ID) stack.TransportEndpointID {
	service := id.ServiceEndpoint()
	return stack.TransportEndpointID{
		LocalAddress:  tcpip.AddrFrom4(service.Addr().As4()),
		LocalPort:     service.Port(),
		RemoteAddress: tcpip.AddrFrom4(id.Caller().Addr().As4()),
		RemotePort:    id.Caller().Port(),
	}
}

// flowID returns the flow of an endpoint, the reverse of endpointID.
func flowID(protocol flow.Protocol, id stack.TransportEndpointID) flow.ID {
	service := netip.AddrPortFrom(netip.AddrFrom4(id.LocalAddress.As4()), id.LocalPort)
	caller := netip.AddrPortFrom(netip.AddrFrom4(id.RemoteAddress.As4()), id.RemotePort)
	return flow.NewID(flow.NewAddress(protocol, service), caller)
}

// serveTCP is called by the stack in a new goroutine for each opening TCP packet.
func (s *Stack) serveTCP(r *tcp.ForwarderRequest) {
	s.handler.Serve(&Request{
		flow:     flowID(flow.TCP, r.ID()),
		create:   r.CreateEndpoint,
		complete: func() { r.Complete(false) },
	})
}

// serveUDP is called by the stack for the first packet of a UDP flow. It creates the endpoint
// before it returns, so that the next packets of the flow reach the endpoint.
func (s *Stack) serveUDP(r *udp.ForwarderRequest) bool {
	queue := new(waiter.Queue)
	endpoint, createErr := r.CreateEndpoint(queue)
	request := &Request{
		flow:     flowID(flow.UDP, r.ID()),
		create:   func(*waiter.Queue) (tcpip.Endpoint, tcpip.Error) { return endpoint, createErr },
		queue:    queue,
		complete: func() {},
	}
	go s.handler.Serve(request)
	return true
}

// Request is a caller's request to open a flow. It is ended by Accept or Abandon.
type Request struct {
	flow flow.ID
	// queue receives the events of the endpoint. It is nil for TCP until Accept.
	queue *waiter.Queue
	// create returns the flow's endpoint. For TCP it performs the handshake.
	create func(*waiter.Queue) (tcpip.Endpoint, tcpip.Error)
	// complete ends the request in the stack.
	complete func()
}

// Flow returns the flow that the caller opens.
func (r *Request) Flow() flow.ID { return r.flow }

// Accept completes the TCP handshake with the caller, which it waits for, and returns the
// connection. A UDP flow has no handshake.
func (r *Request) Accept() (*Conn, error) {
	defer r.complete()
	if r.queue == nil {
		r.queue = new(waiter.Queue)
	}
	endpoint, err := r.create(r.queue)
	if err != nil {
		return nil, fmt.Errorf("handshake with caller %s: %s", r.flow.Caller(), err)
	}
	if err := enableKeepalive(endpoint, r.flow.Protocol()); err != nil {
		endpoint.Abort()
		return nil, err
	}
	return newConn(endpoint, r.queue), nil
}

// Abandon ends the request without a reply to the caller.
func (r *Request) Abandon() {
	r.complete()
	if r.flow.Protocol() != flow.UDP {
		return
	}
	if endpoint, err := r.create(r.queue); err == nil {
		endpoint.Close()
	}
}

// ErrKeepalive reports that the keepalive options of a TCP flow could not be set.
var ErrKeepalive = errors.New("set keepalive")

// enableKeepalive has the stack probe an idle TCP flow and close it after callerTimeout
// without a reply. It does nothing for UDP.
func enableKeepalive(endpoint tcpip.Endpoint, protocol flow.Protocol) error {
	if protocol != flow.TCP {
		return nil
	}
	idle := tcpip.KeepaliveIdleOption(keepaliveIdle)
	interval := tcpip.KeepaliveIntervalOption(keepaliveInterval)
	timeout := tcpip.TCPUserTimeoutOption(callerTimeout)
	for _, option := range []tcpip.SettableSocketOption{&idle, &interval, &timeout} {
		if err := endpoint.SetSockOpt(option); err != nil {
			return fmt.Errorf("%w: %s", ErrKeepalive, err)
		}
	}
	if err := endpoint.SetSockOptInt(tcpip.KeepaliveCountOption, keepaliveCount); err != nil {
		return fmt.Errorf("%w: %s", ErrKeepalive, err)
	}
	endpoint.SocketOptions().SetKeepAlive(true)
	return nil
}
