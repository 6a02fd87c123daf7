package agent

import (
	"math"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/work"
)

// reportLifetime is how long a sibling's report is valid.
const reportLifetime = 2 * time.Second

// Report is an agent's load as sent to its siblings. It is encoded as an array: the order
// and the types of its fields are part of the protocol.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Running is the number of requests that hold a slot or wait for one. A new flow counts
	// as a request, also one whose opening packet waits at the agent.
	Running uint32
	// Limit is the number of requests that the backend server can run at once, or zero if
	// the agent is draining. Siblings take the excess of Running over it as the
	// number of waiting requests.
	Limit uint32
	// Owned is the number of flows the agent owns.
	Owned uint32
	// MaxOwned is the number of flows it can own.
	MaxOwned uint32
	// Utilisation is the average share of slots in use, in thousandths.
	Utilisation uint16
	// Cold reports whether the limit of the backend server is still growing to its number
	// of slots.
	Cold bool
	// ServiceTime is the average time to answer a request that does not queue, in
	// microseconds, or zero if that is not known yet.
	ServiceTime uint32
	// Ejected reports whether the backend server gets no new flows except trials because of
	// its failure rate.
	Ejected bool
	// Services holds what is known of the requests of each service, for the services with
	// the most requests.
	Services []ServiceReport
	// Work is the work of the requests of carried flows that a new request has had to wait for at
	// the backend server lately, on average, in microseconds of slot-time. What is left at this
	// moment would say nothing when the report is used, many requests later.
	Work uint32
}

func (r Report) utilisation() float64 { return float64(r.Utilisation) / perMille }

// work returns the work that the report shows.
func (r Report) work(now time.Time) work.Reported {
	return work.NewReported(now, time.Duration(r.Work)*time.Microsecond, float64(r.Limit))
}

// perMille is the number that stands for a share of 1 in a Report.
const perMille = 1000

// limitUsage returns the share of the limit in use. It is 1 or more if no slot is free or
// the agent can own no more flows.
func (r Report) limitUsage() float64 {
	if r.Limit == 0 || r.Owned >= r.MaxOwned {
		return 1
	}
	return float64(r.Running) / float64(r.Limit)
}

// siblingReport is the latest report of a sibling, adjusted for the hand-overs and offers
// since.
type siblingReport struct {
	report    Report
	expiresAt time.Time
	// work is the remaining work at the sibling.
	work work.Reported
	// isListed reports whether expectedWork lists the sibling.
	isListed bool
}

// HandleReport stores a sibling's report. It returns the tickets of waiting requests that
// the caller must hand over to the sibling, at most one for each of its free slots. Carried
// flows have no tickets: ReleaseWaiting must be called afterwards, which hands their waiting
// opening packets over.
func (a *Agent) HandleReport(now time.Time, id fleet.InstanceID, report Report) []Ticket {
	a.reports[id] = siblingReport{
		report:    report,
		expiresAt: now.Add(reportLifetime),
		work:      report.work(now),
		isListed:  a.reports[id].isListed,
	}
	a.addReporter(id)
	a.recordWaiting(id, report)
	freeSlots := int(report.Limit) - int(report.Running)
	if freeSlots <= 0 {
		return nil
	}
	a.waiting.recordOffer(id)
	if a.admission.QueueLength() == 0 {
		return nil
	}
	return a.admission.HandOver(freeSlots)
}

const (
	// offerInterval is the shortest time between two offers of free slots.
	offerInterval = 10 * time.Millisecond
	// waitingReportInterval is the shortest time between two reports that are sent because
	// requests wait.
	waitingReportInterval = 150 * time.Millisecond
)

// UrgentReport returns the siblings that should be sent a report between two periodic ones:
// the recipient of an offer of a free slot or, if requests wait here, all report recipients.
// isOffer tells which.
func (a *Agent) UrgentReport(now time.Time) (recipients []*fleet.Target, isOffer bool) {
	if sibling := a.OfferRecipient(now); sibling != nil {
		return []*fleet.Target{sibling}, true
	}
	if a.ShouldReportWaiting(now) {
		return a.ReportRecipients(), false
	}
	return nil, false
}

// Waiting returns the number of requests and opening packets that wait here.
func (a *Agent) Waiting() int { return a.admission.QueueLength() + a.waiting.Len() }

// recordWaiting records whether requests wait at a sibling by its latest report.
func (a *Agent) recordWaiting(id fleet.InstanceID, report Report) {
	if a.waitingAt(report) > 0 {
		a.waitingSiblings[id] = struct{}{}
	} else {
		delete(a.waitingSiblings, id)
	}
}

// waitingAt returns the number of requests that wait at a sibling by its report. A sibling that drains
// reports no limit, and where flows are carried it hands over what waits.
func (a *Agent) waitingAt(report Report) int {
	if a.config.Carried && report.Limit == 0 {
		return 0
	}
	return int(report.Running) - int(report.Limit)
}

// OfferRecipient returns the sibling that should be sent a report at once because this
// agent has a free slot and nothing waits for it: the one with the most requests waiting by its
// latest report. It counts the offer. It returns nil if none waits, or if no offer may be made
// now.
func (a *Agent) OfferRecipient(now time.Time) *fleet.Target {
	if a.draining || !a.admission.HasFreeSlot() || a.waiting.Len() > 0 || now.Before(a.nextOfferAt) {
		return nil
	}
	longest := a.longestWaitingSibling(now)
	if longest != nil {
		a.nextOfferAt = now.Add(offerInterval)
		a.countOffer(longest)
	}
	return longest
}

// longestWaitingSibling returns the sibling with the most requests waiting by its latest report,
// or nil if none waits. It considers only waitingSiblings, since it is called after each batch
// of packets and there may be thousands of siblings.
func (a *Agent) longestWaitingSibling(now time.Time) *fleet.Target {
	var longest fleet.InstanceID
	most := 0
	for id := range a.waitingSiblings {
		report, known := a.latestReport(now, id)
		waiting := a.waitingAt(report)
		if !known || waiting <= 0 {
			delete(a.waitingSiblings, id)
			continue
		}
		if waiting > most || waiting == most && id < longest {
			longest, most = id, waiting
		}
	}
	if most == 0 {
		return nil
	}
	if at := slices.IndexFunc(a.siblings, func(s *fleet.Target) bool { return s.ID() == longest }); at >= 0 {
		return a.siblings[at]
	}
	delete(a.waitingSiblings, longest)
	return nil
}

// countOffer lowers the stored Running of a sibling by one, for the request that it may
// hand over in answer to an offer. The next report replaces the stored one, and with it
// this correction.
func (a *Agent) countOffer(target *fleet.Target) {
	stored := a.reports[target.ID()]
	stored.report.Running--
	a.reports[target.ID()] = stored
}

// ShouldReportWaiting reports whether siblings should be sent a report at once because
// requests wait here. If so, the next one is due after waitingReportInterval.
func (a *Agent) ShouldReportWaiting(now time.Time) bool {
	if a.Waiting() == 0 || now.Before(a.nextWaitingReportAt) {
		return false
	}
	a.nextWaitingReportAt = now.Add(waitingReportInterval)
	return true
}

// latestReport returns the stored report of a sibling. It reports false if there is none
// that is still valid.
func (a *Agent) latestReport(now time.Time, id fleet.InstanceID) (Report, bool) {
	stored, known := a.reports[id]
	if !known || now.After(stored.expiresAt) {
		return Report{}, false
	}
	return stored.report, true
}

// countHandOver raises the stored Running and Owned of a target by one, so that one report
// does not attract a burst of flows. The target's next report replaces the stored one.
func (a *Agent) countHandOver(target *fleet.Target) {
	stored := a.reports[target.ID()]
	stored.report.Running++
	stored.report.Owned++
	a.reports[target.ID()] = stored
}

// Siblings returns the instances that serve a service together with this agent.
func (a *Agent) Siblings() []*fleet.Target { return a.siblings }

// reportFanout is the largest number of siblings that a report is sent to, so that its cost
// does not grow with the service. A report is valid for several report intervals, in which
// each agent receives reports from several times as many siblings.
const reportFanout = 16

// farReportFanout is the number of a report's recipients outside the data centre, where flows
// stay near and the data centre has enough siblings for the others.
const farReportFanout = 4

// ReportRecipients returns the siblings that the next report goes to: all of them, or a
// random choice if there are more than reportFanout.
func (a *Agent) ReportRecipients() []*fleet.Target {
	if len(a.siblings) <= reportFanout {
		return a.siblings
	}
	if !a.config.PlacesNear {
		return a.randomSiblings(a.siblings, reportFanout)
	}
	near := a.randomSiblings(a.siblings[:a.nearSiblings], reportFanout-farReportFanout)
	return append(near, a.randomSiblings(a.siblings[a.nearSiblings:], reportFanout-len(near))...)
}

// removeStaleReports removes the reports of agents that are not in view any more.
func (a *Agent) removeStaleReports() {
	for id, stored := range a.reports {
		if !stored.isListed && a.view.Node(id) == nil {
			delete(a.reports, id)
		}
	}
}

// randomSiblings returns a random choice of siblings, at most count.
func (a *Agent) randomSiblings(siblings []*fleet.Target, count int) []*fleet.Target {
	var chosen []*fleet.Target
	for _, at := range a.random.Perm(len(siblings))[:min(count, len(siblings))] {
		chosen = append(chosen, siblings[at])
	}
	return chosen
}

// setSiblings finds the siblings of this agent in view, those in its data centre first.
func (a *Agent) setSiblings() {
	var near, others []*fleet.Target
	for target := range a.view.Siblings(a.config.Self) {
		if target.DataCentre() == a.config.DataCentre {
			near = append(near, target)
		} else {
			others = append(others, target)
		}
	}
	a.siblings, a.nearSiblings = append(near, others...), len(near)
}

// Report returns the agent's own report. It also updates the averages that the report holds
// and the assumed service times, and decides whether the backend server is ejected.
func (a *Agent) Report(now time.Time) Report {
	a.utilisation = a.load.Utilisation(now)
	a.updateEjection(now)
	a.updateUnlearned(now)
	a.sampleWait(now)
	return a.CurrentReport()
}

// CurrentReport returns the agent's load as of now, with the utilisation and the ejection as
// of the last report, and the work as of the last sample. It changes nothing.
func (a *Agent) CurrentReport() Report {
	report := Report{
		Running:     uint32(math.Round(a.load.occupied()) + float64(a.Waiting())),
		Limit:       uint32(a.load.Limit()),
		Owned:       uint32(a.ownedCount),
		MaxOwned:    uint32(a.config.MaxFlows),
		Utilisation: uint16(a.utilisation * perMille),
		Cold:        a.load.IsCold(),
		ServiceTime: uint32(a.load.knownServiceTime().Microseconds()),
		Ejected:     a.outliers.ejected,
		Services:    a.serviceReports(),
		Work:        a.reportedWork(),
	}
	if a.draining {
		report.Limit = 0
	}
	return report
}
