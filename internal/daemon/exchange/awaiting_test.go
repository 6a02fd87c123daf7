package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

// Replays the return of all servers, which register one after the other: packets arrive with
// revisions that this process does not have yet.
func TestPacketsWaitForTheRevisionOfTheirSender(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	held := NewHeldPackets()
	for _, number := range []uint64{5, 7, 6} {
		packet := flow.NewPacket(flow.ID{}, flow.Established, 1, 1, []byte{byte(number)})
		require.True(t, held.awaitRevision(now, &datagram.Header{Revision: number}, packet, ownership.Evidence{}, fleet.Revision{Number: number}))
	}
	ready, expired := held.takeAwaiting(now, fleet.Revision{Number: 4})
	require.Empty(t, ready)
	require.Zero(t, expired)
	ready, _ = held.takeAwaiting(now, fleet.Revision{Number: 6})
	require.Len(t, ready, 2)
	require.Equal(t, []byte{5}, ready[0].body)
	require.Equal(t, []byte{6}, ready[1].body)
	ready, expired = held.takeAwaiting(now.Add(maxRevisionWait), fleet.Revision{Number: 6})
	require.Empty(t, ready)
	require.Equal(t, 1, expired)
	require.Empty(t, held.awaiting)
}

func TestPacketsThatWaitForARevisionAreBounded(t *testing.T) {
	held := NewHeldPackets()
	packet := flow.NewPacket(flow.ID{}, flow.Established, 1, 1, nil)
	for range maxAwaiting {
		require.True(t, held.awaitRevision(time.Time{}, &datagram.Header{}, packet, ownership.Evidence{}, fleet.Revision{Number: 5}))
	}
	require.False(t, held.awaitRevision(time.Time{}, &datagram.Header{}, packet, ownership.Evidence{}, fleet.Revision{Number: 5}))
}
