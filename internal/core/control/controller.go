// Package control decides how a process keeps its control state: the current
// documents, the peer table, the control links over which both are gossiped, and
// the probes of peers.
//
// It does no input or output of its own. Each call of a Controller gets an event and
// the current time, and returns the outputs that the caller must carry out.
package control

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Intervals and limits of the control protocol.
const (
	// TickInterval is the interval at which the caller must call Controller.Tick.
	TickInterval = 50 * time.Millisecond

	// summaryInterval is the time between two summaries on a link.
	summaryInterval = time.Second
	// linkTimeout is the time without a message after which a link is closed.
	linkTimeout = 2500 * time.Millisecond
	// minLinkLifetime is the time after which a dialled link may be replaced. Each link
	// adds a random time of at most the same length.
	minLinkLifetime = 60 * time.Second
	// dialInterval is the mean time between two dials while the process has fewer than
	// wantedDialledLinks dialled links.
	dialInterval = 500 * time.Millisecond
	// firstDialInterval replaces dialInterval until the view holds a document of each
	// kind.
	firstDialInterval = 100 * time.Millisecond
	// weightViewDelay is the time from a change that does not affect where packets may go,
	// such as that of a weight, to the view that contains it.
	weightViewDelay = time.Second
	// minViewInterval is the minimum time between two views once a view can route. After a
	// start of the whole fleet, the first record of each peer would otherwise cause a view.
	minViewInterval = 40 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process counts as
	// paused.
	pauseThreshold = time.Second
	// lateTickThreshold is the time between two ticks above which probe timeouts are
	// extended: replies may be missing because this process is slow, not its peers.
	lateTickThreshold = 2 * TickInterval
	// confirmTimeout is the time for which the process waits, after a start or a pause, for
	// a peer or the platform to confirm the view. After it, the view is used unconfirmed.
	confirmTimeout = 2 * time.Second
	// wantedDialledLinks is the number of links that a process dials and keeps.
	wantedDialledLinks = 3
	// wantedNearLinks is how many of them go to peers in the data centre of the process, if
	// there are as many. Each change then crosses between data centres on few links and
	// spreads inside them on the others.
	wantedNearLinks = 2
	// maxRecordsPerMessage is the largest number of peer records in one message.
	maxRecordsPerMessage = 512
)

// Config identifies the process and names the endpoints that it dials first.
type Config struct {
	Self        fleet.InstanceID
	Incarnation uint64
	Role        fleet.Role
	DataCentre  string
	// Announcement describes the agent and its backend server to peers while the platform
	// does not list the agent. It is nil if entries in the platform's list cannot lapse.
	Announcement *fleet.Announcement
	// Control is the process's own control endpoint.
	Control netip.AddrPort
	// Seeds are the control endpoints to dial while the view holds no other process. They
	// may include the process's own endpoint, which is never dialled.
	Seeds []netip.AddrPort
}

// link is the state of one control link.
type link struct {
	// peer is zero until the first summary is received on the link.
	peer fleet.InstanceID
	// dialled reports whether this process dialled the link; otherwise it accepted it.
	dialled bool
	// timeoutAt is the time after which the link is closed unless a message is received.
	timeoutAt time.Time
	// rotateAt is the time after which a dialled link is closed, to dial another peer.
	rotateAt time.Time
	// closableAt is the time after which the link may be closed as a surplus link.
	closableAt time.Time
	// announced holds the revisions that the peer has last announced, and viewConfirmedAt when
	// the peer's view had last been compared with the platform by then, or zero if never.
	// announced is nil before the first summary, and after a pause of this process.
	announced       *fleet.Revisions
	viewConfirmedAt time.Time
	// digestMismatches counts consecutive summaries whose table digest differed from that
	// of this process.
	digestMismatches int
}

// Controller owns the control state of one process. It is not safe for concurrent use.
type Controller struct {
	config Config
	random *rand.Rand
	state  *fleet.State
	// ownRecord is the peer record of this process itself.
	ownRecord fleet.PeerRecord
	links     map[LinkID]*link
	prober    *prober
	// pendingRecords holds the records that changed since the last flush to all links.
	pendingRecords map[fleet.InstanceID]fleet.PeerRecord
	// hasUrgentRecord reports whether a pending record changes where packets may go and is
	// not the first one of its process. Other records wait for the next tick, so that one
	// message carries many of them.
	hasUrgentRecord bool

	// outputs holds the outputs collected since the last call of takeOutputs.
	outputs []Output
	// viewDueAt is the time at which the next view is due. It is valid if viewScheduled.
	viewDueAt     time.Time
	viewScheduled bool
	// earliestViewAt is the time before which no view is published, even if one is due.
	earliestViewAt time.Time
	// routingChanged reports whether the scheduled view changes where packets may go.
	routingChanged bool
	// view is the view published last.
	view          *fleet.View
	nextSummaryAt time.Time
	nextDialAt    time.Time
	// lastSeedIndex, modulo the number of seeds, is the index of the seed dialled last. It
	// starts at a random index.
	lastSeedIndex int
	startedAt     time.Time
	lastTick      time.Time
	// confirmDeadline is the time after which the view is used even if unconfirmed.
	confirmDeadline time.Time
	// unconfirmed reports whether neither a peer nor the platform has confirmed the view
	// since the process started or resumed.
	unconfirmed   bool
	viewFreshness freshness
	latestChanges recentChanges
	// hadGracePeriod reports whether, a grace period was running at the last tick.
	hadGracePeriod bool
	// documentRequestDeadline is the time until which this process waits for documents that
	// it requested from one peer, and requests none from another.
	documentRequestDeadline time.Time
}

// New returns a controller that holds no documents and only its own peer record. It
// draws all random delays and choices from random.
func New(now time.Time, config Config, random *rand.Rand) *Controller {
	config.Seeds = slices.DeleteFunc(slices.Clone(config.Seeds), func(seed netip.AddrPort) bool { return seed == config.Control })
	c := &Controller{
		config:          config,
		random:          random,
		state:           fleet.NewState(),
		ownRecord:       fleet.PeerRecord{ID: config.Self, Incarnation: config.Incarnation},
		links:           make(map[LinkID]*link),
		prober:          newProber(random.IntN(maxFirstIndex)),
		pendingRecords:  make(map[fleet.InstanceID]fleet.PeerRecord),
		startedAt:       now,
		lastTick:        now,
		confirmDeadline: now.Add(confirmTimeout),
		unconfirmed:     true,
		lastSeedIndex:   random.IntN(max(1, len(config.Seeds))),
	}
	c.viewFreshness.firstReadAt = now.Add(c.firstReadDelay())
	c.ownRecord.Announcement = config.Announcement
	c.state.StartHistory(now)
	c.state.Peers().Merge(now, c.ownRecord)
	c.state.RecordAnnouncement(now, c.ownRecord, true)
	c.view = c.state.View(now)
	return c
}

// IsConfirmed reports whether traffic may rely on the view: a peer or the platform has
// confirmed it since the process started or resumed, or confirmTimeout has passed since.
// It is false without documents of services and instances, since this process would then
// reject flows that other processes serve.
func (c *Controller) IsConfirmed(now time.Time) bool {
	revisions := c.state.Revisions()
	if revisions.Services.IsMissing() || revisions.Instances.IsMissing() {
		return false
	}
	return !c.unconfirmed || now.After(c.confirmDeadline)
}

// Incarnation returns the incarnation of the own record. It rises if peers know a higher one,
// as after a step of the clock between two starts.
func (c *Controller) Incarnation() uint64 { return c.ownRecord.Incarnation }

// View returns the view that was published last.
func (c *Controller) View() *fleet.View { return c.view }

// Records returns all records of the peer table, in no particular order.
func (c *Controller) Records() []fleet.PeerRecord { return c.state.Peers().All() }

// LinkCount returns the number of control links.
func (c *Controller) LinkCount() int { return len(c.links) }

// takeOutputs returns the outputs collected since its last call.
func (c *Controller) takeOutputs() []Output {
	outputs := c.outputs
	c.outputs = nil
	return outputs
}

// emit adds an output to those that the current call returns.
func (c *Controller) emit(output Output) {
	c.outputs = append(c.outputs, output)
}

// Tick does all work that depends on time: it detects pauses, maintains links, and sends
// pending records, summaries and probes. It publishes a view if one is due.
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

// detectPause compares the time with that of the last tick. After a pause, the view may be out
// of date and counts as unconfirmed until a peer or the platform confirms it; the process sends
// a summary at once, restarts the timeouts of its links and drops its pending probes. After a
// late tick that is no pause, it only extends the timeouts of probes.
func (c *Controller) detectPause(now time.Time) {
	if now.Sub(c.lastTick) > pauseThreshold {
		c.unconfirmed = true
		c.confirmDeadline = now.Add(confirmTimeout)
		c.nextSummaryAt = now
		for _, l := range c.links {
			l.timeoutAt = now.Add(linkTimeout)
			l.rotateAt = c.rotationTime(now)
			l.announced = nil
		}
		c.prober.forgetPending()
		c.emit(ReportEvent{Event: EventResumed})
	}
	if now.Sub(c.lastTick) > lateTickThreshold {
		c.prober.extendTimeouts(now)
	}
	c.lastTick = now
}

// scheduleRoutingChange schedules a view that is due at once, after a change of where packets
// may go.
func (c *Controller) scheduleRoutingChange(now time.Time) {
	c.routingChanged = true
	c.scheduleView(now)
}

// scheduleView schedules a view for a time. A view that is due earlier remains so.
func (c *Controller) scheduleView(at time.Time) {
	if !c.viewScheduled || at.Before(c.viewDueAt) {
		c.viewDueAt = at
	}
	c.viewScheduled = true
}

// publishIfDue computes and publishes the scheduled view if it is due. If the scheduled view does
// not change where packets may go, it keeps the settling time of the previous view.
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
	near, far := c.peersToProbe(now)
	c.prober.setPeers(now, near, far)
	c.updateReadRank()
	c.emit(PublishView{View: c.view})
}

// HandleMessage handles a message received on a link. It ignores messages on links that are
// closed already.
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
	case len(message.Changes) > 0:
		c.receiveChanges(now, id, l, message.Changes)
	case message.History != nil:
		c.receiveHistory(now, message.History)
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

// broadcast sends a message on all links but except. If except is zero, it sends on all links.
func (c *Controller) broadcast(message *Message, except LinkID) {
	for id := range c.links {
		if id != except {
			c.emit(Send{Link: id, Message: message})
		}
	}
}
