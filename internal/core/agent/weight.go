package agent

import (
	"math"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

// Parameters of the weight that an agent estimates for its backend server. The weight
// that is published to all processes is coarse and seldom changes; hand-overs between
// siblings even out the remaining differences.
const (
	minWeight = fleet.DefaultWeight / 20
	maxWeight = fleet.DefaultWeight * 20
	// weightGain is the exponent applied to the ratio of the mean utilisation to the own
	// one in each step: the share of the deviation that a step corrects.
	weightGain = 0.3
	// minWeightChange is the smallest relative change that is published.
	minWeightChange = 0.15
	// minPublishInterval is the shortest time between two published changes.
	minPublishInterval = 2 * time.Second
	// minUtilisation is the mean utilisation below which the weight is not corrected, and
	// the lowest value that counts as the own utilisation.
	minUtilisation = 0.02
	// utilisationTolerance is the relative excess over the mean utilisation up to which no
	// flows are handed over.
	utilisationTolerance = 0.02
	// maxHandOverShare is the largest share of new flows that is handed over to even out
	// utilisation.
	maxHandOverShare = 0.5
	// nearUtilisation is the utilisation up to which flows stay in the data centre that they
	// enter, even if servers elsewhere are less busy. Above it requests would begin to queue.
	nearUtilisation = 0.5
)

// weightLearner estimates the weight at which the backend server would be as busy
// as its siblings.
type weightLearner struct {
	estimate  float64
	published fleet.Weight
	// nextPublishAt is the instant from which a change may be published again.
	nextPublishAt time.Time
	// startRatio is the ratio of the mean service time to the own one at which the estimate
	// last started, or zero before that.
	startRatio float64
}

func newWeightLearner() weightLearner {
	return weightLearner{estimate: float64(fleet.DefaultWeight), published: fleet.DefaultWeight}
}

// UpdateWeight corrects the estimated weight by the utilisation of the siblings and returns
// the weight to publish.
func (a *Agent) UpdateWeight(now time.Time) fleet.Weight {
	if _, uniform := a.config.Placement.(UniformHash); uniform {
		return a.weight.published
	}
	mean, known := a.meanUtilisation(now, a.weightPeers())
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

// maxSpeedChange is the factor by which the speed of a backend server relative to its
// siblings may change before its estimated weight is started anew.
const maxSpeedChange = 1.6

// restartEstimate starts the estimate at the speed of the backend server relative to its
// siblings and publishes it. It reports false, and changes nothing, if the estimate already
// started at about this speed, or if too few service times are known. It needs its own, and
// those of at least half of the siblings, or of reportFanout/2 siblings if there are more
// than reportFanout.
//
// Service times show the speed with the first answers, utilisation only after seconds. This
// guards against a wrong weight in two cases: long flows that all open anew after
// everything has restarted, and then stay where they are; and a server that becomes slow.
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

// weightPeers returns the siblings that this backend server should be as busy as: those of its
// data centre where flows stay near, since no weight moves flows between data centres there, and
// all siblings elsewhere.
func (a *Agent) weightPeers() []*fleet.Target {
	if a.config.PlacesNear {
		return a.siblings[:a.nearSiblings]
	}
	return a.siblings
}

// meanUtilisation averages the utilisation of this backend server and of the peers that are warm
// and accept new flows. It reports false if there is no such peer.
func (a *Agent) meanUtilisation(now time.Time, peers []*fleet.Target) (float64, bool) {
	sum, count := a.utilisation, 1
	for _, sibling := range peers {
		report, known := a.latestReport(now, sibling.ID())
		if !known || report.Cold || !sibling.IsAccepting() {
			continue
		}
		sum += report.utilisation()
		count++
	}
	return sum / float64(count), count > 1
}

// handOverShare returns the share of new flows to hand over so that the utilisation of this
// backend server falls to the mean of its own and that of the peers.
func (a *Agent) handOverShare(now time.Time, peers []*fleet.Target) float64 {
	mean, known := a.meanUtilisation(now, peers)
	if !known || a.utilisation <= mean*(1+utilisationTolerance) {
		return 0
	}
	return min(maxHandOverShare, 1-mean/a.utilisation)
}

// leastUtilisedCandidate returns the least utilised of the flow's placement candidates that
// have a free slot. It returns nil if none is less utilised than this backend server.
func (a *Agent) leastUtilisedCandidate(now time.Time, candidates fleet.Candidates, id flow.ID, visited []fleet.InstanceID) *fleet.Target {
	var best *fleet.Target
	lowest := a.utilisation
	a.eachWithCapacity(now, slices.Values(candidates.PlacementCandidates(id.Hash())), visited, func(target *fleet.Target, report Report) {
		if u := report.utilisation(); u < lowest {
			best, lowest = target, u
		}
	})
	return best
}
