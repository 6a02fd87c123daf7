package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagReset   = 2
	flagFinal   = 4
	flagAck     = 8
	flagOpen    = 16
	flagBounced = 128
)

// headerSize is the size of a packet's header in bytes.
const headerSize = 36

// checksumKey is the key of the checksum, which the system does not know.
const checksumKey = "review-3"

// packet is a packet of a flow.
type packet struct {
	source, destination    netip.AddrPort
	sequence, acknowledged uint32
	flags                  byte
	data                   []byte
}

// encode returns the packet as it is sent.
func (p *packet) encode() []byte {
	raw := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint16(raw[0:], p.source.Port())
	destination, source := p.destination.Addr().As4(), p.source.Addr().As4()
	copy(raw[2:], destination[:])
	binary.BigEndian.PutUint16(raw[6:], p.destination.Port())
	copy(raw[8:], source[:])
	binary.BigEndian.PutUint32(raw[16:], p.sequence)
	binary.BigEndian.PutUint32(raw[20:], p.acknowledged)
	raw[24] = p.flags
	binary.BigEndian.PutUint16(raw[30:], uint16(len(p.data)))
	raw = append(raw, p.data...)
	binary.BigEndian.PutUint32(raw[12:], checksum(raw))
	return raw
}

// decode reads a packet. isGenuine reports whether the checksum is that of a client or a target.
func decode(raw []byte) (p packet, isGenuine, isValid bool) {
	if len(raw) < headerSize || int(binary.BigEndian.Uint16(raw[30:])) != len(raw)-headerSize {
		return packet{}, false, false
	}
	p = packet{
		source:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[8:])), binary.BigEndian.Uint16(raw[0:])),
		destination:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[2:])), binary.BigEndian.Uint16(raw[6:])),
		sequence:     binary.BigEndian.Uint32(raw[16:]),
		acknowledged: binary.BigEndian.Uint32(raw[20:]),
		flags:        raw[24],
		data:         append([]byte(nil), raw[headerSize:]...),
	}
	return p, binary.BigEndian.Uint32(raw[12:]) == checksum(raw), true
}

// checksum returns the keyed sum over all fields but the sum itself, echo, pad and the flag of a
// bounced packet.
func checksum(raw []byte) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(checksumKey))
	_, _ = hash.Write(raw[0:12])
	_, _ = hash.Write(raw[16:24])
	_, _ = hash.Write([]byte{raw[24] &^ flagBounced})
	_, _ = hash.Write(raw[30:32])
	_, _ = hash.Write(raw[headerSize:])
	return max(hash.Sum32(), 1)
}
