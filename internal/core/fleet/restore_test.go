package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restoredDocuments returns the documents of a state as a platform publishes them that was
// restored from a copy, after a change of each.
func restoredDocuments(s *State, change func(*ServicesDocument, *BackendsDocument, *InstancesDocument)) []Document {
	services, backends, instances := s.services, s.backends, s.instances
	for _, revision := range []*Revision{&services.Revision, &backends.Revision, &instances.Revision} {
		*revision = Revision{Era: revision.Era + 1, Number: 1}
	}
	backends.Backends = append([]Backend(nil), backends.Backends...)
	instances.Instances = append([]Instance(nil), instances.Instances...)
	change(&services, &backends, &instances)
	return []Document{&backends, &instances, &services}
}

// Guards against new flows to servers and data centres that were leaving, and against the earlier
// start of a server, until what a restore has set back is written again.
func TestWhatARestoreSetsBackIsIgnoredForAGracePeriod(t *testing.T) {
	state := newState(t, 2)
	service, first, second := ServiceIDOf("orders"), InstanceIDOf("b0"), InstanceIDOf("b1")
	apply := func(documents ...Document) {
		for _, document := range documents {
			applied, err := state.Apply(epoch, document)
			require.NoError(t, err)
			require.True(t, applied)
		}
	}
	started := epoch.Add(-time.Second)
	backends, instances, services := state.backends, state.instances, state.services
	backends.Number, instances.Number, services.Number = 8, 8, 8
	backends.Backends[1].StartedAt = started
	instances.Instances[0].State = StateLeaving
	services.Draining = []string{"south"}
	apply(&backends, &instances, &services)
	apply(restoredDocuments(state, func(s *ServicesDocument, b *BackendsDocument, i *InstancesDocument) {
		b.Backends[1].StartedAt = started.Add(-time.Hour)
		i.Instances[0].State = StateLive
		s.Draining = nil
	})...)

	view := state.View(epoch)
	require.False(t, view.Service(service).Target(first).IsAccepting(), "a server that was leaving")
	require.Equal(t, started, view.Backend(second).StartedAt)
	require.True(t, view.draining["south"])
	end, found := state.NextGraceEnd(epoch)
	require.True(t, found)
	require.Equal(t, epoch.Add(restoreGrace), end)

	view = state.View(end)
	require.True(t, view.Service(service).Target(first).IsAccepting())
	require.Equal(t, started.Add(-time.Hour), view.Backend(second).StartedAt)
	require.False(t, view.draining["south"])
}

// Guards against a new server that gets no flows for restoreGrace: the platform is restored
// between the announcement of its agent and its first entry in the list.
func TestServerFirstListedAfterARestoreGetsFlowsAtOnce(t *testing.T) {
	state := newState(t, 2)
	added := InstanceIDOf("b2")
	announcement := &Announcement{
		Name: "b2", DataCentre: "north", Data: "127.0.0.1:7000", Control: "127.0.0.1:7001", Labels: map[string]string{"app": "orders"},
	}
	record := PeerRecord{ID: added, Incarnation: 1, Announcement: announcement}
	state.Peers().Merge(epoch, record)
	require.True(t, state.RecordAnnouncement(epoch, record, false))
	require.False(t, orders(state).Target(added).IsAccepting(), "a server that is not listed yet gets no flows")

	for _, document := range restoredDocuments(state, func(_ *ServicesDocument, b *BackendsDocument, i *InstancesDocument) {
		b.Backends = append(b.Backends, Backend{Name: "b2", DataCentre: "north", Labels: announcement.Labels})
		i.Instances = append(i.Instances, listedInstance("b2", RoleAgent, "north"))
	}) {
		_, err := state.Apply(epoch, document)
		require.NoError(t, err)
	}
	require.True(t, state.isRestoring(epoch))
	require.True(t, orders(state).Target(added).IsAccepting())
}
