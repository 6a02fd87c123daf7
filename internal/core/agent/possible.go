package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/work"
)

// possibleDecision is a decision that may be drawn.
type possibleDecision struct {
	decision    placementDecision
	probability float64
}

// possibleDecisions returns the decisions that resolveDraw may return for a decision, and changes
// nothing.
func (a *Agent) possibleDecisions(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, decision placementDecision) []possibleDecision {
	switch v := decision.(type) {
	case draw:
		return []possibleDecision{{v.handOver, v.share}, {v.otherwise, 1 - v.share}}
	case serverDraw:
		var possible []possibleDecision
		for _, drawn := range a.decisionsDrawn(now, service, received, v) {
			for _, next := range a.possibleDecisions(now, service, received, drawn.decision) {
				possible = addPossible(possible, next.decision, drawn.probability*next.probability)
			}
		}
		return possible
	}
	return []possibleDecision{{decision, 1}}
}

// decisionsDrawn returns the decisions that follow from the servers that may be drawn, some of
// which may be draws again.
func (a *Agent) decisionsDrawn(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, d serverDraw) []possibleDecision {
	targets, listed := a.drawableTargets(now, service, received, d)
	drawn := drawnCountProbabilities(len(targets), listed)
	var possible []possibleDecision
	for i, probability := range shortestProbabilities(targets, drawn) {
		var c choices
		c.add(targets[i].target, targets[i].candidate)
		possible = addPossible(possible, a.decideDrawn(now, service, received, d, &c), probability)
	}
	return addPossible(possible, a.decideDrawn(now, service, received, d, &choices{}), drawn[0])
}

// addPossible adds a decision, which may be listed already.
func addPossible(possible []possibleDecision, decision placementDecision, probability float64) []possibleDecision {
	if probability == 0 {
		return possible
	}
	for i := range possible {
		if possible[i].decision == decision {
			possible[i].probability += probability
			return possible
		}
	}
	return append(possible, possibleDecision{decision, probability})
}

// drawableTarget is a server that a draw may return.
type drawableTarget struct {
	target    *fleet.Target
	candidate work.Candidate
}

// drawableTargets returns the servers that a draw may return, those with the shortest expected
// delay first, and the number of servers with a valid report that drawChoices tries.
func (a *Agent) drawableTargets(now time.Time, service *fleet.RoutedService, received *ReceivedPacket, d serverDraw) (targets []drawableTarget, listed int) {
	for _, id := range a.work.reporters {
		stored := a.reports[id]
		if now.After(stored.expiresAt) {
			continue
		}
		listed++
		target := service.Target(id)
		if target != nil && a.mayChoose(target, received) && a.mayDraw(d, target, stored.report, received) {
			targets = append(targets, drawableTarget{target, a.siblingCandidate(now, service, target, &stored)})
		}
	}
	slices.SortStableFunc(targets, func(x, y drawableTarget) int { return cmp.Compare(x.candidate.Delay(), y.candidate.Delay()) })
	return targets, listed
}

// drawnCountProbabilities returns the probabilities that drawChoices draws no server, one and two,
// if drawable of the listed servers may be drawn. It leaves aside that attempts are lost to
// expired reports, which are few since sweepReporters removes them.
func drawnCountProbabilities(drawable, listed int) [drawnChoices + 1]float64 {
	drawn := [drawnChoices + 1]float64{1}
	if drawable == 0 {
		return drawn
	}
	for range maxDraws {
		for count := drawnChoices - 1; count >= 0; count-- {
			moved := drawn[count] * float64(max(drawable-count, 0)) / float64(listed)
			drawn[count] -= moved
			drawn[count+1] += moved
		}
	}
	return drawn
}

// shortestProbabilities returns the probability of each server to have the shortest expected delay
// of those drawn. The servers are sorted by their delay; those with the same delay share
// their probability, since the first of them that is drawn is chosen.
func shortestProbabilities(targets []drawableTarget, drawn [drawnChoices + 1]float64) []float64 {
	probabilities := make([]float64, len(targets))
	count := float64(len(targets))
	for i := range targets {
		probabilities[i] = drawn[1] / count
		if len(targets) > 1 {
			longer := count - 1 - float64(i)
			probabilities[i] += drawn[2] * longer / (count * (count - 1) / 2)
		}
	}
	for first, end := 0, 0; first < len(targets); first = end {
		sum := 0.0
		for end = first; end < len(targets) && targets[end].candidate.Delay() == targets[first].candidate.Delay(); end++ {
			sum += probabilities[end]
		}
		for i := first; i < end; i++ {
			probabilities[i] = sum / float64(end-first)
		}
	}
	return probabilities
}
