package agent

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// reportLifetime is how long a sibling's report counts.
const reportLifetime = 2 * time.Second

// Report is what an agent tells its siblings of its load.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Running is the number of flows that await an answer.
	Running uint32
	// Limit is the number of such flows the backend server can bear.
	Limit uint32
	// Owned is the number of flows the agent owns.
	Owned uint32
	// MaxOwned is the number of flows it can own.
	MaxOwned uint32
	// Utilisation is the average share of slots in use, in thousandths.
	Utilisation uint16
	// Cold tells that the backend server is warming up.
	Cold bool
	// ServiceTime is how long a request takes that does not queue, in microseconds, or zero if
	// that is not known yet.
	ServiceTime uint32
	// FailureRate is the average share of requests that the backend server fails, in
	// thousandths.
	FailureRate uint16
	// Ejected tells that it gets no new flows for that.
	Ejected bool
}

func (r Report) utilisation() float64 { return float64(r.Utilisation) / perMille }

const perMille = 1000

// limitUsage is the share of the limit in use; 1 means that there is no room.
func (r Report) limitUsage() float64 {
	if r.Limit == 0 || r.Owned >= r.MaxOwned {
		return 1
	}
	return float64(r.Running) / float64(r.Limit)
}

type siblingReport struct {
	report  Report
	expiresAt time.Time
}

// HandleReport stores a sibling's report. It returns the tickets of waiting requests
// that the sibling has room for.
func (a *Agent) HandleReport(now time.Time, id fleet.InstanceID, report Report) []Ticket {
	a.reports[id] = siblingReport{report: report, expiresAt: now.Add(reportLifetime)}
	room := int(report.Limit) - int(report.Running)
	if room <= 0 || a.admission.QueueLength() == 0 {
		return nil
	}
	return a.admission.HandOver(room)
}

const (
	// offerInterval is the least time between two offers of room.
	offerInterval = 10 * time.Millisecond
	// waitingReportInterval is the least time between two reports that requests wait.
	waitingReportInterval = 150 * time.Millisecond
)

// OfferRecipient returns the sibling that should hear at once that this agent has room:
// the one with the most requests waiting by its last report. It returns nil if
// there is none.
func (a *Agent) OfferRecipient(now time.Time) *fleet.Target {
	if a.draining || !a.admission.HasFreeSlot() || now.Before(a.nextOfferAt) {
		return nil
	}
	var longest *fleet.Target
	most := 0
	for _, sibling := range a.Siblings() {
		report, known := a.latestReport(now, sibling.ID())
		if !known {
			continue
		}
		if waiting := int(report.Running) - int(report.Limit); waiting > most {
			longest, most = sibling, waiting
		}
	}
	if longest != nil {
		a.nextOfferAt = now.Add(offerInterval)
		a.countOffer(longest)
	}
	return longest
}

// countOffer counts an offer against the held report until the next one comes.
func (a *Agent) countOffer(target *fleet.Target) {
	held := a.reports[target.ID()]
	held.report.Running--
	a.reports[target.ID()] = held
}

// ShouldReportWaiting reports whether siblings should hear at once that requests wait
// here.
func (a *Agent) ShouldReportWaiting(now time.Time) bool {
	if a.admission.QueueLength() == 0 || now.Before(a.nextWaitingReportAt) {
		return false
	}
	a.nextWaitingReportAt = now.Add(waitingReportInterval)
	return true
}

func (a *Agent) latestReport(now time.Time, id fleet.InstanceID) (Report, bool) {
	held, known := a.reports[id]
	if !known || now.After(held.expiresAt) {
		return Report{}, false
	}
	return held.report, true
}

// countHandOver counts a hand-over against the held report until the next one comes,
// so that one report does not draw a burst.
func (a *Agent) countHandOver(target *fleet.Target) {
	if target == nil {
		return
	}
	held := a.reports[target.ID()]
	held.report.Running++
	held.report.Owned++
	a.reports[target.ID()] = held
}

// Siblings returns the instances that serve a service together with this agent.
func (a *Agent) Siblings() []*fleet.Target { return a.siblings }

// reportFanout is how many siblings hear a report, so that its cost does not grow with
// the service. A report counts for several intervals, in which each agent hears from
// several times as many.
const reportFanout = 16

// ReportRecipients returns the siblings that the next report goes to: all, or a random choice
// of them.
func (a *Agent) ReportRecipients() []*fleet.Target {
	if len(a.siblings) <= reportFanout {
		return a.siblings
	}
	audience := make([]*fleet.Target, reportFanout)
	for i, at := range a.random.Perm(len(a.siblings))[:reportFanout] {
		audience[i] = a.siblings[at]
	}
	return audience
}

// siblingsIn finds the instances that serve a service together with an agent.
func siblingsIn(view *fleet.View, self fleet.InstanceID) []*fleet.Target {
	seen := make(map[fleet.InstanceID]bool)
	var siblings []*fleet.Target
	for _, service := range view.OneServicePerPool() {
		if service.Target(self) == nil {
			continue
		}
		for i := range service.Targets() {
			target := &service.Targets()[i]
			if target.ID() != self && !seen[target.ID()] {
				seen[target.ID()] = true
				siblings = append(siblings, target)
			}
		}
	}
	return siblings
}

// Report returns the agent's own report.
func (a *Agent) Report(now time.Time) Report {
	a.utilisation = a.load.Utilisation(now)
	a.updateEjection(now)
	report := Report{
		Running:     uint32(a.load.Running() + a.admission.QueueLength()),
		Limit:       uint32(a.load.Limit()),
		Owned:       uint32(a.ownedCount),
		MaxOwned:    uint32(a.config.MaxFlows),
		Utilisation: uint16(a.utilisation * perMille),
		Cold:        a.load.IsCold(),
		ServiceTime: uint32(a.load.knownServiceTime().Microseconds()),
		FailureRate: uint16(a.outliers.failureRate * perMille),
		Ejected:     a.outliers.ejected,
	}
	if a.draining {
		report.Limit = 0
	}
	return report
}
