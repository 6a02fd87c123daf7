// Package caller simulates the callers of services: one user-space network stack with
// an address for each member.
package caller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/tcpip/transport/udp"

	"github.com/radishmast/radishmast/internal/link/caller"
)

const (
	outboundQueueLength = 8192
	nicID               = 1
)

// Callers opens flows from members' addresses and exchanges their packets with the
// fabric.
type Callers struct {
	stack  *stack.Stack
	nic    *channel.Endpoint
	cancel context.CancelFunc

	mu sync.Mutex
	// hasAddress holds the members whose address the stack has.
	hasAddress map[netip.Addr]bool
}

// New returns callers that hand each outgoing IP packet to send.
func New(send func(packet []byte)) (*Callers, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Callers{
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol, udp.NewProtocol},
		}),
		nic:        channel.New(outboundQueueLength, caller.MTU, ""),
		cancel:     cancel,
		hasAddress: make(map[netip.Addr]bool),
	}
	if err := c.stack.CreateNIC(nicID, c.nic); err != nil {
		return nil, fmt.Errorf("create callers' network interface: %s", err)
	}
	c.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	if err := caller.SetTCPOptions(c.stack); err != nil {
		return nil, err
	}
	go c.sendOutbound(ctx, send)
	return c, nil
}

// Close stops the stack without closing its flows: the other side gets no packet.
func (c *Callers) Close() {
	c.cancel()
	c.stack.Close()
}

// sendOutbound hands the packets of the stack to send until the context ends.
func (c *Callers) sendOutbound(ctx context.Context, send func([]byte)) {
	for {
		packet := c.nic.ReadContext(ctx)
		if packet == nil {
			return
		}
		send(packet.ToView().AsSlice())
		packet.DecRef()
	}
}

// Deliver hands an IP packet from the fabric to the callers' stack.
func (c *Callers) Deliver(data []byte) {
	packet := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(data)})
	c.nic.InjectInbound(ipv4.ProtocolNumber, packet)
	packet.DecRef()
}

// Dial opens a TCP flow from a member's address to a service, and returns when the
// handshake is complete.
func (c *Callers) Dial(ctx context.Context, member netip.Addr, service netip.AddrPort) (net.Conn, error) {
	local, remote, err := c.endpoints(member, service)
	if err != nil {
		return nil, err
	}
	conn, err := gonet.DialTCPWithBind(ctx, c.stack, local, remote, ipv4.ProtocolNumber)
	if err != nil {
		return nil, fmt.Errorf("dial %s from %s: %w", service, member, err)
	}
	return conn, nil
}

// DialUDP opens a UDP flow from a member's address to a service. It sends nothing yet.
func (c *Callers) DialUDP(member netip.Addr, service netip.AddrPort) (net.Conn, error) {
	local, remote, err := c.endpoints(member, service)
	if err != nil {
		return nil, err
	}
	conn, err := gonet.DialUDP(c.stack, &local, &remote, ipv4.ProtocolNumber)
	if err != nil {
		return nil, fmt.Errorf("dial %s from %s: %w", service, member, err)
	}
	return conn, nil
}

// endpoints returns both ends of a flow and gives the stack the member's address.
func (c *Callers) endpoints(member netip.Addr, service netip.AddrPort) (local, remote tcpip.FullAddress, err error) {
	if err := c.addMember(member); err != nil {
		return local, remote, err
	}
	local = tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(member.As4())}
	remote = tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(service.Addr().As4()), Port: service.Port()}
	return local, remote, nil
}

// addMember gives the stack the address of a member, once.
func (c *Callers) addMember(member netip.Addr) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasAddress[member] {
		return nil
	}
	address := tcpip.ProtocolAddress{
		Protocol:          ipv4.ProtocolNumber,
		AddressWithPrefix: tcpip.AddrFrom4(member.As4()).WithPrefix(),
	}
	if err := c.stack.AddProtocolAddress(nicID, address, stack.AddressProperties{}); err != nil {
		return fmt.Errorf("add member address %s: %s", member, err)
	}
	c.hasAddress[member] = true
	return nil
}
