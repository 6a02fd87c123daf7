package exchange

import (
	"slices"
	"time"

	core "github.com/radishmast/radishmast/internal/core/agent"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
	"github.com/radishmast/radishmast/internal/link/clock"
	"github.com/radishmast/radishmast/internal/wire/datagram"
)

const (
	// maxRevisionWait is how long a packet waits for a newer view.
	maxRevisionWait = 150 * time.Millisecond
	// maxAwaiting is the number of packets that may wait for newer views.
	maxAwaiting = 1024
)

// awaitingPacket is a packet that waits for a view with at least a revision.
type awaitingPacket struct {
	heldPacket
	revision fleet.Revision
	giveUpAt time.Time
}

// awaitRevision holds a copy of a packet until the view has a revision. It reports false, and
// holds nothing, if too many packets wait. It is called with Config.Mutex held.
func (h *HeldPackets) awaitRevision(now time.Time, header *datagram.Header, packet flow.Packet, evidence ownership.Evidence, revision fleet.Revision) bool {
	if len(h.awaiting) >= maxAwaiting {
		return false
	}
	h.awaiting = append(h.awaiting, awaitingPacket{copyPacket(header, packet.Bytes(), evidence), revision, now.Add(maxRevisionWait)})
	h.notify()
	return true
}

// takeAwaiting removes and returns the packets that wait for at most a revision, and the number
// of others that it removes because they have waited too long. It is called with Config.Mutex
// held.
func (h *HeldPackets) takeAwaiting(now time.Time, revision fleet.Revision) (ready []heldPacket, expired int) {
	h.awaiting = slices.DeleteFunc(h.awaiting, func(p awaitingPacket) bool {
		switch {
		case !p.revision.IsNewerThan(revision):
			ready = append(ready, p.heldPacket)
			return true
		case !now.Before(p.giveUpAt):
			expired++
			return true
		}
		return false
	})
	return ready, expired
}

// releaseAwaiting processes the packets that wait for a view with the revision in force or an
// earlier one, and drops those that have waited too long. It reports whether others still wait.
func (d *Dispatcher) releaseAwaiting() bool {
	now := clock.Now()
	d.Mutex.Lock()
	ready, expired := d.HeldPackets.takeAwaiting(now, d.Node.Revisions().Highest())
	waiting := len(d.HeldPackets.awaiting) > 0
	d.Mutex.Unlock()
	for i := range ready {
		d.Dispatch(now, &ready[i].header, ready[i].body, func(now time.Time, received *core.ReceivedPacket) core.Action {
			received.Evidence = ready[i].evidence
			return d.Core.ResumeAfterLookup(now, received)
		})
	}
	if len(ready) > 0 {
		d.Delivery.Flush()
	}
	d.dropStale(expired)
	return waiting
}

// dropStale counts dropped packets whose sender had a newer view.
func (d *Dispatcher) dropStale(count int) {
	d.Counters.Add(string(core.DropViewStale), count)
}
