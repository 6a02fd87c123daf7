// Package flow defines the traffic types of the decision cores: service addresses, flows
// and packets with the phase of the flow that they belong to. The bytes of a packet are
// opaque to the cores.
//
// Nothing here depends on a packet format. Adapters such as wire/ipv4 translate their
// format into these types.
package flow

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Protocol is the transport protocol number of a service, as assigned by IANA.
type Protocol uint8

// Transport protocols that a service may use.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// Kind is the phase of the flow that a packet belongs to, or Connectionless if the
// protocol has no handshake and thus no phases.
type Kind uint8

const (
	// Opening is the first packet of a flow in a protocol with a handshake, or a copy of
	// it.
	Opening Kind = iota + 1
	// Established is any later packet of a flow.
	Established
	// Closing is a packet by which the caller aborts the flow, such as a TCP reset. It is
	// never answered.
	Closing
	// Connectionless is any packet of a protocol without a handshake.
	Connectionless
)

// ID identifies a flow. It holds the protocol, the service endpoint and the caller
// endpoint in full, so that two flows never share an ID.
type ID [16]byte

// Address identifies a service endpoint: protocol, IP address and port.
type Address [8]byte

// NewAddress returns the service address for a protocol and an IPv4 endpoint.
func NewAddress(protocol Protocol, endpoint netip.AddrPort) Address {
	var address Address
	address[0] = byte(protocol)
	ip := endpoint.Addr().As4()
	copy(address[1:5], ip[:])
	binary.BigEndian.PutUint16(address[5:7], endpoint.Port())
	return address
}

// NewID returns the ID of the flow between a caller's IPv4 endpoint and a service
// address.
func NewID(service Address, caller netip.AddrPort) ID {
	var id ID
	copy(id[:7], service[:7])
	ip := caller.Addr().As4()
	copy(id[7:11], ip[:])
	binary.BigEndian.PutUint16(id[11:13], caller.Port())
	return id
}

// Service returns the service address of the flow.
func (id ID) Service() Address {
	var address Address
	copy(address[:7], id[:7])
	return address
}

// ServiceEndpoint returns the service's IP address and port.
func (id ID) ServiceEndpoint() netip.AddrPort {
	ip := netip.AddrFrom4([4]byte(id[1:5]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(id[5:7]))
}

// Caller returns the caller's endpoint.
func (id ID) Caller() netip.AddrPort {
	ip := netip.AddrFrom4([4]byte(id[7:11]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(id[11:13]))
}

// Protocol returns the transport protocol of the flow.
func (id ID) Protocol() Protocol {
	return Protocol(id[0])
}

// Hash returns a 64-bit hash of the flow. All processes compute the same value.
func (id ID) Hash() uint64 {
	return xxhash.Sum64(id[:])
}

// Packet is one packet of a flow, with the fields that the decision cores need.
type Packet struct {
	flow              ID
	kind              Kind
	sequence          uint32
	acknowledgedToken uint32
	payloadSize       int
	bytes             []byte
}

// NewPacket returns a packet with a payload size of zero. It keeps bytes without copying
// them.
//
// sequence identifies the attempt of an opening packet. acknowledgedToken is the
// handshake token that the packet acknowledges, or zero if the packet format has none. In
// formats that count copies, the acknowledgedToken of an opening packet is the number of
// copies sent before.
func NewPacket(id ID, kind Kind, sequence, acknowledgedToken uint32, bytes []byte) Packet {
	return Packet{flow: id, kind: kind, sequence: sequence, acknowledgedToken: acknowledgedToken, bytes: bytes}
}

// WithPayloadSize returns the packet with the number of payload bytes of the flow that it
// carries.
func (p Packet) WithPayloadSize(payloadSize int) Packet {
	p.payloadSize = payloadSize
	return p
}

// Clone returns a copy of the packet with bytes of its own.
func (p Packet) Clone() Packet {
	p.bytes = bytes.Clone(p.bytes)
	return p
}

// PayloadSize returns the number of payload bytes of the flow that the packet carries, or
// zero if the packet format does not state it.
func (p Packet) PayloadSize() int { return p.payloadSize }

// Flow returns the flow that the packet belongs to.
func (p Packet) Flow() ID { return p.flow }

// Kind returns the phase of the flow that the packet belongs to.
func (p Packet) Kind() Kind { return p.kind }

// Sequence returns the caller's sequence token. On an opening packet it identifies the
// attempt.
func (p Packet) Sequence() uint32 { return p.sequence }

// AcknowledgedToken returns the handshake token that the packet acknowledges. On an
// opening packet it is the number of copies sent before, in formats that count them.
func (p Packet) AcknowledgedToken() uint32 { return p.acknowledgedToken }

// Bytes returns the packet as received, without encapsulation.
func (p Packet) Bytes() []byte { return p.bytes }
