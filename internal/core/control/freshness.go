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
	// delayPerRank separates the processes that would read next, so that the first
	// one's answer spares the others.
	delayPerRank = 40 * time.Millisecond
	maxRankDelay = 600 * time.Millisecond
	// maxFirstReadDelay spreads the first reads of a fleet that starts at once.
	maxFirstReadDelay = 10 * time.Millisecond
	// minConfirmationAdvance is the least progress of the picture's age that is passed on at once.
	minConfirmationAdvance = 500 * time.Millisecond
)

// freshness follows how old the picture is: when it was last compared with the
// platform, by this process or by the peers it has it from.
type freshness struct {
	confirmedAt time.Time
	gossipedAt  time.Time
	readRank    int
	firstReadAt time.Time
}

// ShouldReadPlatform reports whether this process should read the platform now.
func (c *Controller) ShouldReadPlatform(now time.Time) bool {
	f := &c.viewFreshness
	switch {
	case f.confirmedAt.IsZero():
		return !now.Before(f.firstReadAt)
	case f.readRank < readerCount:
		return true
	}
	delay := min(time.Duration(f.readRank-readerCount)*delayPerRank, maxRankDelay)
	return now.After(f.confirmedAt.Add(staleAfter + delay))
}

// FirstReadDelay returns how long this process waits for its peers before its first read.
func (c *Controller) FirstReadDelay(now time.Time) time.Duration {
	return max(0, c.viewFreshness.firstReadAt.Sub(now))
}

// ViewAge returns how old the picture is. It reports false if it was never confirmed.
func (c *Controller) ViewAge(now time.Time) (time.Duration, bool) {
	if c.viewFreshness.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(c.viewFreshness.confirmedAt), true
}

// recordConfirmation records that the picture was current at an instant, and passes that on.
func (c *Controller) recordConfirmation(now, at time.Time, source LinkID) {
	c.unconfirmed = false
	if !at.After(c.viewFreshness.confirmedAt) {
		return
	}
	c.viewFreshness.confirmedAt = at
	if at.Sub(c.viewFreshness.gossipedAt) < minConfirmationAdvance {
		return
	}
	c.viewFreshness.gossipedAt = at
	c.nextSummaryAt = now.Add(summaryInterval)
	c.broadcast(c.newSummary(now), source)
}

// updateReadRank computes this process's place in the order in which processes read:
// the first agent of each data centre, then the second ones, and so on. Processes
// that are not listed come last.
func (c *Controller) updateReadRank() {
	byDataCentre := make(map[string][]fleet.InstanceID)
	for id, node := range c.view.Nodes() {
		if node.Role() == fleet.RoleAgent && !c.state.Peers().IsUnreachable(id) {
			byDataCentre[node.DataCentre()] = append(byDataCentre[node.DataCentre()], id)
		}
	}
	type readerCandidate struct {
		id                fleet.InstanceID
		indexInDataCentre int
	}
	var candidates []readerCandidate
	for _, ids := range byDataCentre {
		slices.Sort(ids)
		for i, id := range ids {
			candidates = append(candidates, readerCandidate{id, i})
		}
	}
	slices.SortFunc(candidates, func(a, b readerCandidate) int {
		return cmp.Or(cmp.Compare(a.indexInDataCentre, b.indexInDataCentre), cmp.Compare(a.id, b.id))
	})
	c.viewFreshness.readRank = slices.IndexFunc(candidates, func(p readerCandidate) bool { return p.id == c.config.Self })
	if c.viewFreshness.readRank < 0 {
		c.viewFreshness.readRank = max(readerCount, len(candidates))
	}
}
