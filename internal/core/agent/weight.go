package agent

import (
	"math"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Parameters of the weight that an agent learns. The weight that is spread to
// all processes is coarse and seldom changes; hand-overs between siblings make
// up for the rest.
const (
	minWeight = fleet.DefaultWeight / 20
	maxWeight = fleet.DefaultWeight * 20
	// weightGain is the share of a deviation that one step corrects.
	weightGain = 0.3
	// minWeightChange is the least relative change that is spread.
	minWeightChange = 0.15
	// minPublishInterval is the least time between two changes that are spread.
	minPublishInterval = 2 * time.Second
	// minUtilisation is the mean utilisation under which nothing is learned.
	minUtilisation = 0.02
	// utilisationTolerance is the deviation from the mean that hand-overs leave alone.
	utilisationTolerance = 0.02
	// maxHandOverShare is the largest share of new flows handed over to even out.
	maxHandOverShare = 0.5
)

// weightLearner follows the weight at which the backend server would be as busy
// as its siblings.
type weightLearner struct {
	estimate  float64
	published fleet.Weight
	nextPublishAt  time.Time
	// startRatio is the ratio of the siblings' work to the own one at which the estimate began,
	// or zero before that.
	startRatio float64
}

func newWeightLearner() weightLearner {
	return weightLearner{estimate: float64(fleet.DefaultWeight), published: fleet.DefaultWeight}
}

// UpdateWeight corrects the weight by the siblings' utilisation and returns the
// one to spread.
func (a *Agent) UpdateWeight(now time.Time) fleet.Weight {
	if _, uniform := a.config.Placement.(UniformHash); uniform {
		return a.weight.published
	}
	mean, known := a.meanUtilisation(now)
	if !known || a.load.IsCold() || a.draining || mean < minUtilisation {
		return a.weight.published
	}
	if a.restartEstimate(now) {
		return a.weight.published
	}
	own := max(a.utilisation, minUtilisation)
	a.weight.estimate *= math.Pow(mean/own, weightGain)
	a.weight.estimate = min(max(a.weight.estimate, float64(minWeight)), float64(maxWeight))
	change := math.Abs(a.weight.estimate/float64(a.weight.published) - 1)
	if change >= minWeightChange && !now.Before(a.weight.nextPublishAt) {
		a.weight.published = fleet.Weight(math.Round(a.weight.estimate))
		a.weight.nextPublishAt = now.Add(minPublishInterval)
	}
	return a.weight.published
}

// maxSpeedChange is the factor by which the speed of a backend server may change against its
// siblings' before its weight begins anew.
const maxSpeedChange = 1.6

// restartEstimate begins the estimate at the speed of the backend server against its siblings',
// which shows in the first answers. Utilisation shows it only after seconds. The load
// patterns it answers: long flows that all open anew after everything has restarted, and
// then stay where they are; and a server that turns slow. It reports false if the estimate
// has begun at about this speed.
func (a *Agent) restartEstimate(now time.Time) bool {
	own := a.load.knownServiceTime()
	if own == 0 {
		return false
	}
	var sum time.Duration
	known := 0
	for _, sibling := range a.Siblings() {
		report, found := a.latestReport(now, sibling.ID())
		if found && report.ServiceTime > 0 {
			sum += time.Duration(report.ServiceTime) * time.Microsecond
			known++
		}
	}
	if 2*known < min(len(a.siblings), reportFanout) {
		return false
	}
	ratio := float64(sum+own) / float64(known+1) / float64(own)
	change := ratio / a.weight.startRatio
	if a.weight.startRatio > 0 && change < maxSpeedChange && change > 1/maxSpeedChange {
		return false
	}
	a.weight.startRatio = ratio
	a.weight.estimate = min(max(float64(fleet.DefaultWeight)*ratio, float64(minWeight)), float64(maxWeight))
	a.weight.published = fleet.Weight(math.Round(a.weight.estimate))
	a.weight.nextPublishAt = now.Add(minPublishInterval)
	return true
}

// meanUtilisation averages over this agent and its warm siblings. It reports
// false without any.
func (a *Agent) meanUtilisation(now time.Time) (float64, bool) {
	sum, count := a.utilisation, 1
	for _, sibling := range a.Siblings() {
		report, known := a.latestReport(now, sibling.ID())
		if !known || report.Cold || !sibling.IsAccepting() {
			continue
		}
		sum += report.utilisation()
		count++
	}
	return sum / float64(count), count > 1
}

// handOverShare returns the share of new flows to hand over so that this backend server
// comes down to the mean utilisation.
func (a *Agent) handOverShare(now time.Time) float64 {
	mean, known := a.meanUtilisation(now)
	if !known || a.utilisation <= mean*(1+utilisationTolerance) {
		return 0
	}
	return min(maxHandOverShare, 1-mean/a.utilisation)
}

// leastUtilisedCandidate returns the flow's choice with room that is least utilised, if it is less
// utilised than this agent.
func (a *Agent) leastUtilisedCandidate(now time.Time, service *fleet.RoutedService, id flow.ID, visited []fleet.InstanceID) *fleet.Target {
	var best *fleet.Target
	lowest := a.utilisation
	a.eachWithCapacity(now, slices.Values(service.PlacementCandidates(id.Hash())), visited, func(target *fleet.Target, report Report) {
		if u := report.utilisation(); u < lowest {
			best, lowest = target, u
		}
	})
	return best
}
