// Package caller speaks TCP and UDP with callers through a user-space network
// stack: packets go in and out as bytes, flows come out as connections.
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
	// MTU is the largest packet the stack sends, in bytes. It leaves room for
	// the header that processes of the system put in front.
	MTU = 1400

	outputQueueLength = 4096
	maxHandshakes     = 4096
	timeWait          = time.Second
	nicID             = 1

	// A caller that does not answer for callerTimeout is gone. It is longer than
	// the minutes for which regions lose each other.
	callerTimeout     = 10 * time.Minute
	keepaliveIdle     = time.Minute
	keepaliveInterval = 30 * time.Second
	keepaliveCount    = int((callerTimeout - keepaliveIdle) / keepaliveInterval)

	// maxRetransmissionTimeout caps the time between two retransmissions: while a
	// balancer is dead, part of all acknowledgements is lost, and exponential
	// backoff would silence a flow for long.
	maxRetransmissionTimeout = 2 * time.Second
	maxRetries               = uint64(callerTimeout / maxRetransmissionTimeout)
)

// Handler serves new flows.
type Handler interface {
	// Serve is called in a goroutine of its own for each opening packet.
	Serve(request *Request)
}

// Stack terminates the flows of every service address.
type Stack struct {
	stack   *stack.Stack
	nic     *channel.Endpoint
	handler Handler
}

// New returns a stack that accepts packets to any address.
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

func (s *Stack) configure() error {
	if err := s.stack.CreateNIC(nicID, s.nic); err != nil {
		return fmt.Errorf("create network card: %s", err)
	}
	if err := s.stack.SetPromiscuousMode(nicID, true); err != nil {
		return fmt.Errorf("set promiscuous mode: %s", err)
	}
	if err := s.stack.SetSpoofing(nicID, true); err != nil {
		return fmt.Errorf("set spoofing: %s", err)
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	longest := tcpip.TCPMaxRTOOption(maxRetransmissionTimeout)
	retries := tcpip.TCPMaxRetriesOption(maxRetries)
	return errors.Join(SetTCPOptions(s.stack), applyTCPOptions(s.stack, &longest, &retries))
}

// SetTCPOptions sets the TCP options that a stack on this path needs. The
// library's RACK loss detection is off: when acknowledgements of a tail loss
// probe were lost, its sender armed no retransmission timer again and the flow
// stood still for good.
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

// Inject hands a packet from a caller to the stack. The bytes are copied.
func (s *Stack) Inject(data []byte) {
	packet := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(data)})
	s.nic.InjectInbound(ipv4.ProtocolNumber, packet)
	packet.DecRef()
}

// Next waits for a packet to a caller and appends it to dst. It returns an
// error when ctx is done.
func (s *Stack) Next(ctx context.Context, dst []byte) ([]byte, error) {
	packet := s.nic.ReadContext(ctx)
	if packet == nil {
		return nil, fmt.Errorf("read from stack: %w", ctx.Err())
	}
	return appendPacket(dst, packet), nil
}

// TryNext returns a packet to a caller without waiting, or nil.
func (s *Stack) TryNext(dst []byte) []byte {
	packet := s.nic.Read()
	if packet == nil {
		return nil
	}
	return appendPacket(dst, packet)
}

func appendPacket(dst []byte, packet *stack.PacketBuffer) []byte {
	defer packet.DecRef()
	for _, part := range packet.AsSlices() {
		dst = append(dst, part...)
	}
	return dst
}

// HasEndpoint reports whether the stack still keeps state for a TCP flow.
func (s *Stack) HasEndpoint(id flow.ID) bool {
	found := s.stack.FindTransportEndpoint(ipv4.ProtocolNumber, tcp.ProtocolNumber, endpointID(id), nicID)
	return found != nil
}

func endpointID(id flow.ID) stack.TransportEndpointID {
	service := id.ServiceEndpoint()
	return stack.TransportEndpointID{
		LocalAddress:  tcpip.AddrFrom4(service.Addr().As4()),
		LocalPort:     service.Port(),
		RemoteAddress: tcpip.AddrFrom4(id.Caller().Addr().As4()),
		RemotePort:    id.Caller().Port(),
	}
}

func flowID(protocol flow.Protocol, id stack.TransportEndpointID) flow.ID {
	service := netip.AddrPortFrom(netip.AddrFrom4(id.LocalAddress.As4()), id.LocalPort)
	caller := netip.AddrPortFrom(netip.AddrFrom4(id.RemoteAddress.As4()), id.RemotePort)
	return flow.NewID(flow.NewAddress(protocol, service), caller)
}

func (s *Stack) serveTCP(r *tcp.ForwarderRequest) {
	s.handler.Serve(&Request{
		flow:     flowID(flow.TCP, r.ID()),
		create:   r.CreateEndpoint,
		complete: func() { r.Complete(false) },
	})
}

func (s *Stack) serveUDP(r *udp.ForwarderRequest) bool {
	queue := new(waiter.Queue)
	endpoint, failure := r.CreateEndpoint(queue)
	request := &Request{
		flow:     flowID(flow.UDP, r.ID()),
		create:   func(*waiter.Queue) (tcpip.Endpoint, tcpip.Error) { return endpoint, failure },
		queue:    queue,
		complete: func() {},
	}
	go s.handler.Serve(request)
	return true
}

// Request is a flow that a caller wants to open.
type Request struct {
	flow     flow.ID
	queue    *waiter.Queue
	create   func(*waiter.Queue) (tcpip.Endpoint, tcpip.Error)
	complete func()
}

// Flow returns the flow to open.
func (r *Request) Flow() flow.ID { return r.flow }

// Accept answers the handshake and waits for the caller to confirm it.
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

// Abandon forgets the request without answering the caller.
func (r *Request) Abandon() {
	r.complete()
	if r.flow.Protocol() != flow.UDP {
		return
	}
	if endpoint, err := r.create(r.queue); err == nil {
		endpoint.Close()
	}
}

// ErrKeepalive reports that keepalive could not be set.
var ErrKeepalive = errors.New("set keepalive")

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
