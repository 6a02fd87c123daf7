package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// epoch is when the agents of the tests were listed.
var epoch = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

// newOwners returns three agents, in their second incarnation.
func newOwners(t *testing.T, change func(*fleet.Peers)) []*fleet.Target {
	state := fleet.NewState()
	services := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{
		{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{"north": {}}},
	}}
	backends := &fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}}
	instances := &fleet.InstancesDocument{Revision: fleet.Revision{Number: 1}}
	for i := range 3 {
		name := fmt.Sprint("b", i)
		backends.Backends = append(backends.Backends, fleet.Backend{Name: name, DataCentre: "north"})
		instances.Instances = append(instances.Instances, fleet.Instance{
			Name: name, Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
		})
	}
	for _, document := range []fleet.Document{services, backends, instances} {
		_, err := state.Apply(epoch, document)
		require.NoError(t, err)
	}
	for i := range 3 {
		state.Peers().Merge(epoch, fleet.PeerRecord{ID: agent(i), Incarnation: 2})
	}
	change(state.Peers())
	var owners []*fleet.Target
	for target := range state.View(epoch).Service(fleet.ServiceIDOf("orders")).All() {
		owners = append(owners, target)
	}
	return owners
}

// agent returns the ID of an agent.
func agent(i int) fleet.InstanceID { return fleet.InstanceIDOf(fmt.Sprint("b", i)) }

// process returns a process of an agent.
func process(i int, incarnation uint64) fleet.Process {
	return fleet.Process{ID: agent(i), Incarnation: incarnation}
}

// Guards against a verdict that a search has not proven.
func TestVerdictFollowsFromTheEvidence(t *testing.T) {
	unchanged := func(*fleet.Peers) {}
	unreachable := func(p *fleet.Peers) { p.SetReachable(epoch, agent(2), false) }
	own := Evidence{}.WithOwnDenial()
	for name, test := range map[string]struct {
		change   func(*fleet.Peers)
		evidence Evidence
		want     Verdict
	}{
		"nothing is known":                       {unchanged, Evidence{}, &Undecided{}},
		"this agent cannot deny":                 {unchanged, Evidence{}.With([]fleet.Process{process(1, 2), process(2, 2)}, nil), &Undecided{}},
		"one agent has not answered":             {unchanged, own.With([]fleet.Process{process(1, 2)}, nil), &Undecided{}},
		"all have denied":                        {unchanged, own.With([]fleet.Process{process(1, 2), process(2, 2)}, nil), &Unowned{}},
		"one has restarted since":                {unchanged, own.With([]fleet.Process{process(1, 2), process(2, 1)}, nil), &Undecided{}},
		"one has denied after an unseen restart": {unchanged, own.With([]fleet.Process{process(1, 2), process(2, 3)}, nil), &Unowned{}},
		"the silence of a server denies nothing": {unchanged, own.With([]fleet.Process{process(1, 2)}, []fleet.InstanceID{agent(2)}), &OwnerLost{}},
		"one cannot be reached":                  {unreachable, own.With([]fleet.Process{process(1, 2)}, nil), &OwnerLost{}},
		"one has denied and cannot be reached":   {unreachable, own.With([]fleet.Process{process(1, 2), process(2, 2)}, nil), &Unowned{}},
		"one cannot be reached and one is quiet": {unreachable, own, &Undecided{}},
		"one that leaves may return": {func(p *fleet.Peers) {
			p.Merge(epoch, fleet.PeerRecord{ID: agent(2), Incarnation: 2, Sequence: 1, State: fleet.PeerLeaving})
			unreachable(p)
		}, own.With([]fleet.Process{process(1, 2)}, nil), &OwnerLost{MayReturn: true}},
		"visits where agents terminate flows": {unchanged, FromVisits([]fleet.InstanceID{agent(0), agent(1), agent(2)}), &Unowned{}},
	} {
		t.Run(name, func(t *testing.T) {
			findings := Examine(newOwners(t, test.change), agent(0), test.evidence)
			require.Equal(t, test.want, findings.Verdict())
		})
	}
}
