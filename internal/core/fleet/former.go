package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// formerLifetime is how long searches for the owners of flows still visit the backend
// servers that a service selected before a change of its selectors.
const formerLifetime = departedLifetime

// AnswerGrace is how long the backend servers of a data centre may still answer running requests
// after the data centre was taken out of their service.
const AnswerGrace = 2 * time.Second

// removedGrace is how long such servers are still searched for the owners of flows. It outlasts
// AnswerGrace because the agents there may learn of the removal later than this process.
const removedGrace = AnswerGrace + 500*time.Millisecond

// formerSelectors are the selectors that a service had before a change. Answers this
// pattern: an operator moves a service to other backend servers while many long flows are
// open. The flows stay where they are, so the servers of before must still be found.
type formerSelectors struct {
	selectors map[string]Selector
	// forgetAfter is the time after which this process forgets the selectors.
	forgetAfter time.Time
	// removedUntil is until when servers in data centres that the service has no selector for
	// any more are searched for the owners of flows.
	removedUntil time.Time
}

// isRemoved reports whether a data centre that a service has no selector for had one until a
// moment ago.
func (f *formerSelectors) isRemoved(now time.Time, dataCentre string) bool {
	_, present := selectorFor(f.selectors, dataCentre)
	return present && now.Before(f.removedUntil)
}

// remember returns remembered with selectors that a service has just lost in front. Selectors that
// it lost before as well are not repeated, so that a service that is moved to and fro has as many
// as it has had different ones, however often it is moved.
func remember(remembered []formerSelectors, latest formerSelectors) []formerSelectors {
	key := selectorsKey(latest.selectors)
	earlier := slices.DeleteFunc(slices.Clone(remembered), func(f formerSelectors) bool { return selectorsKey(f.selectors) == key })
	return slices.Insert(earlier, 0, latest)
}

// recordFormerSelectors remembers the selectors of the services that the next document
// changes. Those of a service that it removes are forgotten, as its flows end.
func (s *State) recordFormerSelectors(now time.Time, next *ServicesDocument) {
	former := make(map[ServiceID][]formerSelectors, len(s.former))
	for i := range next.Services {
		service := &next.Services[i]
		id := ServiceIDOf(service.Name)
		index, known := s.routes.byID[id]
		if !known {
			continue
		}
		remembered := s.former[id]
		if previous := s.routes.routes[index].selectors; selectorsKey(previous) != selectorsKey(service.Selectors) {
			remembered = remember(remembered, formerSelectors{previous, now.Add(formerLifetime), now.Add(removedGrace)})
		}
		if len(remembered) > 0 {
			former[id] = remembered
		}
	}
	s.setFormer(former)
}

// setFormer replaces the former selectors.
func (s *State) setFormer(former map[ServiceID][]formerSelectors) {
	s.former = former
	s.formerDigest, s.forgetFormerAfter = 0, time.Time{}
	for id, remembered := range former {
		for _, f := range remembered {
			s.formerDigest ^= mixHash(xxhash.Sum64String(selectorsKey(f.selectors)), InstanceID(id))
			if s.forgetFormerAfter.IsZero() || f.forgetAfter.Before(s.forgetFormerAfter) {
				s.forgetFormerAfter = f.forgetAfter
			}
		}
	}
}

// FormerDigest returns a digest of the former selectors that this process knows. Those of two
// processes differ if one of them has not seen a version of the services document, since changes
// that follow each other quickly may reach it as one.
func (s *State) FormerDigest(now time.Time) uint64 {
	s.forgetFormerSelectors(now)
	return s.formerDigest
}

// forgetFormerSelectors forgets the selectors whose time is over.
func (s *State) forgetFormerSelectors(now time.Time) {
	if s.forgetFormerAfter.IsZero() || !now.After(s.forgetFormerAfter) {
		return
	}
	former := make(map[ServiceID][]formerSelectors, len(s.former))
	for id, remembered := range s.former {
		kept := slices.DeleteFunc(slices.Clone(remembered), func(f formerSelectors) bool { return now.After(f.forgetAfter) })
		if len(kept) > 0 {
			former[id] = kept
		}
	}
	s.setFormer(former)
	s.routes = newRouteTable(&s.services, s.former)
}

// formerlySelected returns the nodes of the backend servers that the route selected before
// a change of its selectors.
func (b *poolBuilder) formerlySelected(routed *route) []*Node {
	var nodes []*Node
	for i := range routed.former {
		for dataCentre, servers := range b.servers {
			selector, present := selectorFor(routed.former[i].selectors, dataCentre)
			if !present {
				continue
			}
			for _, candidate := range servers.matching(selector) {
				nodes = append(nodes, candidate.node)
			}
		}
	}
	return nodes
}
