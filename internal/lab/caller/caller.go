// Package caller is a stand-in for callers: one user-space stack with an address
// for each member.
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
	nicID = 1
)

// Callers is the callers' side of the fabric.
type Callers struct {
	stack  *stack.Stack
	nic   *channel.Endpoint
	cancel context.CancelFunc

	mu    sync.Mutex
	hasAddress map[netip.Addr]bool
}

// New returns callers whose packets go to send.
func New(send func(packet []byte)) (*Callers, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Callers{
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol, udp.NewProtocol},
		}),
		nic:   channel.New(outboundQueueLength, caller.MTU, ""),
		cancel: cancel,
		hasAddress:  make(map[netip.Addr]bool),
	}
	if err := c.stack.CreateNIC(nicID, c.nic); err != nil {
		return nil, fmt.Errorf("create callers' network card: %s", err)
	}
	c.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	if err := caller.SetTCPOptions(c.stack); err != nil {
		return nil, err
	}
	go c.sendOutbound(ctx, send)
	return c, nil
}

// Close ends all flows without a word to the other side.
func (c *Callers) Close() {
	c.cancel()
	c.stack.Close()
}

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

// Deliver hands a packet from the fabric to the callers.
func (c *Callers) Deliver(data []byte) {
	packet := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(data)})
	c.nic.InjectInbound(ipv4.ProtocolNumber, packet)
	packet.DecRef()
}

// Dial opens a TCP flow from a member's address to a service.
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

// DialUDP opens a UDP flow from a member's address to a service.
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

func (c *Callers) endpoints(member netip.Addr, service netip.AddrPort) (local, remote tcpip.FullAddress, err error) {
	if err := c.addMember(member); err != nil {
		return local, remote, err
	}
	local = tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(member.As4())}
	remote = tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(service.Addr().As4()), Port: service.Port()}
	return local, remote, nil
}

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
