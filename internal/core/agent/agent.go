// Package agent is the decision core of the process beside a backend server. It
// owns the flows of its backend server, decides who serves a new flow, and
// passes on packets of flows it does not own.
//
// The core is pure: the caller passes clock readings and packets in and carries
// out the actions that come back. It is not safe for concurrent use.
package agent

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Lifetimes of table entries.
const (
	handOverLifetime = 60 * time.Second
	// halfOpenTimeout is how long a flow may wait for the caller's confirmation. The
	// caller takes it for open already and goes on sending through a partition.
	halfOpenTimeout = 60 * time.Second
	// carriedHalfOpenTimeout is the same where the backend server ends the flows itself
	// and gives up sooner.
	carriedHalfOpenTimeout = 10 * time.Second
)

// maxClosingPerFlow bounds the flows that have ended but may still have to answer,
// for each flow that the agent may own.
const maxClosingPerFlow = 8

// flowState is the flowState of a flow in the agent's table.
type flowState uint8

const (
	// statePending waits for admission or for the connection to the backend server.
	statePending flowState = iota + 1
	// stateHalfOpen has answered the handshake and waits for the confirmation.
	stateHalfOpen
	stateOpen
	// stateClosing has ended but may still have to answer retransmissions.
	stateClosing
	// stateHandedOver was given to another agent when it opened.
	stateHandedOver
)

// Attempt tells apart flows that used the same addresses and ports one after the
// other.
type Attempt uint64

// flowEntry is one flow.
type flowEntry struct {
	attempt       Attempt
	service       fleet.ServiceID
	state         flowState
	sequence      uint32
	token         uint32
	owner         fleet.InstanceID
	expires       time.Time
	openingPacket []byte
	visited       []fleet.InstanceID
	// slotReservedAt is when the request that awaits an answer was delivered, if one does.
	slotReservedAt time.Time
	// requestDeliveredAt is when its bytes were delivered, or zero while they are awaited.
	requestDeliveredAt time.Time
	// queued tells that it had to wait for a slot.
	queued bool
	// countedFailed tells that it was counted as failed, since no answer came.
	countedFailed bool
	// serverEnded tells that the backend server sends nothing more on the flow.
	serverEnded  bool
	registration registrationState
	// graceUntil is until when the flow may go on though its data centre is out.
	graceUntil time.Time
}

// ReceivedPacket is a packet with what its sender says about it.
type ReceivedPacket struct {
	Packet   flow.Packet
	Service  fleet.ServiceID
	Revision uint64
	Placed   bool
	Searched bool
	// Relayed tells that the sender could not reach the candidates that are left.
	Relayed bool
	// Referred tells that the packet was passed to the registered owner of its flow.
	Referred bool
	// LookedUp tells that the flow has been looked up. The agents that know all flows of
	// their backend servers are among the visited ones.
	LookedUp bool
	// FromAgent tells that the sender is another agent.
	FromAgent bool
	Visited   []fleet.InstanceID
}

// Config holds the constants of one agent.
type Config struct {
	Self       fleet.InstanceID
	DataCentre string
	// MaxFlows bounds the flows the agent owns.
	MaxFlows int
	// MaxHandOvers bounds the hand-overs it remembers.
	MaxHandOvers int
	Placement    Placement
	// Carried tells that the backend server ends the flows itself. The agent then
	// learns from its answers which flows it holds.
	Carried bool
	// Observer is told how long things take. It may be nil.
	Observer Observer
	// Labels are the labels of the agent's own backend server. They count where
	// flows are carried.
	Labels map[string]string
}

// Observer measures what callers wait for. Its methods must not block.
type Observer interface {
	// ObserveOpening is told how long the backend server took to answer an opening packet.
	ObserveOpening(latency time.Duration)
	// ObserveAnswer is told how long the backend server took to answer a request.
	ObserveAnswer(latency time.Duration)
	// ObserveLookup is told how long the lookup of a flow's owner took.
	ObserveLookup(latency time.Duration)
}

// noopObserver ignores all measurements.
type noopObserver struct{}

func (noopObserver) ObserveOpening(time.Duration) {}
func (noopObserver) ObserveAnswer(time.Duration)  {}
func (noopObserver) ObserveLookup(time.Duration)  {}

// Agent decides about packets.
type Agent struct {
	config Config
	view   *fleet.View
	// siblings holds the siblings in view.
	siblings      []*fleet.Target
	flows         map[flow.ID]*flowEntry
	lastAttempt   Attempt
	ownedCount    int
	closingCount  int
	handOverCount int
	draining      bool
	load          *Load
	// admission decides which request gets a free slot.
	admission *Admission
	weight    weightLearner
	slowStart slowStart
	responses responseMonitor
	outliers  outlierDetector
	// utilisation is the load's average as of the last report.
	utilisation float64
	// nextOfferAt is the instant from which room may be offered again.
	nextOfferAt time.Time
	// nextWaitingReportAt is the instant from which waiting requests may be reported again.
	nextWaitingReportAt time.Time
	random              *rand.Rand
	reports             map[fleet.InstanceID]siblingReport
	budget              retryBudget
	directory           directory
	forwardHistory      forwardHistory
	lookups             lookups
	// startedAt is when this process started.
	startedAt time.Time
	// allFlowsKnown tells that all flows of the backend server were opened through this
	// process.
	allFlowsKnown bool
	// membershipHash stands for the agents in view by which registrars are chosen.
	membershipHash uint64

	// viewConfirmedAt is when the view was last compared with the platform.
	viewConfirmedAt time.Time

	// Actions are reused, so that deciding about a packet allocates nothing.
	deliver Deliver
	hold    Hold
	forward Forward
	reset   Reset
	drop    Drop
}

// New returns an agent that owns no flows.
func New(config Config, view *fleet.View, load *Load, random *rand.Rand) *Agent {
	if config.Observer == nil {
		config.Observer = noopObserver{}
	}
	return &Agent{
		config:         config,
		view:           view,
		siblings:       siblingsIn(view, config.Self),
		flows:          make(map[flow.ID]*flowEntry),
		load:           load,
		admission:      NewAdmission(load),
		weight:         newWeightLearner(),
		random:         random,
		reports:        make(map[fleet.InstanceID]siblingReport),
		directory:      newDirectory(maxRegisteredPerFlow * config.MaxFlows),
		forwardHistory: make(forwardHistory),
		lookups:        newLookups(),

		membershipHash: view.MembershipHash(),
	}
}

// Admission returns the admission of requests to the backend server.
func (a *Agent) Admission() *Admission { return a.admission }

// Receive decides what to do with a packet. The action is valid until the next
// call.
func (a *Agent) Receive(now time.Time, received *ReceivedPacket) Action {
	service := a.view.Service(received.Service)
	if service == nil || service.Address() != received.Packet.Flow().Service() {
		return a.dropPacket(DropUnknownService)
	}
	if a.config.Carried {
		return a.receiveCarried(now, service, received)
	}
	if !service.HasSelectorFor(a.config.DataCentre) && !a.isInGracePeriod(now, received.Packet.Flow()) {
		return a.receiveDataCentreOut(service, received)
	}
	if entry := a.flows[received.Packet.Flow()]; entry != nil {
		return a.receiveKnown(now, service, entry, received)
	}
	switch received.Packet.Kind() {
	case flow.Opening:
		return a.receiveOpening(now, service, received)
	case flow.Connectionless:
		return a.receiveConnectionless(now, service, received)
	}
	if action, found := a.referToOwner(now, service, received); found {
		return action
	}
	return a.search(now, service, received)
}

// receiveDataCentreOut keeps packets from a backend server whose data centre is out. A
// sender that has not learned of it yet is helped along.
func (a *Agent) receiveDataCentreOut(service *fleet.RoutedService, received *ReceivedPacket) Action {
	step := service.NextCandidate(received.Packet.Flow().Hash(), received.Visited)
	if step.Next == nil || received.Searched {
		return a.dropPacket(DropDataCentreOut)
	}
	return a.forwardTo(step.Next, "")
}

func (a *Agent) receiveKnown(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	entry.registration.renewIfMissed(received.Visited)
	switch entry.state {
	case stateHandedOver:
		return a.receiveHandedOver(now, service, entry, received)
	case statePending:
		return a.receivePending(now, service, received)
	case stateHalfOpen:
		return a.receiveHalfOpen(now, service, entry, received)
	case stateClosing:
		if received.Packet.Kind() == flow.Opening && received.Packet.Sequence() != entry.sequence {
			a.remove(received.Packet.Flow(), entry)
			return a.receiveOpening(now, service, received)
		}
	}
	return a.deliverPacket(received)
}

// receiveHandedOver repeats the decision that was taken when the flow opened.
func (a *Agent) receiveHandedOver(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	target := service.Target(entry.owner)
	opening := received.Packet.Kind() == flow.Opening
	usable := target != nil && target.IsReachable() && !slices.Contains(received.Visited, entry.owner)
	if usable && (!opening || target.IsAccepting()) {
		entry.expires = now.Add(handOverLifetime)
		action := a.forwardTo(target, HandOverRemembered)
		action.Placed = opening
		return action
	}
	if !opening {
		return a.search(now, service, received)
	}
	a.remove(received.Packet.Flow(), entry)
	return a.receiveOpening(now, service, received)
}

func (a *Agent) receivePending(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	switch received.Packet.Kind() {
	case flow.Opening:
		return a.dropPacket(DropOpeningPending)
	case flow.Connectionless:
		return a.deliverPacket(received)
	}
	return a.search(now, service, received)
}

// receiveHalfOpen accepts only the confirmation of this agent's own answer. Any
// other packet belongs to a flow that another agent opened.
func (a *Agent) receiveHalfOpen(now time.Time, service *fleet.RoutedService, entry *flowEntry, received *ReceivedPacket) Action {
	packet := received.Packet
	if packet.Kind() == flow.Opening {
		return a.deliverPacket(received)
	}
	if packet.AcknowledgedToken() != entry.token {
		return a.search(now, service, received)
	}
	if packet.Kind() == flow.Established {
		entry.state = stateOpen
	}
	return a.deliverPacket(received)
}

// receiveOpening decides who serves a new flow, and remembers it.
func (a *Agent) receiveOpening(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	return a.applyPlacement(now, service, received, a.place(now, service, received))
}

// applyPlacement turns a decision about an opening packet into an action.
func (a *Agent) applyPlacement(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, decision placementDecision) Action {
	switch v := decision.(type) {
	case handOver:
		a.recordHandOver(now, service.ID(), received.Packet.Flow(), v.target.ID())
		action := a.forwardTo(v.target, v.reason)
		action.Placed = true
		return action
	case refusal:
		a.reset.Reason = v.reason
		return &a.reset
	}
	return a.acceptFlow(now, service, received)
}

func (a *Agent) acceptFlow(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if a.ownedCount >= a.config.MaxFlows || a.closingCount >= maxClosingPerFlow*a.config.MaxFlows {
		return a.dropPacket(DropTableFull)
	}
	if a.config.Carried && !a.slowStart.allow(now, service.ColdStartRate()) {
		return a.placeDuringSlowStart(now, service, received)
	}
	a.ownedCount++
	a.lastAttempt++
	a.budget.deposit()
	entry := &flowEntry{
		attempt:       a.lastAttempt,
		service:       service.ID(),
		state:         statePending,
		sequence:      received.Packet.Sequence(),
		expires:       now.Add(a.halfOpenTimeout()),
		openingPacket: slices.Clone(received.Packet.Bytes()),
		visited:       slices.Clone(received.Visited),
	}
	a.flows[received.Packet.Flow()] = entry
	a.reserveSlot(now, entry)
	if a.config.Carried {
		a.responses.recordOpening(now, received.Packet.Flow(), entry.attempt)
	}
	a.deliverPacket(received)
	a.deliver.Opens = true
	return &a.deliver
}

func (a *Agent) halfOpenTimeout() time.Duration {
	if a.config.Carried {
		return carriedHalfOpenTimeout
	}
	return halfOpenTimeout
}

func (a *Agent) recordHandOver(now time.Time, service fleet.ServiceID, id flow.ID, owner fleet.InstanceID) {
	if a.handOverCount >= a.config.MaxHandOvers {
		return
	}
	a.handOverCount++
	a.flows[id] = &flowEntry{
		service: service,
		state:   stateHandedOver,
		owner:   owner,
		expires: now.Add(handOverLifetime),
	}
}

// receiveConnectionless asks every candidate for the owner before the primary
// opens a flow, since there is no handshake to settle a difference afterwards.
func (a *Agent) receiveConnectionless(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if received.Searched {
		return a.acceptFlow(now, service, received)
	}
	step := service.NextCandidate(received.Packet.Flow().Hash(), a.visitedWithSelf(received.Visited))
	if step.Next != nil {
		return a.forwardTo(step.Next, "")
	}
	primary := service.Primary(received.Packet.Flow().Hash())
	if primary == nil {
		return a.dropPacket(DropNoTarget)
	}
	if primary.ID() == a.config.Self {
		return a.acceptFlow(now, service, received)
	}
	action := a.forwardTo(primary, "")
	action.Searched = true
	return action
}

// search passes a packet of a flow this agent does not own to the next
// candidate. When all have said that they do not own it, the caller gets a reset.
func (a *Agent) search(now time.Time, service *fleet.RoutedService, received *ReceivedPacket) Action {
	if registrar := a.nextRegistrar(now, service, received); registrar != nil {
		return a.forwardTo(registrar, "")
	}
	if a.holdForLookup(now, service, received) {
		return &a.hold
	}
	step := a.nextCandidate(now, service, received)
	switch {
	case step.Next != nil:
		return a.forwardTo(step.Next, "")
	case received.Packet.Kind() == flow.Closing:
		return a.dropPacket(DropClosingUnowned)
	case step.Skipped:
		return a.handleUnreachableCandidates(service, received, step)
	case received.Revision > a.view.Revisions().Highest():
		return a.dropPacket(DropViewStale)
	case !a.isSearchConclusive(now):
		return a.dropPacket(DropViewUnsettled)
	}
	a.reset.Reason = ResetUnowned
	return &a.reset
}

func (a *Agent) visitedWithSelf(visited []fleet.InstanceID) []fleet.InstanceID {
	if slices.Contains(visited, a.config.Self) {
		return visited
	}
	return append(visited, a.config.Self)
}

func (a *Agent) deliverPacket(received *ReceivedPacket) Action {
	a.deliver.Opens = false
	a.deliver.SendHint = received.FromAgent && received.Packet.Kind() != flow.Opening
	return &a.deliver
}

func (a *Agent) forwardTo(target *fleet.Target, reason Reason) *Forward {
	a.forward = Forward{Target: target, Reason: reason}
	return &a.forward
}

func (a *Agent) dropPacket(reason Reason) Action {
	a.drop.Reason = reason
	return &a.drop
}

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
