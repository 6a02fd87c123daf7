// Package control is the decision core of a process's control state: the
// documents in force, the peer table, the links over which both spread, and the
// probing of peers.
//
// The core is pure and single-threaded: messages and clock readings go in,
// outputs come out.
package control

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Intervals of the control protocol.
const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 50 * time.Millisecond

	summaryInterval = time.Second
	linkTimeout     = 2500 * time.Millisecond
	minLinkLifetime = 60 * time.Second
	dialInterval    = 500 * time.Millisecond
	// firstDialInterval is the mean time between two dials while nothing is known.
	firstDialInterval = 100 * time.Millisecond
	weightViewDelay   = time.Second
	// minViewInterval is the least time between two views, once there is one to route by.
	// After a start of the whole fleet each peer's first record would ask for one.
	minViewInterval = 40 * time.Millisecond
	pauseThreshold  = time.Second
	// lateTickThreshold is the delay between two ticks from which this process, and not its
	// peers, may be what is slow.
	lateTickThreshold    = 2 * TickInterval
	confirmTimeout       = 2 * time.Second
	wantedDialledLinks   = 3
	maxRecordsPerMessage = 512
)

// Config identifies the process.
type Config struct {
	Self        fleet.InstanceID
	Incarnation uint64
	Role        fleet.Role
	DataCentre  string
	// Announcement is what an agent says of its backend server, or nil where the platform's
	// list does not lapse.
	Announcement *fleet.Announcement
	// Control is the process's own control endpoint.
	Control netip.AddrPort
	// Seeds are control endpoints to learn from when nothing is known yet. The process's
	// own may be among them.
	Seeds []netip.AddrPort
}

// link is one control link.
type link struct {
	peer             fleet.InstanceID
	dialled          bool
	timeoutAt        time.Time
	rotateAt         time.Time
	closableAt       time.Time
	digestMismatches int
}

// Controller owns the control state.
type Controller struct {
	config         Config
	random         *rand.Rand
	state          *fleet.State
	ownRecord      fleet.PeerRecord
	links          map[LinkID]*link
	prober         *prober
	pendingRecords map[fleet.InstanceID]fleet.PeerRecord
	// hasUrgentRecord tells that a changed record decides where packets may go. Others wait for
	// the next tick, so that many travel together.
	hasUrgentRecord bool

	outputs       []Output
	viewDueAt     time.Time
	viewScheduled bool
	// earliestViewAt is the instant from which the next view may be published.
	earliestViewAt time.Time
	// routingChanged tells that the view that is due changes where packets may go.
	routingChanged bool
	view           *fleet.View
	nextSummaryAt  time.Time
	nextDialAt     time.Time
	// nextSeed counts the seeds that were dialled.
	nextSeed        int
	startedAt       time.Time
	lastTick        time.Time
	confirmDeadline time.Time
	unconfirmed     bool
	viewFreshness   freshness
	latestChanges   recentChanges
	// hadLapsedAgents tells that agents whose entries have gone were still accepting.
	hadLapsedAgents bool
	// documentRequestDeadline is until when an answer of a peer that was asked for documents is
	// awaited.
	documentRequestDeadline time.Time
}

// New returns a controller without documents.
func New(now time.Time, config Config, random *rand.Rand) *Controller {
	config.Seeds = slices.DeleteFunc(slices.Clone(config.Seeds), func(seed netip.AddrPort) bool { return seed == config.Control })
	c := &Controller{
		config:          config,
		random:          random,
		state:           fleet.NewState(),
		ownRecord:       fleet.PeerRecord{ID: config.Self, Incarnation: config.Incarnation},
		links:           make(map[LinkID]*link),
		prober:          newProber(),
		pendingRecords:  make(map[fleet.InstanceID]fleet.PeerRecord),
		startedAt:       now,
		lastTick:        now,
		confirmDeadline: now.Add(confirmTimeout),
		unconfirmed:     true,
		nextSeed:        random.IntN(max(1, len(config.Seeds))),
		viewFreshness:   freshness{firstReadAt: now.Add(time.Duration(random.Int64N(int64(maxFirstReadDelay))))},
	}
	c.ownRecord.Announcement = config.Announcement
	c.state.Peers().Merge(now, c.ownRecord)
	c.state.RecordAnnouncement(now, c.ownRecord)
	c.view = c.state.View(now)
	return c
}

// IsConfirmed reports whether the view was compared with a peer or the platform
// since the process started or resumed. Traffic waits for it: without documents this
// process could only refuse what others serve.
func (c *Controller) IsConfirmed(now time.Time) bool {
	revisions := c.state.Revisions()
	if revisions.Services == 0 || revisions.Instances == 0 {
		return false
	}
	return !c.unconfirmed || now.After(c.confirmDeadline)
}

// View returns the view last published.
func (c *Controller) View() *fleet.View { return c.view }

// Records returns the peer table.
func (c *Controller) Records() []fleet.PeerRecord { return c.state.Peers().All() }

// LinkCount returns the number of control links.
func (c *Controller) LinkCount() int { return len(c.links) }

// takeOutputs returns the outputs collected since the last call.
func (c *Controller) takeOutputs() []Output {
	outputs := c.outputs
	c.outputs = nil
	return outputs
}

func (c *Controller) emit(output Output) {
	c.outputs = append(c.outputs, output)
}

// Tick does what is due.
func (c *Controller) Tick(now time.Time) []Output {
	c.detectPause(now)
	c.maintainLinks(now)
	c.flushRecords()
	if !now.Before(c.nextSummaryAt) {
		c.nextSummaryAt = now.Add(summaryInterval)
		c.broadcast(c.newSummary(now), 0)
	}
	c.probeDuePeers(now)
	c.retainLapsedAgents(now)
	c.publishIfDue(now)
	return c.takeOutputs()
}

// detectPause notices that the process did not run for a while. What it knows
// is then old until a peer or the platform confirms it.
func (c *Controller) detectPause(now time.Time) {
	if now.Sub(c.lastTick) > pauseThreshold {
		c.unconfirmed = true
		c.confirmDeadline = now.Add(confirmTimeout)
		c.nextSummaryAt = now
		for _, l := range c.links {
			l.timeoutAt = now.Add(linkTimeout)
			l.rotateAt = c.rotationTime(now)
		}
		c.prober.forgetPending()
		c.emit(ReportEvent{Event: EventResumed})
	}
	if now.Sub(c.lastTick) > lateTickThreshold {
		c.prober.extendTimeouts(now)
	}
	c.lastTick = now
}

// scheduleRoutingChange asks for a new view at once, since it changes where packets may go.
func (c *Controller) scheduleRoutingChange(now time.Time) {
	c.routingChanged = true
	c.scheduleView(now)
}

// scheduleView asks for a new view at an instant, or earlier if one is due.
func (c *Controller) scheduleView(at time.Time) {
	if !c.viewScheduled || at.Before(c.viewDueAt) {
		c.viewDueAt = at
	}
	c.viewScheduled = true
}

func (c *Controller) publishIfDue(now time.Time) {
	if !c.viewScheduled || now.Before(c.viewDueAt) || now.Before(c.earliestViewAt) {
		return
	}
	if c.routingChanged {
		c.view = c.state.View(now)
	} else {
		c.view = c.state.ViewSettledAt(now, c.view.SettledAt())
	}
	c.viewScheduled, c.routingChanged = false, false
	if c.view.CanRoute() {
		c.earliestViewAt = now.Add(minViewInterval)
	}
	c.prober.setPeers(c.peersToProbe())
	c.updateReadRank()
	c.emit(PublishView{View: c.view})
}

// HandleMessage handles a message from a link.
func (c *Controller) HandleMessage(now time.Time, id LinkID, message *Message) []Output {
	l := c.links[id]
	if l == nil {
		return nil
	}
	l.timeoutAt = now.Add(linkTimeout)
	switch {
	case message.Summary != nil:
		c.receiveSummary(now, id, l, message.Summary)
	case message.Digests != nil:
		c.receiveDigests(id, message.Digests)
	case message.Change != nil:
		c.receiveChange(now, id, message.Change)
	}
	for _, record := range message.Records {
		c.mergeRecord(now, record)
	}
	if c.hasUrgentRecord {
		c.flushRecords()
	}
	c.publishIfDue(now)
	return c.takeOutputs()
}

func (c *Controller) receiveSummary(now time.Time, id LinkID, l *link, summary *Summary) {
	l.peer = summary.ID
	ownRevisions := c.state.Revisions()
	if summary.WantsDocuments {
		for _, change := range c.latestChanges.changesSince(c.state, summary.Revisions) {
			c.emit(Send{Link: id, Message: &Message{Change: change}})
		}
	}
	isBehind := summary.Revisions.Services > ownRevisions.Services ||
		summary.Revisions.Backends > ownRevisions.Backends ||
		summary.Revisions.Instances > ownRevisions.Instances
	if isBehind {
		c.requestDocuments(now, id)
	} else {
		c.unconfirmed = false
		if summary.ViewAge >= 0 {
			c.recordConfirmation(now, now.Add(-summary.ViewAge), id)
		}
	}
	if summary.Revisions.Instances == ownRevisions.Instances {
		c.compareTables(id, l, summary.TableDigest)
	}
}

// compareTables starts a comparison by parts when the tables differed in two
// summaries running, since a change on its way makes them differ for a moment.
func (c *Controller) compareTables(id LinkID, l *link, digest uint64) {
	if digest == c.tableDigest() {
		l.digestMismatches = 0
		return
	}
	l.digestMismatches++
	if l.digestMismatches < 2 {
		return
	}
	l.digestMismatches = 0
	c.emit(Send{Link: id, Message: &Message{Digests: &Digests{Buckets: c.bucketDigests(), WantsReply: true}}})
}

func (c *Controller) receiveDigests(id LinkID, digests *Digests) {
	ownBuckets := c.bucketDigests()
	if len(digests.Buckets) != len(ownBuckets) {
		return
	}
	if digests.WantsReply {
		c.emit(Send{Link: id, Message: &Message{Digests: &Digests{Buckets: ownBuckets}}})
	}
	var records []fleet.PeerRecord
	for _, record := range c.state.Peers().All() {
		bucket := uint64(record.ID) % digestBucketCount
		if ownBuckets[bucket] != digests.Buckets[bucket] && c.isReplicated(record) {
			records = append(records, record)
		}
	}
	for batch := range slices.Chunk(records, maxRecordsPerMessage) {
		c.emit(Send{Link: id, Message: &Message{Records: batch}})
	}
}

func (c *Controller) newSummary(now time.Time) *Message {
	age, known := c.ViewAge(now)
	if !known {
		age = -1
	}
	return &Message{Summary: &Summary{
		ID:          c.config.Self,
		Incarnation: c.config.Incarnation,
		Revisions:   c.state.Revisions(),
		ViewAge:     age,
		TableDigest: c.tableDigest(),
	}}
}

func (c *Controller) broadcast(message *Message, except LinkID) {
	for id := range c.links {
		if id != except {
			c.emit(Send{Link: id, Message: message})
		}
	}
}
