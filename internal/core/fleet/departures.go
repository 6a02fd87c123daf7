package fleet

import "time"

// departedLifetime is how long searches for the owners of flows still visit an agent
// that is no longer listed. The platform's list may lose an agent that is still running.
const departedLifetime = 60 * time.Second

// departedAgent is an agent that the platform no longer lists, or does not list yet, and
// that may own flows.
type departedAgent struct {
	// instance and backend are the last published entries, with the state set to leaving,
	// or are made from an announcement.
	instance Instance
	backend  Backend
	// forgetAfter is the time after which this process forgets the agent.
	forgetAfter time.Time
	// acceptUntil is the time until which the agent still gets new flows, because its
	// entry may only have lapsed. It is zero if the entry was leaving or not leased.
	acceptUntil time.Time
	// isNew reports whether the platform has never listed the agent, which only its
	// announcement makes known.
	isNew bool
}

// LapseGrace is how long an agent whose entry has disappeared without being marked as
// leaving still gets new flows while it answers. Entries lapse while the platform is
// unavailable, because instances cannot renew them, and return shortly after the platform
// does.
const LapseGrace = 2 * time.Second

// isWithinLapseGrace reports whether the agent still gets new flows because its entry may
// only have lapsed.
func (d *departedAgent) isWithinLapseGrace(now time.Time) bool { return now.Before(d.acceptUntil) }

// recordDepartures records the agents that the next document no longer names, and forgets
// the departed agents that are past forgetAfter.
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
		agent := departedAgent{instance: instance, backend: *backend, forgetAfter: now.Add(departedLifetime)}
		if instance.State == StateLive && s.instances.Leased {
			agent.acceptUntil = now.Add(LapseGrace)
		}
		agent.instance.State = StateLeaving
		s.departed[id] = agent
	}
}

// RecordAnnouncement records an unlisted agent that has announced its start, so that flows are
// found there. If canBeLapsed, the agent is treated as one whose entry has lapsed and gets new
// flows: if all processes start while the platform is unavailable or has lost its leases, no
// process remembers the agent's entry, and only the announcement makes the agent known. Any other
// unlisted agent is new and gets new flows once it is listed; processes that have just started
// cannot tell the two apart and may have given it some before. An announcement is ignored if the
// agent is listed, already departed or not alive, or if the announcement is invalid.
// RecordAnnouncement reports whether it changes where packets may go.
func (s *State) RecordAnnouncement(now time.Time, record PeerRecord, canBeLapsed bool) bool {
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
	agent := departedAgent{
		instance:    instance,
		backend:     Backend{Name: announced.Name, DataCentre: announced.DataCentre, Labels: announced.Labels},
		forgetAfter: now.Add(departedLifetime),
		isNew:       !canBeLapsed,
	}
	if canBeLapsed {
		agent.acceptUntil = now.Add(LapseGrace)
	}
	s.departed[record.ID] = agent
	return true
}

// ExtendLapseGrace lets the agents whose entries may have lapsed get new flows until a
// given time at least, because an unavailable platform cannot list them again. confirmedAt is
// when the platform was last available. Agents whose grace period had ended by then have left.
func (s *State) ExtendLapseGrace(confirmedAt, until time.Time) {
	for id, d := range s.departed {
		if d.acceptUntil.After(confirmedAt) && d.acceptUntil.Before(until) {
			d.acceptUntil = until
			s.departed[id] = d
		}
	}
}

// NextGraceEnd returns the time at which the first agent within its grace period stops
// getting new flows, the servers of a removed data centre are not searched any more, or what was
// known before a restore of the platform is forgotten. It reports false if there is none of these.
func (s *State) NextGraceEnd(now time.Time) (time.Time, bool) {
	var earliest time.Time
	consider := func(end time.Time) {
		if now.Before(end) && (earliest.IsZero() || end.Before(earliest)) {
			earliest = end
		}
	}
	consider(s.restored.until)
	for _, d := range s.departed {
		consider(d.acceptUntil)
	}
	for _, remembered := range s.former {
		for i := range remembered {
			consider(remembered[i].removedUntil)
		}
	}
	return earliest, !earliest.IsZero()
}

// isDepartedAndUnreachable reports whether an agent is no longer listed and does not
// answer this process either.
func (s *State) isDepartedAndUnreachable(id InstanceID) bool {
	_, departed := s.departed[id]
	return departed && s.peers.unreachable[id]
}

// departedServers returns the agents that are no longer listed and past their grace
// period but still answer this process, each with its backend server.
func (s *State) departedServers(now time.Time) []server {
	var servers []server
	for id, d := range s.departed {
		if now.After(d.forgetAfter) || d.isWithinLapseGrace(now) || s.isDepartedAndUnreachable(id) {
			continue
		}
		servers = append(servers, server{&d.backend, nodeOf(&d.instance)})
	}
	return servers
}
