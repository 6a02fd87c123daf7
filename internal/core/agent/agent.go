// Package agent implements the decisions of the agent, the process that runs next to
// each backend server. The agent owns the flows of its backend server, decides which
// agent serves a new flow, and forwards packets of flows that it does not own.
//
// The package does no I/O and reads no clock: the caller passes in the time and each
// packet, and carries out the Action that is returned. An Agent is not safe for
// concurrent use.
package agent

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/radishmast/radishmast/internal/core/backend"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/core/ownership"
	"github.com/radishmast/radishmast/internal/core/retry"
)

// Lifetimes of entries in the flow table.
const (
	// handOverLifetime is how long a hand-over is remembered after the last packet that
	// followed it.
	handOverLifetime = 60 * time.Second
	// halfOpenTimeout is how long a new flow may take until the caller confirms the
	// handshake. The caller already regards the flow as open, so the timeout must outlast
	// a partition during which the caller keeps sending.
	halfOpenTimeout = 60 * time.Second
	// carriedHalfOpenTimeout is the half-open timeout of carried flows. It is shorter
	// because the backend server, which terminates them, gives up sooner.
	carriedHalfOpenTimeout = 10 * time.Second
)

// maxClosingPerFlow is the number of closing flows that the agent keeps for each flow that
// it may own. A closing flow has ended but may still have to answer retransmissions.
const maxClosingPerFlow = 8

// flowState is the state of a flow in the flow table.
type flowState uint8

const (
	// statePending is a new flow that waits for a slot, or for the backend server to
	// accept the connection.
	statePending flowState = iota + 1
	// stateHalfOpen is a flow whose handshake was answered and not yet confirmed by the
	// caller.
	stateHalfOpen
	// stateOpen is an established flow.
	stateOpen
	// stateClosing is a flow that has ended in both directions but may still have to
	// answer retransmissions.
	stateClosing
	// stateHandedOver is a flow that this agent handed over to another agent when it
	// opened. The agent does not own it.
	stateHandedOver
)

// Attempt numbers the flows that an agent has accepted. It distinguishes flows that use
// the same addresses and ports one after the other, so that a late event of an earlier
// flow does not affect its successor.
type Attempt uint64

// flowEntry is the entry of one flow in the flow table.
type flowEntry struct {
	attempt Attempt
	service fleet.ServiceID
	state   flowState
	// sequence is the sequence number of the opening packet.
	sequence uint32
	// token is the handshake token that the caller must acknowledge.
	token uint32
	// owner is the agent that the flow was handed over to. It is set in
	// stateHandedOver only.
	owner fleet.InstanceID
	// expires is when Sweep or SweepCarried treats the entry as expired.
	expires time.Time
	// openingPacket is a copy of the opening packet, and visited lists the agents that
	// it had visited. They are kept until the flow is open, to retry it on another agent.
	openingPacket []byte
	visited       []fleet.InstanceID
	// slotReservedAt is when the carried flow's current request took its slot, or zero if
	// the flow holds no slot. A new carried flow takes a slot with its opening packet.
	slotReservedAt time.Time
	// transfer is the state of the current upload request until all its bytes are delivered,
	// or nil. It takes a share of a slot instead of a slot.
	transfer *transfer
	// nextRequest is the sequence number of the first byte of the next upload request, if
	// isNextRequestKnown.
	nextRequest        uint32
	isNextRequestKnown bool
	// requestDeliveredAt is when the first bytes of the current request were delivered, of an
	// upload request the last ones, or zero before that.
	requestDeliveredAt time.Time
	// expectedServiceTime is how long the current request was expected to take when it was
	// delivered.
	expectedServiceTime time.Duration
	// queued reports whether the backend server was saturated when the current request
	// was delivered, so that the request had to queue there.
	queued bool
	// countedFailed reports whether the current request was counted as failed because no
	// answer came in time.
	countedFailed bool
	// serverEnded reports whether the backend server sends nothing more on the flow.
	serverEnded  bool
	registration registrationState
	// graceUntil is the end of the grace period in which the flow may go on although its
	// data centre is out. It is zero if there is none.
	graceUntil time.Time
}

// isTransferring reports whether the current request is an upload request of which bytes are
// still to come.
func (e *flowEntry) isTransferring() bool { return e.transfer != nil }

// ReceivedPacket is a packet together with the metadata that its sender attached.
type ReceivedPacket struct {
	Packet  flow.Packet
	Service fleet.ServiceID
	// Revision is the highest document revision that the sender knew.
	Revision fleet.Revision
	// Placed reports whether the sender has chosen this agent to serve the new flow.
	Placed bool
	// Searched reports whether the sender found that no candidate owns the flow, so that
	// this agent may open it.
	Searched bool
	// Relayed reports whether the sender could not reach the remaining candidates and
	// relays the packet through this agent.
	Relayed bool
	// Referred reports whether the packet was already forwarded to the registered owner
	// of its flow.
	Referred bool
	// LookedUp reports whether the owner of the flow was already looked up. Agents that
	// replied that they know all flows of their backend server and do not own this one
	// are then in Visited.
	LookedUp bool
	// Evidence is what this process has learned about the owner of the flow. It is not sent.
	Evidence ownership.Evidence
	// Origin is the balancer that received the packet from the fabric, or zero if that is not
	// known any more.
	Origin fleet.InstanceID
	// Polled reports whether the sender polls many agents and must be told if this one owns the
	// flow or not.
	Polled bool
	// Waited reports whether the packet is an opening packet that has waited at another agent, so
	// that its caller may already have sent the next copy.
	Waited bool
	// Sender is the process that sent the packet here.
	Sender fleet.InstanceID
	// FromAgent reports whether the sender is another agent, not a balancer.
	FromAgent bool
	// Visited lists the agents that the packet has visited, so that the search does not go there
	// again. Unless agents terminate flows, it proves nothing about who owns the flow.
	Visited []fleet.InstanceID
}

// Config configures an Agent.
type Config struct {
	// Self is the agent's own instance ID, and DataCentre the data centre that it runs in.
	Self       fleet.InstanceID
	DataCentre string
	// MaxFlows is the maximum number of flows that the agent owns.
	MaxFlows int
	// MaxHandOvers is the maximum number of hand-overs that the agent remembers.
	MaxHandOvers int
	// Placement is the policy that decides which agent serves a new flow.
	Placement Placement
	// Carried reports whether flows are carried: the backend server terminates them
	// itself and the agent only forwards their packets. The agent then learns from the
	// packets that the backend server sends which flows it holds.
	Carried bool
	// PlacesNear reports whether a new flow stays in the data centre whose balancers receive its
	// packets while a backend server there has room.
	PlacesNear bool
	// MaxPayload is the largest payload of a caller's packet, in bytes. A smaller one ends the
	// request of an upload service. It is used for carried flows only.
	MaxPayload int
	// Observer receives latency measurements. If it is nil, they are discarded.
	Observer Observer
	// Labels are the labels of the agent's own backend server. They are used for carried
	// flows only.
	Labels map[string]string
}

// Observer receives measurements of the latencies that callers experience. Its methods
// must not block.
type Observer interface {
	// ObserveOpening receives the time that the backend server took to answer an opening
	// packet.
	ObserveOpening(latency time.Duration)
	// ObserveAnswer receives the time from taking a slot for a request to the first bytes
	// of its answer.
	ObserveAnswer(latency time.Duration)
	// ObserveServiceTime receives the service time of a request of a carried flow as expected when
	// the backend server received it, and as it was.
	ObserveServiceTime(expected, actual time.Duration)
	// ObserveLookup receives the time that the lookup of a flow's owner took.
	ObserveLookup(latency time.Duration)
}

// noopObserver discards all measurements.
type noopObserver struct{}

func (noopObserver) ObserveOpening(time.Duration) {}
func (noopObserver) ObserveAnswer(time.Duration)  {}
func (noopObserver) ObserveLookup(time.Duration)  {}

func (noopObserver) ObserveServiceTime(time.Duration, time.Duration) {}

// Agent holds the flow table of one agent and decides about its packets.
type Agent struct {
	config Config
	// view is the view in force.
	view *fleet.View
	// siblings holds the instances in view that serve a service together with this agent.
	siblings []*fleet.Target
	// nearSiblings is the number of siblings in the data centre of this agent, which come
	// first.
	nearSiblings int
	// flows is the flow table.
	flows map[flow.ID]*flowEntry
	// lastAttempt is the attempt number of the flow that was accepted last.
	lastAttempt Attempt
	// ownedCount, closingCount and handOverCount count the entries of the flow table:
	// those that are pending, half-open or open, those that are closing, and those that
	// are handed over.
	ownedCount    int
	closingCount  int
	handOverCount int
	// draining reports whether the agent accepts no new flows because it leaves.
	draining bool
	load     *Load
	// work is what is expected of the requests of carried flows.
	work expectedWork
	// admission decides which waiting request gets a free slot.
	admission *Admission
	weight    weightLearner
	slowStart backend.SlowStart
	responses responseMonitor
	outliers  outlierDetector
	// requestStats holds the statistics of the requests of each service.
	requestStats map[fleet.ServiceID]*requestStats
	// utilisation is the average share of slots in use, as of the last report.
	utilisation float64
	// nextOfferAt is when a free slot may next be offered to a sibling.
	nextOfferAt time.Time
	// nextWaitingReportAt is when siblings may next be notified between regular reports
	// that requests wait here.
	nextWaitingReportAt time.Time
	random              *rand.Rand
	// reports holds the latest load report of each sibling.
	reports map[fleet.InstanceID]siblingReport
	// waitingSiblings holds the siblings at which requests wait by their latest report.
	waitingSiblings map[fleet.InstanceID]struct{}
	budget          retry.Budget
	// directory holds the flows that other agents have registered with this one.
	directory      ownership.Directory
	forwardHistory ownership.ForwardHistory
	lookups        lookups
	// polls holds the polls in progress, and pendingClaims the claims that follow from those of
	// other agents.
	polls         map[flow.ID]*pollState
	pendingClaims map[flow.ID]pendingClaim
	denials       denials

	owners ownerLists
	// outsiders limits the search outside the services of flows.
	outsiders *rate.Limiter
	// waiting holds the opening packets that wait for room.
	waiting     openingQueue
	queueLimits queueLimits
	// startedAt is when this process started, or zero before Start.
	startedAt time.Time
	// serverStart is the latest start of the backend server that the view has listed.
	serverStart serverStart
	// allFlowsKnown reports whether all flows of the backend server were opened through
	// this process. Once true it stays true.
	allFlowsKnown bool
	// hasAdoptedFlows reports whether the backend server held flows from before this process
	// started.
	hasAdoptedFlows bool
	// membershipHash is the hash over the agents in view from which registrars are chosen.
	membershipHash uint64

	// viewConfirmedAt is when the view was last compared with the platform.
	viewConfirmedAt time.Time

	// The actions are reused, so that deciding about a packet allocates nothing.
	deliver Deliver
	deny    Deny
	silent  ReportSilence
	hold    Hold

	awaitView AwaitView
	forward   Forward
	reset     Reset
	drop      Drop
}

// New returns an agent that owns no flows, with view as its first view. random drives the
// random choices of placement and of report recipients.
func New(config Config, view *fleet.View, load *Load, random *rand.Rand) *Agent {
	if config.Observer == nil {
		config.Observer = noopObserver{}
	}
	a := &Agent{
		config:         config,
		view:           view,
		flows:          make(map[flow.ID]*flowEntry),
		load:           load,
		work:           newExpectedWork(int(load.slots)),
		admission:      NewAdmission(load),
		weight:         newWeightLearner(),
		random:         random,
		reports:        make(map[fleet.InstanceID]siblingReport),
		requestStats:   make(map[fleet.ServiceID]*requestStats),
		directory:      ownership.NewDirectory(maxRegisteredPerFlow * config.MaxFlows),
		forwardHistory: make(ownership.ForwardHistory),
		lookups:        newLookups(),
		polls:          make(map[flow.ID]*pollState),
		pendingClaims:  make(map[flow.ID]pendingClaim),
		queueLimits:    make(queueLimits),
		denials:        newDenials(),
		owners:         newOwnerLists(false),
		outsiders:      rate.NewLimiter(outsiderRate, outsiderBurst),

		membershipHash:  view.MembershipHash(),
		waitingSiblings: make(map[fleet.InstanceID]struct{}),
	}
	a.setSiblings()
	return a
}

// Admission returns the admission queue of the backend server.
func (a *Agent) Admission() *Admission { return a.admission }

// deliverPacket returns the action that delivers the packet. The balancer gets a hint if the
// packet came through another agent and is not an opening packet.
func (a *Agent) deliverPacket(received *ReceivedPacket) Action {
	a.deliver.Opens = false
	a.deliver.Claims = received.Polled
	a.deliver.SendHint = received.FromAgent && received.Packet.Kind() != flow.Opening
	return &a.deliver
}

// forwardTo returns the action that forwards the packet to another agent. reason is empty for
// an ordinary search step.
func (a *Agent) forwardTo(target *fleet.Target, reason Reason) *Forward {
	a.forward = Forward{Target: target, Reason: reason}
	return &a.forward
}

// dropPacket returns the action that drops the packet.
func (a *Agent) dropPacket(reason Reason) Action {
	a.drop.Reason = reason
	return &a.drop
}

// remove deletes an entry from the flow table and updates the counts. It does not release
// the entry's slot; forget does.
func (a *Agent) remove(id flow.ID, entry *flowEntry) {
	switch entry.state {
	case stateHandedOver:
		a.handOverCount--
	case stateClosing:
		a.closingCount--
	default:
		a.ownedCount--
	}
	delete(a.flows, id)
}
