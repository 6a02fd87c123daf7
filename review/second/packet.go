//go:build review2

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet, as PROTOCOL.md states them.
const (
	flagReset   = 2
	flagFinal   = 4
	flagAck     = 8
	flagOpen    = 16
	flagBounced = 128
)

const (
	headSize = 36
	// sumKey keys the checksum. The system under test does not know it.
	sumKey = 0x5eed1234
)

// packet is a packet of a flow. src is the end that sends it.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    uint8
	data     []byte
	sum      uint32
}

// expectedSum returns the checksum over all fields except echo, pad and BOUNCED.
func (p *packet) expectedSum() uint32 {
	head := make([]byte, 0, headSize)
	head = binary.BigEndian.AppendUint32(head, sumKey)
	head = append(head, p.src.Addr().AsSlice()...)
	head = append(head, p.dst.Addr().AsSlice()...)
	head = binary.BigEndian.AppendUint16(head, p.src.Port())
	head = binary.BigEndian.AppendUint16(head, p.dst.Port())
	head = binary.BigEndian.AppendUint32(head, p.seq)
	head = binary.BigEndian.AppendUint32(head, p.ack)
	head = append(head, p.flags&^flagBounced)
	sum := crc32.ChecksumIEEE(append(head, p.data...))
	return max(sum, 1)
}

// encode returns the bytes of the packet with its checksum.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint16(b[0:], p.src.Port())
	copy(b[2:], p.dst.Addr().AsSlice())
	binary.BigEndian.PutUint16(b[6:], p.dst.Port())
	copy(b[8:], p.src.Addr().AsSlice())
	binary.BigEndian.PutUint32(b[12:], p.expectedSum())
	binary.BigEndian.PutUint32(b[16:], p.seq)
	binary.BigEndian.PutUint32(b[20:], p.ack)
	b[24] = p.flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(p.data)))
	return append(b, p.data...)
}

// decode reads a packet. It reports false if the length is wrong.
func decode(b []byte) (*packet, bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[30:])) != len(b)-headSize {
		return nil, false
	}
	return &packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:])), binary.BigEndian.Uint16(b[0:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[2:])), binary.BigEndian.Uint16(b[6:])),
		seq:   binary.BigEndian.Uint32(b[16:]),
		ack:   binary.BigEndian.Uint32(b[20:]),
		flags: b[24],
		data:  append([]byte(nil), b[headSize:]...),
		sum:   binary.BigEndian.Uint32(b[12:]),
	}, true
}
