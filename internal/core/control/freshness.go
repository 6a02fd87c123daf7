package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Who reads the platform. The load pattern it answers: a fleet of any size after a
// start, a failure of the readers, or a platform that serves only some machines.
const (
	// readerCount is the number of processes that read the platform for all.
	readerCount = 2
	// staleAfter is how old the picture may get before a process that is not a reader
	// reads as well.
	staleAfter = 1600 * time.Millisecond
	// rankDelay separates the processes that would read next, so that the first
	// one's answer spares the others.
	rankDelay = 40 * time.Millisecond
	maxDelay  = 600 * time.Millisecond
	// firstReadDelay spreads the first reads of a fleet that starts at once.
	firstReadDelay = 10 * time.Millisecond
	// minAdvance is the least progress of the picture's age that is passed on at once.
	minAdvance = 500 * time.Millisecond
)

// freshness follows how old the picture is: when it was last compared with the
// platform, by this process or by the peers it has it from.
type freshness struct {
	confirmedAt time.Time
	gossipedAt  time.Time
	rank        int
	firstReadAt time.Time
}

// ShouldReadPlatform reports whether this process should read the platform now.
func (c *Controller) ShouldReadPlatform(now time.Time) bool {
	f := &c.fresh
	switch {
	case f.confirmedAt.IsZero():
		return !now.Before(f.firstReadAt)
	case f.rank < readerCount:
		return true
	}
	delay := min(time.Duration(f.rank-readerCount)*rankDelay, maxDelay)
	return now.After(f.confirmedAt.Add(staleAfter + delay))
}

// FirstReadDelay returns how long this process waits for its peers before its first read.
func (c *Controller) FirstReadDelay(now time.Time) time.Duration {
	return max(0, c.fresh.firstReadAt.Sub(now))
}

// ViewAge returns how old the picture is. It reports false if it was never confirmed.
func (c *Controller) ViewAge(now time.Time) (time.Duration, bool) {
	if c.fresh.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(c.fresh.confirmedAt), true
}

// recordConfirmation records that the picture was current at an instant, and passes that on.
func (c *Controller) recordConfirmation(now, at time.Time, source LinkID) {
	c.unconfirmed = false
	if !at.After(c.fresh.confirmedAt) {
		return
	}
	c.fresh.confirmedAt = at
	if at.Sub(c.fresh.gossipedAt) < minAdvance {
		return
	}
	c.fresh.gossipedAt = at
	c.summaryAt = now.Add(summaryInterval)
	c.broadcast(c.summary(now), source)
}

// rankReaders computes this process's place in the order in which processes read:
// the first agent of each data centre, then the second ones, and so on. Processes
// that are not listed come last.
func (c *Controller) rankReaders() {
	byDataCentre := make(map[string][]fleet.InstanceID)
	for id, node := range c.view.Nodes() {
		if node.Role() == fleet.RoleAgent && !c.state.Peers().IsUnreachable(id) {
			byDataCentre[node.DataCentre()] = append(byDataCentre[node.DataCentre()], id)
		}
	}
	type place struct {
		id    fleet.InstanceID
		round int
	}
	var places []place
	for _, ids := range byDataCentre {
		slices.Sort(ids)
		for round, id := range ids {
			places = append(places, place{id, round})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.id, b.id))
	})
	c.fresh.rank = slices.IndexFunc(places, func(p place) bool { return p.id == c.config.Self })
	if c.fresh.rank < 0 {
		c.fresh.rank = max(readerCount, len(places))
	}
}
