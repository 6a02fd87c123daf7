package agent

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

const (
	testMaxPayload = 1200
	// uploadPackets is the number of packets of an upload, of which the last has
	// lastPayload bytes.
	uploadPackets = 17
	lastPayload   = 800
	// uploadWindow is the number of packets that a caller has in flight.
	uploadWindow = 16
	// uploadServiceTime is how long the server works on most uploads.
	uploadServiceTime = 4200 * time.Microsecond
	openingSequence   = 7
)

// newUploadAgent returns an agent alone whose service has uploads, or not.
func newUploadAgent(t require.TestingT, upload bool) *Agent {
	c := newTestCluster(t, 1)
	c.publishUpload(t, upload)
	a := c.agents[c.ids()[0]]
	a.config.Placement, a.config.MaxFlows, a.config.MaxPayload = HandOverWhenFull{}, 10000, testMaxPayload
	return a
}

// publishUpload publishes whether requests of the service are uploads.
func (c *testCluster) publishUpload(t require.TestingT, upload bool) {
	services, _, _ := c.state.Documents()
	next := &fleet.ServicesDocument{Revision: fleet.Revision{Number: services.Number + 1}, Services: slices.Clone(services.Services)}
	next.Services[0].Upload, next.Services[0].LatencyObjective = upload, 200*time.Millisecond
	_, err := c.state.Apply(epoch, next)
	require.NoError(t, err)
	c.applyView()
}

// openUpload opens a flow and reports whether its opening packet is delivered at once.
func openUpload(now time.Time, a *Agent, port uint16, sequence uint32) bool {
	opening := &ReceivedPacket{Packet: flow.NewPacket(flowOf(port), flow.Opening, sequence, 0, []byte("packet")), Service: orders, Revision: fleet.Revision{Number: 1}}
	if _, delivered := a.Receive(now, opening).(*Deliver); !delivered {
		return false
	}
	a.HandleBackendPacket(now, flow.Reply{Flow: flowOf(port), HandshakeToken: 1, IsHandshakeReply: true})
	return true
}

// sendPayload delivers a packet with payload.
func sendPayload(now time.Time, a *Agent, port uint16, sequence uint32, size int) {
	packet := flow.NewPacket(flowOf(port), flow.Established, sequence, 1, []byte("packet")).WithPayloadSize(size)
	a.Receive(now, &ReceivedPacket{Packet: packet, Service: orders, Revision: fleet.Revision{Number: 1}})
}

// sendUploadPacket delivers one packet of an upload whose first byte has a sequence number.
func sendUploadPacket(now time.Time, a *Agent, port uint16, first uint32, index int) {
	size := testMaxPayload
	if index == uploadPackets-1 {
		size = lastPayload
	}
	sendPayload(now, a, port, first+uint32(index*testMaxPayload), size)
}

// sendUpload delivers the packets of an upload from one on, at one instant.
func sendUpload(now time.Time, a *Agent, port uint16, first uint32, from int) {
	for index := from; index < uploadPackets; index++ {
		sendUploadPacket(now, a, port, first, index)
	}
}

// answerUpload sends the answer of the server.
func answerUpload(now time.Time, a *Agent, port uint16) {
	a.HandleBackendPacket(now, flow.Reply{Flow: flowOf(port), PayloadSize: 300})
}

// requireNothingRuns requires that no request takes a slot or a share of one.
func requireNothingRuns(t require.TestingT, a *Agent) {
	require.Zero(t, a.load.occupied())
	require.Zero(t, a.load.inService)
}

// uploadEvent is the arrival of an opening packet (index -1), of a packet of an upload or of an
// answer (index uploadPackets).
type uploadEvent struct {
	at    time.Time
	port  uint16
	index int
}

// uploadEvents returns the packets of uploads that arrive at random for 8 s, at the highest rate
// of a single server. A caller sends a window of packets over a thin link and the rest a round
// trip later.
func uploadEvents() []uploadEvent {
	const perSecond, roundTrip, packetTime = 25, 60 * time.Millisecond, time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	var events []uploadEvent
	port := uint16(1024)
	for now := settledAt; now.Before(settledAt.Add(8 * time.Second)); port++ {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		events = append(events, uploadEvent{now, port, -1})
		for index := range uploadPackets {
			at := now.Add(time.Duration(1+index/uploadWindow)*roundTrip + time.Duration(index)*packetTime)
			events = append(events, uploadEvent{at, port, index})
		}
	}
	return events
}

// replayUploads plays events at an agent beside a server with two slots, on which 3 in 100 uploads take
// seven times as long as the others. It returns the number of opening packets that were not
// delivered at once.
func replayUploads(a *Agent, events []uploadEvent) (undelivered int) {
	random := rand.New(rand.NewPCG(5, 6))
	var freeAt [slots]time.Time
	refused := make(map[uint16]bool)
	for len(events) > 0 {
		slices.SortStableFunc(events, func(a, b uploadEvent) int { return a.at.Compare(b.at) })
		e := events[0]
		events = events[1:]
		switch {
		case refused[e.port]:
		case e.index < 0:
			if !openUpload(e.at, a, e.port, openingSequence) {
				refused[e.port] = true
				undelivered++
			}
		case e.index == uploadPackets:
			answerUpload(e.at, a, e.port)
			a.HandleBackendPacket(e.at, flow.Reply{Flow: flowOf(e.port), IsFinal: true})
		default:
			sendUploadPacket(e.at, a, e.port, openingSequence+1, e.index)
		}
		if e.index == uploadPackets-1 && !refused[e.port] {
			serviceTime := uploadServiceTime
			if random.IntN(100) < 3 {
				serviceTime *= 7
			}
			slices.SortFunc(freeAt[:], time.Time.Compare)
			freeAt[0] = latest(e.at, freeAt[0]).Add(serviceTime)
			events = append(events, uploadEvent{freeAt[0], e.port, uploadPackets})
		}
	}
	return undelivered
}

// Guards against uploads that wait or are refused while their server is idle, because the time in
// which their bytes arrive counts as work.
func TestUploadsAreDeliveredAtOnceWhileTheServerIsIdle(t *testing.T) {
	a := newUploadAgent(t, true)
	require.Zero(t, replayUploads(a, uploadEvents()))
	require.InDelta(t, 5, time.Duration(a.load.serviceTime).Seconds()*1000, 4, "milliseconds")
	requireNothingRuns(t, a)
	require.Positive(t, replayUploads(newUploadAgent(t, false), uploadEvents()), "the load must be such that requests of other services wait")
}

// Guards against a request that counts as complete before all its bytes are delivered, or never,
// when packets are lost and sent again, repeated or out of order, and when sequence numbers wrap.
func TestUploadIsCompleteOnceAllBytesAreDelivered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newUploadAgent(t, true)
		near := rapid.Uint32Range(0, uploadPackets*testMaxPayload).Draw(t, "distance from the wrap")
		opening := math.MaxUint32 - near
		require.True(t, openUpload(settledAt, a, 4000, opening))
		var all, order []int
		for index := range uploadPackets {
			all = append(all, index)
		}
		order = append(rapid.SliceOfN(rapid.SampledFrom(all), 0, 30).Draw(t, "first"), rapid.Permutation(all).Draw(t, "rest")...)
		delivered := make(map[int]bool)
		for _, index := range order {
			sendUploadPacket(settledAt, a, 4000, opening+1, index)
			delivered[index] = true
			complete := len(delivered) == uploadPackets
			require.Equal(t, complete, a.load.Running() == 1, "%d of %d packets", len(delivered), uploadPackets)
			require.Equal(t, complete, a.load.transfers == 0)
		}
		answerUpload(settledAt, a, 4000)
		requireNothingRuns(t, a)
	})
}

// Guards against callers that stop in the middle of an upload and keep others out, and against
// one that goes on and is not counted.
func TestIdleTransferReleasesItsShareUntilItsNextPacket(t *testing.T) {
	a := newUploadAgent(t, true)
	const stopped = maxTransfersPerSlot * slots
	for port := range uint16(stopped) {
		require.True(t, openUpload(settledAt, a, 4000+port, openingSequence))
		sendUploadPacket(settledAt, a, 4000+port, openingSequence+1, 0)
	}
	require.True(t, a.load.isFull())
	a.SweepCarried(settledAt.Add(transferIdleTimeout))
	require.True(t, a.load.isFull(), "a transfer keeps its share for the first retransmission")
	now := settledAt.Add(transferIdleTimeout + time.Millisecond)
	a.SweepCarried(now)
	requireNothingRuns(t, a)
	sendUploadPacket(now, a, 4000, openingSequence+1, 0)
	requireNothingRuns(t, a)
	sendUploadPacket(now, a, 4000, openingSequence+1, 1)
	require.Equal(t, 1, a.load.transfers)
	sendUpload(now, a, 4000, openingSequence+1, 2)
	require.Equal(t, 1, a.load.Running())
	require.Zero(t, a.load.transfers)
}

// A packet is lost twice, so that its transfer is idle until the second retransmission. Guards
// against a request in service that takes only a share, since the bytes before were forgotten.
func TestRetransmissionAfterTheIdleTimeoutCompletesTheUpload(t *testing.T) {
	a := newUploadAgent(t, true)
	openUpload(settledAt, a, 4000, openingSequence)
	for index := range uploadPackets {
		if index != 5 {
			sendUploadPacket(settledAt, a, 4000, openingSequence+1, index)
		}
	}
	now := settledAt.Add(transferIdleTimeout + time.Millisecond)
	a.SweepCarried(now)
	requireNothingRuns(t, a)
	sendUploadPacket(now, a, 4000, openingSequence+1, 5)
	require.Equal(t, 1, a.load.Running())
	answerUpload(now.Add(uploadServiceTime), a, 4000)
	require.Equal(t, uploadServiceTime, time.Duration(a.load.serviceTime))
	requireNothingRuns(t, a)
}

// Guards against a service time or a latency that counts the transfer, also where the end of the
// request is not noticed since its last packet is full.
func TestServiceTimeOfAnUploadCountsFromItsLastByte(t *testing.T) {
	for _, last := range []int{lastPayload, testMaxPayload} {
		a := newUploadAgent(t, true)
		now := settledAt
		openUpload(now, a, 4000, openingSequence)
		for index := range 3 {
			now = now.Add(60 * time.Millisecond)
			size := testMaxPayload
			if index == 2 {
				size = last
			}
			sendPayload(now, a, 4000, openingSequence+1+uint32(index*testMaxPayload), size)
		}
		answerUpload(now.Add(uploadServiceTime), a, 4000)
		require.Equal(t, uploadServiceTime, time.Duration(a.load.serviceTime))
		require.Equal(t, uploadServiceTime, time.Duration(a.load.latency))
		require.Equal(t, 120*time.Millisecond, time.Duration(a.load.transferTime))
		requireNothingRuns(t, a)
	}
}

// Guards against a server that seems to run a request for ever, or a transfer of unknown start,
// when it answers before the first byte.
func TestAnswerBeforeTheFirstByteIsNoRequest(t *testing.T) {
	a := newUploadAgent(t, true)
	openUpload(settledAt, a, 4000, openingSequence)
	answerUpload(settledAt, a, 4000)
	requireNothingRuns(t, a)
	require.Zero(t, a.load.transferTime)
	require.Zero(t, a.load.serviceTimeSamples)
	sendUpload(settledAt, a, 4000, openingSequence+1, 0)
	require.Equal(t, 1, a.load.Running())
}

// A server that gives up on a stopped caller answers after a long time. Guards against a service
// time that counts the wait for the caller.
func TestAnswerToAnIdleTransferIsNoServiceTime(t *testing.T) {
	a := newUploadAgent(t, true)
	openUpload(settledAt, a, 4000, openingSequence)
	sendUploadPacket(settledAt, a, 4000, openingSequence+1, 0)
	a.SweepCarried(settledAt.Add(time.Second))
	answerUpload(settledAt.Add(10*time.Second), a, 4000)
	require.Zero(t, a.load.serviceTimeSamples)
	requireNothingRuns(t, a)
}

// Guards against a late retransmission of an earlier upload on the same flow that takes a share
// or a slot, or keeps the next upload from being complete.
func TestUploadsFollowEachOtherOnOneFlow(t *testing.T) {
	const uploadSize = (uploadPackets-1)*testMaxPayload + lastPayload
	a := newUploadAgent(t, true)
	openUpload(settledAt, a, 4000, openingSequence)
	first := uint32(openingSequence + 1)
	for range 3 {
		sendUpload(settledAt, a, 4000, first, 0)
		require.Equal(t, 1, a.load.Running())
		answerUpload(settledAt, a, 4000)
		for _, late := range []int{3, uploadPackets - 1} {
			sendUploadPacket(settledAt, a, 4000, first, late)
			requireNothingRuns(t, a)
		}
		sendUploadPacket(settledAt, a, 4000, first+uploadSize, 0)
		sendUploadPacket(settledAt, a, 4000, first, uploadPackets-1)
		require.Zero(t, a.load.Running())
		first += uploadSize
	}
}

// Guards against more complete requests at one moment than the server queues.
func TestUploadsCompleteAtOnceStayWithinTheBound(t *testing.T) {
	a := newUploadAgent(t, true)
	// The server takes most of the objective, so that no request may queue.
	a.load.serviceTime, a.load.transferTime = float64(120*time.Millisecond), float64(time.Hour)
	accepted := uint16(0)
	for port := range uint16(100) {
		if openUpload(settledAt, a, 4000+port, openingSequence) {
			accepted++
		}
	}
	require.EqualValues(t, maxTransfersPerSlot*slots, accepted)
	for port := range uint16(100) {
		if a.flows[flowOf(4000+port)] != nil {
			sendUpload(settledAt, a, 4000+port, openingSequence+1, 0)
		}
	}
	require.EqualValues(t, accepted, a.load.Running())
	require.False(t, openUpload(settledAt, a, 5000, openingSequence), "complete uploads take whole slots")
}

// An agent restarts in the middle of an upload and learns of the flow from the server. Guards
// against a request that is never counted, or never ends.
func TestUploadIsCountedAfterARestartOfTheAgent(t *testing.T) {
	a := newUploadAgent(t, true)
	a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000)})
	requireNothingRuns(t, a)
	sendUploadPacket(settledAt, a, 4000, openingSequence+1, 9)
	require.Equal(t, 1, a.load.transfers)
	sendUpload(settledAt, a, 4000, openingSequence+1, 10)
	require.Equal(t, 1, a.load.Running())
	answerUpload(settledAt.Add(uploadServiceTime), a, 4000)
	require.Equal(t, uploadServiceTime, time.Duration(a.load.serviceTime))
	requireNothingRuns(t, a)
}

// Guards against memory that grows with the sequence numbers that a caller makes up.
func TestStateOfATransferIsBounded(t *testing.T) {
	a := newUploadAgent(t, true)
	openUpload(settledAt, a, 4000, openingSequence)
	for index := range uint32(1000) {
		sendPayload(settledAt, a, 4000, 100+index*2*testMaxPayload, testMaxPayload)
	}
	require.LessOrEqual(t, len(a.flows[flowOf(4000)].transfer.beyondGap), maxSegmentsBeyondGap)
	answerUpload(settledAt, a, 4000)
	requireNothingRuns(t, a)
}

// Guards against a change for services without uploads: a flow takes a slot when it opens, and the
// service time counts from the first byte.
func TestRequestsOfOtherServicesTakeASlotFromTheOpening(t *testing.T) {
	a := newUploadAgent(t, false)
	openUpload(settledAt, a, 4000, openingSequence)
	require.Equal(t, 1, a.load.Running())
	sendUploadPacket(settledAt, a, 4000, openingSequence+1, 0)
	sendUpload(settledAt.Add(60*time.Millisecond), a, 4000, openingSequence+1, 1)
	require.Equal(t, 1, a.load.Running())
	require.Zero(t, a.load.transfers)
	answerUpload(settledAt.Add(80*time.Millisecond), a, 4000)
	require.Equal(t, 80*time.Millisecond, time.Duration(a.load.serviceTime))
	requireNothingRuns(t, a)
}

// Guards against a request that never ends when the kind of its service is changed before its first
// bytes or in the middle.
func TestUploadEndsAsItBeganWhenTheServiceChanges(t *testing.T) {
	for _, sent := range []int{0, 5} {
		for _, upload := range []bool{true, false} {
			c := newTestCluster(t, 1)
			c.publishUpload(t, upload)
			a := c.agents[c.ids()[0]]
			a.config.MaxPayload = testMaxPayload
			openUpload(settledAt, a, 4000, openingSequence)
			for index := range sent {
				sendUploadPacket(settledAt, a, 4000, openingSequence+1, index)
			}
			c.publishUpload(t, !upload)
			sendUploadPacket(settledAt, a, 4000, openingSequence+1, sent)
			answerUpload(settledAt, a, 4000)
			a.HandleBackendPacket(settledAt, flow.Reply{Flow: flowOf(4000), IsFinal: true})
			requireNothingRuns(t, a)
		}
	}
}

// More segments than the agent remembers lie beyond a gap. The segment that closes the gap must still
// count, or the upload is never complete.
func TestGapIsClosedHoweverManySegmentsLieBeyondIt(t *testing.T) {
	const size = 100
	var current transfer
	current.next, current.isNextKnown = 0, true
	for i := uint32(1); i <= maxSegmentsBeyondGap; i++ {
		packet := flow.NewPacket(flowOf(4000), flow.Established, i*size, 0, nil).WithPayloadSize(size)
		current.add(settledAt, packet, size)
	}
	require.Len(t, current.beyondGap, maxSegmentsBeyondGap)
	current.add(settledAt, flow.NewPacket(flowOf(4000), flow.Established, 0, 0, nil).WithPayloadSize(size), size)
	require.Empty(t, current.beyondGap)
	require.EqualValues(t, (maxSegmentsBeyondGap+1)*size, current.next)
}
