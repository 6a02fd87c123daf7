package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/core/fleet"
)

// manyServices returns a change that adds count services, as a whole document does.
func manyServices(count int) *control.Message {
	delta := new(control.Delta[fleet.Service])
	for i := range count {
		endpoint := fmt.Sprintf("198.18.%d.%d:8443", i/250, i%250)
		delta.Upserts = append(delta.Upserts, fleet.Service{
			Name: endpoint, Address: endpoint, Protocol: "tcp", LatencyObjective: 150 * time.Millisecond,
			Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {"app": {"orders"}}},
		})
	}
	return &control.Message{Changes: []control.Change{{To: fleet.Revision{Number: 3}, Services: delta}}}
}

func TestDecodeRestoresMessagesOfAnySize(t *testing.T) {
	for _, message := range []*control.Message{
		{Summary: &control.Summary{ID: 7, ViewAge: -1}},
		{Records: []fleet.PeerRecord{{ID: 1, Incarnation: 2, Suspected: true}}},
		manyServices(10),
		manyServices(1500),
	} {
		data, err := Encode(message)
		require.NoError(t, err)
		decoded, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, message, decoded)
	}
}

// An agent compares the start of its backend server with its own. Guards against starts that are
// rounded on their way to the agent.
func TestDecodeRestoresTimesExactly(t *testing.T) {
	startedAt := time.Date(2026, 12, 7, 4, 10, 49, 350_000_000, time.UTC)
	backends := &control.Delta[fleet.Backend]{Upserts: []fleet.Backend{{Name: "b0", StartedAt: startedAt}}}
	data, err := Encode(&control.Message{Changes: []control.Change{{Backends: backends}}})
	require.NoError(t, err)
	decoded, err := Decode(data)
	require.NoError(t, err)
	require.True(t, startedAt.Equal(decoded.Changes[0].Backends.Upserts[0].StartedAt))
}

// Guards against control traffic that displaces packets: an instance with a link of 10 Mbit/s
// receives a whole document while it forwards packets.
func TestEncodeCompressesWholeDocuments(t *testing.T) {
	data, err := Encode(manyServices(1500))
	require.NoError(t, err)
	require.Less(t, len(data), 16<<10)
}

func TestDecodeRejectsInvalidBytes(t *testing.T) {
	for _, data := range [][]byte{nil, {}, {encodingPlain}, {encodingDeflate, 1, 2}, {9, 0xa0}} {
		_, err := Decode(data)
		require.Error(t, err, "%v", data)
	}
}

// Guards against an error that speaks of a malformed message when it is too large.
func TestDecodeNamesTheSizeOfAnOversizedMessage(t *testing.T) {
	data, err := deflate(make([]byte, maxMessageSize+1))
	require.NoError(t, err)
	_, err = Decode(data)
	require.ErrorIs(t, err, errMessageTooLarge)
}

// One malformed message must take no process down: whatever a peer sends is rejected or handled,
// also a message whose parts are missing or contradict each other.
func FuzzDecode(f *testing.F) {
	service := fleet.Service{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}}}
	for _, message := range []*control.Message{
		{},
		{Summary: &control.Summary{ID: 2, Incarnation: 3, Revisions: fleet.Revisions{Services: fleet.Revision{Number: 4}}, WantsDocuments: true}},
		{Digests: &control.Digests{Buckets: []uint64{1, 2}, WantsReply: true}},
		{Records: []fleet.PeerRecord{{ID: 1, Incarnation: 9, State: 200}}},
		{Changes: []control.Change{{To: fleet.Revision{Number: 5}}}},
		{Changes: []control.Change{{To: fleet.Revision{Number: 5}, Services: &control.Delta[fleet.Service]{Upserts: []fleet.Service{service}, Removed: []string{"orders"}}}}},
	} {
		data, err := Encode(message)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{encodingDeflate, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := Decode(data)
		if err != nil {
			return
		}
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		c := control.New(now, control.Config{Self: 1, Incarnation: 1, Role: fleet.RoleAgent, DataCentre: "north"}, rand.New(rand.NewPCG(1, 2)))
		c.HandleLinkUp(now, 1, true)
		c.HandleMessage(now, 1, message)
		c.Tick(now.Add(time.Second))
	})
}
