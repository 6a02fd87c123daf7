// Package ipv4 parses the IPv4 packets with TCP or UDP payload that the fabric carries
// into flow packets, and builds TCP resets.
package ipv4

import (
	"net/netip"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// Errors for which Parse rejects a packet. The value of each is also the suffix of its
// counter, drop_*.
const (
	ErrTruncated = flow.MalformedError("truncated")
	ErrVersion   = flow.MalformedError("ip_version")
	ErrLength    = flow.MalformedError("length")
	ErrChecksum  = flow.MalformedError("checksum")
	ErrFragment  = flow.MalformedError("fragment")
	ErrProtocol  = flow.MalformedError("protocol")
)

// Format parses and builds IPv4 packets. It implements flow.Format.
type Format struct{}

// MaxPacketSize is the size of the largest packet that Parse accepts, in bytes.
const MaxPacketSize = 1500

// Parse checks an IPv4 packet that a caller sent and returns it as a flow packet. The
// result refers to data. The error is a flow.MalformedError.
func (Format) Parse(data []byte) (flow.Packet, error) {
	ip, err := parseIP(data)
	if err != nil {
		return flow.Packet{}, err
	}
	payload := ip.Payload()
	switch ip.TransportProtocol() {
	case header.TCPProtocolNumber:
		return parseTCP(ip, payload)
	case header.UDPProtocolNumber:
		return parseUDP(ip, payload)
	}
	return flow.Packet{}, ErrProtocol
}

// parseIP checks the IP header: its version, lengths and checksum, and that the packet is
// not a fragment.
func parseIP(data []byte) (header.IPv4, error) {
	if len(data) < header.IPv4MinimumSize {
		return nil, ErrTruncated
	}
	ip := header.IPv4(data)
	if header.IPVersion(data) != header.IPv4Version {
		return nil, ErrVersion
	}
	if !ip.IsValid(len(data)) || int(ip.TotalLength()) != len(data) || len(data) > MaxPacketSize {
		return nil, ErrLength
	}
	if !ip.IsChecksumValid() {
		return nil, ErrChecksum
	}
	if ip.More() || ip.FragmentOffset() != 0 {
		return nil, ErrFragment
	}
	return ip, nil
}

func parseTCP(ip header.IPv4, payload []byte) (flow.Packet, error) {
	if len(payload) < header.TCPMinimumSize {
		return flow.Packet{}, ErrTruncated
	}
	tcp := header.TCP(payload)
	if int(tcp.DataOffset()) < header.TCPMinimumSize || int(tcp.DataOffset()) > len(payload) {
		return flow.Packet{}, ErrLength
	}
	id := flowOf(ip, flow.TCP, tcp.SourcePort(), tcp.DestinationPort())
	kind := kindOf(tcp.Flags())
	return flow.NewPacket(id, kind, tcp.SequenceNumber(), tcp.AckNumber(), ip), nil
}

func parseUDP(ip header.IPv4, payload []byte) (flow.Packet, error) {
	if len(payload) < header.UDPMinimumSize {
		return flow.Packet{}, ErrTruncated
	}
	udp := header.UDP(payload)
	if int(udp.Length()) != len(payload) {
		return flow.Packet{}, ErrLength
	}
	id := flowOf(ip, flow.UDP, udp.SourcePort(), udp.DestinationPort())
	return flow.NewPacket(id, flow.Connectionless, 0, 0, ip), nil
}

// kindOf returns the phase of a flow that a segment with these flags belongs to.
func kindOf(flags header.TCPFlags) flow.Kind {
	switch {
	case flags.Contains(header.TCPFlagRst):
		return flow.Closing
	case flags&(header.TCPFlagSyn|header.TCPFlagAck) == header.TCPFlagSyn:
		return flow.Opening
	}
	return flow.Established
}

// flowOf returns the flow of a packet that goes from a caller to a service address.
func flowOf(ip header.IPv4, protocol flow.Protocol, callerPort, servicePort uint16) flow.ID {
	service := netip.AddrPortFrom(netip.AddrFrom4(ip.DestinationAddress().As4()), servicePort)
	caller := netip.AddrPortFrom(netip.AddrFrom4(ip.SourceAddress().As4()), callerPort)
	return flow.NewID(flow.NewAddress(protocol, service), caller)
}

// ParseReply parses a TCP segment that goes from a service address to a caller. It reports
// false for everything but the reply to an opening packet (SYN and ACK without RST).
func (Format) ParseReply(data []byte) (flow.Reply, bool) {
	ip := header.IPv4(data)
	if !ip.IsValid(len(data)) || ip.TransportProtocol() != header.TCPProtocolNumber {
		return flow.Reply{}, false
	}
	tcp := header.TCP(ip.Payload())
	if len(tcp) < header.TCPMinimumSize {
		return flow.Reply{}, false
	}
	const synAck = header.TCPFlagSyn | header.TCPFlagAck
	if tcp.Flags()&(synAck|header.TCPFlagRst) != synAck {
		return flow.Reply{}, false
	}
	service := netip.AddrPortFrom(netip.AddrFrom4(ip.SourceAddress().As4()), tcp.SourcePort())
	caller := netip.AddrPortFrom(netip.AddrFrom4(ip.DestinationAddress().As4()), tcp.DestinationPort())
	id := flow.NewID(flow.NewAddress(flow.TCP, service), caller)
	return flow.Reply{Flow: id, HandshakeToken: tcp.SequenceNumber() + 1, IsHandshakeReply: true}, true
}

// Reset returns the TCP reset that answers a packet of a flow that no agent owns, as an
// IPv4 packet. It returns nil if the packet is not TCP or is itself a reset.
func (Format) Reset(packet flow.Packet) []byte {
	ip := header.IPv4(packet.Bytes())
	if packet.Flow().Protocol() != flow.TCP || packet.Kind() == flow.Closing {
		return nil
	}
	segment := header.TCP(ip.Payload())
	fields := &header.TCPFields{
		SrcPort:    segment.DestinationPort(),
		DstPort:    segment.SourcePort(),
		DataOffset: header.TCPMinimumSize,
		Flags:      header.TCPFlagRst,
	}
	if segment.Flags().Contains(header.TCPFlagAck) {
		fields.SeqNum = segment.AckNumber()
	} else {
		fields.Flags |= header.TCPFlagAck
		fields.AckNum = segment.SequenceNumber() + segmentLength(segment)
	}
	return encodeTCP(ip.DestinationAddress(), ip.SourceAddress(), fields)
}

// segmentLength returns the number of sequence numbers that a segment occupies: one for each
// byte of payload and one each for SYN and FIN.
func segmentLength(tcp header.TCP) uint32 {
	length := uint32(len(tcp.Payload()))
	if tcp.Flags().Contains(header.TCPFlagSyn) {
		length++
	}
	if tcp.Flags().Contains(header.TCPFlagFin) {
		length++
	}
	return length
}

// encodeTCP returns an IPv4 packet with a TCP header and no payload, both checksums set.
func encodeTCP(source, destination tcpip.Address, fields *header.TCPFields) []byte {
	const length = header.IPv4MinimumSize + header.TCPMinimumSize
	data := make([]byte, length)
	ip := header.IPv4(data)
	ip.Encode(&header.IPv4Fields{
		TotalLength: length,
		TTL:         64,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     source,
		DstAddr:     destination,
	})
	ip.SetChecksum(^ip.CalculateChecksum())
	tcp := header.TCP(data[header.IPv4MinimumSize:])
	tcp.Encode(fields)
	pseudo := header.PseudoHeaderChecksum(header.TCPProtocolNumber, source, destination, header.TCPMinimumSize)
	tcp.SetChecksum(^tcp.CalculateChecksum(pseudo))
	return data
}
