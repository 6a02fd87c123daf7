//go:build review

package main

import (
	"encoding/binary"
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

// headSize is the size of a packet's head, in bytes.
const headSize = 36

// sumKey is the key of the sums of packets. Only clients and targets know it.
const sumKey = 0x51ed270b

// packet is a packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	data     []byte
	sum      uint32
}

// wantSum returns the keyed sum over all fields except the echo, the pad and flagBounced.
func (p *packet) wantSum() uint32 {
	h := uint32(sumKey)
	add := func(v uint32) { h = (h ^ v) * 16777619 }
	for _, end := range []netip.AddrPort{p.src, p.dst} {
		ip := end.Addr().As4()
		add(binary.BigEndian.Uint32(ip[:]))
		add(uint32(end.Port()))
	}
	add(p.seq)
	add(p.ack)
	add(uint32(p.flags &^ flagBounced))
	add(uint32(len(p.data)))
	for _, b := range p.data {
		add(uint32(b))
	}
	return h
}

// encode returns the bytes of a packet with its sum.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint16(b[0:], p.src.Port())
	copy(b[2:], dst[:])
	binary.BigEndian.PutUint16(b[6:], p.dst.Port())
	copy(b[8:], src[:])
	binary.BigEndian.PutUint32(b[12:], p.wantSum())
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
	end := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:])), binary.BigEndian.Uint16(b[port:]))
	}
	return &packet{
		src: end(8, 0), dst: end(2, 6),
		seq: binary.BigEndian.Uint32(b[16:]), ack: binary.BigEndian.Uint32(b[20:]),
		flags: b[24], data: append([]byte(nil), b[headSize:]...),
		sum: binary.BigEndian.Uint32(b[12:]),
	}, true
}

// isWhole reports whether the packet is as its sender wrote it.
func (p *packet) isWhole() bool { return p.sum == p.wantSum() }
