package ipv4

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// segment returns an IPv4 packet with a TCP segment from 10.1.0.1:4000 to 10.9.0.1:80, with
// sequence number 100 and acknowledgement number 200.
func segment(flags header.TCPFlags, payload string) []byte {
	fields := &header.TCPFields{SrcPort: 4000, DstPort: 80, SeqNum: 100, AckNum: 200, DataOffset: header.TCPMinimumSize, Flags: flags}
	data := encodeTCP(tcpip.AddrFrom4([4]byte{10, 1, 0, 1}), tcpip.AddrFrom4([4]byte{10, 9, 0, 1}), fields)
	data = append(data, payload...)
	return withLength(data, len(data))
}

// withLength sets the total length of an IPv4 packet and the checksum of its header.
func withLength(data []byte, length int) []byte {
	ip := header.IPv4(data)
	ip.SetTotalLength(uint16(length))
	ip.SetChecksum(0)
	ip.SetChecksum(^ip.CalculateChecksum())
	return data
}

func TestParseClassifiesSegmentsByFlags(t *testing.T) {
	const syn, ack, rst, fin = header.TCPFlagSyn, header.TCPFlagAck, header.TCPFlagRst, header.TCPFlagFin
	for flags, kind := range map[header.TCPFlags]flow.Kind{
		syn: flow.Opening, ack: flow.Established, fin | ack: flow.Established,
		rst: flow.Closing, rst | ack: flow.Closing, syn | ack: flow.Established,
	} {
		packet, err := Format{}.Parse(segment(flags, ""))
		require.NoError(t, err)
		require.Equal(t, kind, packet.Kind(), "flags %s", flags)
		require.Equal(t, netip.MustParseAddrPort("10.1.0.1:4000"), packet.Flow().Caller())
		require.Equal(t, netip.MustParseAddrPort("10.9.0.1:80"), packet.Flow().ServiceEndpoint())
		require.EqualValues(t, 200, packet.AcknowledgedToken())
	}
}

func TestParseRejectsMalformedPackets(t *testing.T) {
	mutate := func(change func(data []byte)) []byte {
		data := segment(header.TCPFlagAck, "data")
		change(data)
		return data
	}
	tests := []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, ErrTruncated},
		{"cut", segment(header.TCPFlagAck, "data")[:30], ErrLength},
		{"version 6", mutate(func(d []byte) { d[0] = 0x65 }), ErrVersion},
		{"checksum", mutate(func(d []byte) { d[10] ^= 1 }), ErrChecksum},
		{"fragment", withLength(mutate(func(d []byte) { d[6] = 0x20 }), 44), ErrFragment},
		{"ICMP", withLength(mutate(func(d []byte) { d[9] = 1 }), 44), ErrProtocol},
		{"TCP header length", mutate(func(d []byte) { d[32] = 0xf0 }), ErrLength},
		{"TCP too short", withLength(segment(header.TCPFlagAck, "")[:30], 30), ErrTruncated},
		{"oversized", withLength(append(segment(header.TCPFlagAck, ""), make([]byte, MaxPacketSize)...), MaxPacketSize+40), ErrLength},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Format{}.Parse(test.data)
			require.Equal(t, test.want, err)
		})
	}
}

func TestResetMatchesSegmentNumbers(t *testing.T) {
	tests := []struct {
		name     string
		flags    header.TCPFlags
		payload  string
		sequence uint32
		ack      uint32
		want     header.TCPFlags
	}{
		{"acknowledging", header.TCPFlagAck, "data", 200, 0, header.TCPFlagRst},
		{"opening", header.TCPFlagSyn, "", 0, 101, header.TCPFlagRst | header.TCPFlagAck},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			packet, err := Format{}.Parse(segment(test.flags, test.payload))
			require.NoError(t, err)
			reset := header.IPv4(Format{}.Reset(packet))
			tcp := header.TCP(reset.Payload())
			require.Equal(t, test.want, tcp.Flags())
			require.Equal(t, test.sequence, tcp.SequenceNumber())
			require.Equal(t, test.ack, tcp.AckNumber())
			require.True(t, reset.IsChecksumValid())
			require.True(t, tcp.IsChecksumValid(reset.SourceAddress(), reset.DestinationAddress(), 0, 0))
		})
	}
	aborting, err := Format{}.Parse(segment(header.TCPFlagRst, ""))
	require.NoError(t, err)
	require.Nil(t, Format{}.Reset(aborting), "a reset must not be answered")
}

// Parse, ParseReply and Reset must handle arbitrary bytes without a panic.
func FuzzParse(f *testing.F) {
	f.Add(segment(header.TCPFlagSyn, ""))
	f.Add(segment(header.TCPFlagAck, "data"))
	f.Add([]byte{0x45})
	f.Fuzz(func(t *testing.T, data []byte) {
		packet, err := Format{}.Parse(data)
		if err != nil {
			return
		}
		if reset := (Format{}).Reset(packet); reset != nil {
			require.True(t, header.IPv4(reset).IsValid(len(reset)))
		}
		Format{}.ParseReply(data)
	})
}
