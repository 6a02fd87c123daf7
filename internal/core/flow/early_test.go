package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replays a restart of everything: openings, requests and their retransmissions arrive for
// half a second before the first view does.
func TestEarlyPacketsAreReleasedOnceInTheirOrder(t *testing.T) {
	address := NewAddress(TCP, netip.MustParseAddrPort("10.9.0.1:80"))
	epoch := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	packet := func(port uint16, kind Kind, sequence uint32) Packet {
		return NewPacket(NewID(address, netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), port)), kind, sequence, 0, nil)
	}
	early := NewEarlyPackets[int]()
	add := func(after time.Duration, p Packet, id int) bool {
		return early.Add(epoch.Add(after), p, func() int { return id })
	}
	require.True(t, early.IsEmpty())
	require.True(t, add(0, packet(1, Opening, 7), 1))
	require.True(t, add(0, packet(2, Established, 7), 2))
	require.False(t, add(200*time.Millisecond, packet(1, Opening, 7), 3), "a copy is held once")
	require.True(t, add(200*time.Millisecond, packet(1, Opening, 9), 4), "another attempt is another packet")
	require.True(t, add(300*time.Millisecond, packet(2, Established, 8), 5))
	require.Equal(t, 2, early.Sweep(epoch.Add(earlyLifetime)))
	require.True(t, add(earlyLifetime, packet(2, Established, 7), 6), "after it was dropped, a copy is held again")
	require.Equal(t, []int{4, 5, 6}, early.Release(epoch.Add(earlyLifetime)))
	require.False(t, add(earlyLifetime, packet(3, Opening, 7), 7), "nothing is held once there is a view")
	require.True(t, early.IsEmpty())
}

func TestEarlyPacketsAreBounded(t *testing.T) {
	address := NewAddress(TCP, netip.MustParseAddrPort("10.9.0.1:80"))
	early := NewEarlyPackets[uint32]()
	caller := netip.MustParseAddrPort("10.1.0.1:4000")
	for sequence := range uint32(maxEarlyPackets) {
		require.True(t, early.Add(time.Time{}, NewPacket(NewID(address, caller), Established, sequence, 0, nil), func() uint32 { return sequence }))
	}
	require.False(t, early.Add(time.Time{}, NewPacket(NewID(address, caller), Opening, 0, 0, nil), func() uint32 { return 0 }))
}
