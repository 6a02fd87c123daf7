package fleet

import "time"

// departedLifetime is how long an agent that is not listed any more is still asked
// for flows. A list may lose an agent that lives.
const departedLifetime = 60 * time.Second

// departedAgent is an agent that is no longer listed.
type departedAgent struct {
	instance    Instance
	backend     Backend
	forgetAfter time.Time
	// acceptUntil is until when it still gets new flows, since its entry may only have
	// lapsed. It is zero for one that was leaving.
	acceptUntil time.Time
}

// LapseGrace is how long an agent whose entry has gone without notice still gets new
// flows while it answers. Entries lapse while the platform is away, and are back
// shortly after it.
const LapseGrace = 2 * time.Second

func (d *departedAgent) isWithinLapseGrace(now time.Time) bool { return now.Before(d.acceptUntil) }

// recordDepartures keeps the agents that a next document no longer names.
func (s *State) recordDepartures(now time.Time, isNamed func(InstanceID) bool) {
	for id, d := range s.departed {
		if now.After(d.forgetAfter) {
			delete(s.departed, id)
		}
	}
	for i := range s.instances.Instances {
		instance := s.instances.Instances[i]
		id := InstanceIDOf(instance.Name)
		backend := s.listedBackends[id]
		if instance.Role != RoleAgent || backend == nil || isNamed(id) {
			continue
		}
		gone := departedAgent{instance: instance, backend: *backend, forgetAfter: now.Add(departedLifetime)}
		if instance.State == StateLive && s.instances.Leased {
			gone.acceptUntil = now.Add(LapseGrace)
		}
		gone.instance.State = StateLeaving
		s.departed[id] = gone
	}
}

// RecordAnnouncement takes an agent that the platform does not list for one whose entry has
// lapsed, if it has just started. Nobody may remember its entry: the load pattern it answers
// is a start of everything while the platform is away or has lost its leases. It reports
// whether that changes where packets may go.
func (s *State) RecordAnnouncement(now time.Time, record PeerRecord) bool {
	announced := record.Announcement
	_, departed := s.departed[record.ID]
	if announced == nil || departed || s.listedNodes[record.ID] != nil || record.State != PeerAlive {
		return false
	}
	instance := Instance{
		Name: announced.Name, Role: RoleAgent, DataCentre: announced.DataCentre,
		Data: announced.Data, Control: announced.Control, State: StateLeaving,
	}
	if InstanceIDOf(announced.Name) != record.ID || instance.check() != nil {
		return false
	}
	s.departed[record.ID] = departedAgent{
		instance:    instance,
		backend:     Backend{Name: announced.Name, DataCentre: announced.DataCentre, Labels: announced.Labels},
		forgetAfter: now.Add(departedLifetime),
		acceptUntil: now.Add(LapseGrace),
	}
	return true
}

// ExtendLapseGrace gives the agents whose entries have gone without notice until an instant
// to be listed again, since the platform is away.
func (s *State) ExtendLapseGrace(until time.Time) {
	for id, d := range s.departed {
		if !d.acceptUntil.IsZero() && d.acceptUntil.Before(until) {
			d.acceptUntil = until
			s.departed[id] = d
		}
	}
}

// NextLapseGraceEnd returns when the first agent whose entry has gone stops getting new flows.
// It reports false if there is none.
func (s *State) NextLapseGraceEnd(now time.Time) (time.Time, bool) {
	var first time.Time
	for _, d := range s.departed {
		if d.isWithinLapseGrace(now) && (first.IsZero() || d.acceptUntil.Before(first)) {
			first = d.acceptUntil
		}
	}
	return first, !first.IsZero()
}

// isDepartedAndUnreachable reports whether an agent is not listed any more and does not answer either.
func (s *State) isDepartedAndUnreachable(id InstanceID) bool {
	_, departed := s.departed[id]
	return departed && s.peers.unreachable[id]
}

// departedServers returns the agents that are not listed any more but still answer.
func (s *State) departedServers(now time.Time) []server {
	var nodes []server
	for id, d := range s.departed {
		if now.After(d.forgetAfter) || d.isWithinLapseGrace(now) || s.isDepartedAndUnreachable(id) {
			continue
		}
		nodes = append(nodes, server{&d.backend, nodeOf(&d.instance)})
	}
	return nodes
}
