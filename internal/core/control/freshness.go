package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Parameters that decide which processes read the platform. They limit the load on the
// platform in a fleet of any size: after a start, after a failure of the readers, and if the
// platform serves only some machines.
const (
	// readerCount is the number of readers: processes that read the platform for all. The
	// other processes receive the documents, and the age of the view, from peers.
	readerCount = 2
	// staleAfter is the age of the view above which a process that is not a reader reads
	// the platform as well.
	staleAfter = 1600 * time.Millisecond
	// delayPerRank is the time by which each further process reads later than the one
	// before it in rank, so that the result of the first one saves the others their read, and
	// a platform that is down gets few calls. From rank lateRank on it is lateDelayPerRank: if
	// so many have not reached the platform, each may have to read for itself.
	delayPerRank     = 40 * time.Millisecond
	lateRank         = 50
	lateDelayPerRank = 5 * time.Millisecond
	// peerPatience is how long a process that has just started waits for the documents from a
	// peer before it reads the platform itself.
	peerPatience = 40 * time.Millisecond
	// maxFirstReadDelay limits the random delay of the first read, which spreads the reads of
	// processes that all start at once.
	maxFirstReadDelay = 10 * time.Millisecond
	// retryDelayPerNode and minRetryDelay give the time after which a process that is no
	// reader reads again after a failed read, so that all of them together call a platform
	// that is down as often in a fleet of any size. A process without links waits only for
	// minRetryDelay.
	retryDelayPerNode = 25 * time.Millisecond
	minRetryDelay     = 500 * time.Millisecond
	// maxRefusedPatience is how long after its start a process without links, whose peers
	// refuse them, puts off its next read.
	maxRefusedPatience = 3 * time.Second
	// minConfirmationAdvance is the minimum time between two confirmations of the view that
	// are both gossiped at once. Others wait for the next summary.
	minConfirmationAdvance = 500 * time.Millisecond
)

// freshness records when the view was last compared with the platform, by this process or by
// a peer that reported it, and decides when this process reads the platform itself.
type freshness struct {
	// confirmedAt is zero if the view was never compared with the platform.
	confirmedAt time.Time
	// gossipedAt is the confirmation time that was last gossiped at once.
	gossipedAt time.Time
	// readRank is the position of this process in the order in which processes read the
	// platform. The readers are those below readerCount.
	readRank int
	// firstReadAt is the earliest time of the first read if no peer has confirmed the view
	// before. It has no effect once confirmedAt is set.
	firstReadAt time.Time
	// failedAt is when this process last failed to read the platform, or zero.
	failedAt time.Time
}

// HandleDialFailed records that a link could not be dialled. A process without links then makes its
// first read at once: the peer has not started yet either, or many dial it at the same time.
func (c *Controller) HandleDialFailed(now time.Time) {
	if len(c.links) == 0 {
		c.hurryFirstRead(now)
	}
}

// HandleLinkRefused records that a peer refused a link because it had too many. A process without
// links whose first read has failed then puts off the next one, since others that run read for it.
func (c *Controller) HandleLinkRefused(now time.Time) {
	c.HandleDialFailed(now)
	f := &c.viewFreshness
	if len(c.links) > 0 || f.failedAt.IsZero() || now.After(c.startedAt.Add(maxRefusedPatience)) {
		return
	}
	f.failedAt = now
}

// firstReadDelay returns the time from the start of this process to its first read, unless a peer
// has sent the documents before. In a running fleet the first peer that it dials does so at once.
func (c *Controller) firstReadDelay() time.Duration {
	delay := time.Duration(c.random.Int64N(int64(maxFirstReadDelay)))
	if len(c.config.Seeds) > 0 {
		delay += peerPatience
	}
	return delay
}

// hurryFirstRead makes the first read due, since a peer has not all documents either or cannot be
// dialled: all processes may have just started, and waiting for each other would only delay them.
func (c *Controller) hurryFirstRead(now time.Time) {
	if now.Before(c.viewFreshness.firstReadAt) {
		c.viewFreshness.firstReadAt = now
	}
}

// ShouldReadPlatform reports whether this process should read the platform now. Until the view
// is first confirmed, each process reads from firstReadAt on.
// After that, readers always read, and another process reads only if the view is older than
// staleAfter plus the delay for its rank, which a process without links does not wait for, as no
// peer can tell it anything. After a failed read a process waits for retryDelay.
func (c *Controller) ShouldReadPlatform(now time.Time) bool {
	f := &c.viewFreshness
	switch {
	case now.Before(f.failedAt.Add(c.retryDelay())):
		return false
	case f.confirmedAt.IsZero():
		return !now.Before(f.firstReadAt)
	case f.readRank < readerCount:
		return true
	case len(c.links) == 0:
		return now.After(f.confirmedAt.Add(staleAfter))
	}
	return now.After(f.confirmedAt.Add(staleAfter + rankDelay(f.readRank-readerCount)))
}

// rankDelay returns how much later than the first process one with a rank reads.
func rankDelay(rank int) time.Duration {
	early, late := min(rank, lateRank), max(rank-lateRank, 0)
	return time.Duration(early)*delayPerRank + time.Duration(late)*lateDelayPerRank
}

// RecordReadFailure records that this process could not read the platform.
func (c *Controller) RecordReadFailure(now time.Time) { c.viewFreshness.failedAt = now }

// retryDelay returns how long after a failed read this process reads again. Readers whose view was
// confirmed before follow the backoff of their source alone.
func (c *Controller) retryDelay() time.Duration {
	f := &c.viewFreshness
	switch {
	case len(c.links) == 0:
		return minRetryDelay
	case f.readRank >= readerCount:
		return max(minRetryDelay, time.Duration(len(c.view.Nodes()))*retryDelayPerNode)
	case f.confirmedAt.IsZero():
		return minRetryDelay
	}
	return 0
}

// ViewAge returns the time since the view was last compared with the platform, by this process
// or by a peer. It reports false if that never happened.
func (c *Controller) ViewAge(now time.Time) (time.Duration, bool) {
	if c.viewFreshness.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(c.viewFreshness.confirmedAt), true
}

// recordConfirmation records that the view matched the platform at a time, and gossips that
// time on all links but source if it is sufficiently later than the one gossiped before.
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

// updateReadRank computes the rank of this process in the order in which processes read the
// platform: the first reachable agent of each data centre by ID, then the second one of each,
// and so on. Processes that are not among them, such as balancers, come last and are never
// readers.
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
		for indexInDataCentre, id := range ids {
			candidates = append(candidates, readerCandidate{id, indexInDataCentre})
		}
	}
	slices.SortFunc(candidates, func(a, b readerCandidate) int {
		return cmp.Or(cmp.Compare(a.indexInDataCentre, b.indexInDataCentre), cmp.Compare(a.id, b.id))
	})
	c.viewFreshness.readRank = slices.IndexFunc(candidates, func(candidate readerCandidate) bool { return candidate.id == c.config.Self })
	if c.viewFreshness.readRank < 0 {
		c.viewFreshness.readRank = max(readerCount, len(candidates))
	}
}
