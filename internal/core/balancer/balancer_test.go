package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
)

var (
	epoch   = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	address = flow.NewAddress(flow.TCP, netip.MustParseAddrPort("10.9.0.1:80"))
)

// newState returns a state with a service, "orders", that selects a number of targets.
func newState(t require.TestingT, targets int) *fleet.State {
	state := fleet.NewState()
	backends := &fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}}
	instances := &fleet.InstancesDocument{Revision: fleet.Revision{Number: 1}}
	for i := range targets {
		name := fmt.Sprintf("b%d", i)
		backends.Backends = append(backends.Backends, fleet.Backend{Name: name, DataCentre: "north"})
		instances.Instances = append(instances.Instances, fleet.Instance{
			Name: name, Role: fleet.RoleAgent, DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", State: fleet.StateLive,
		})
	}
	services := &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{
		{Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: {}}},
	}}
	for _, document := range []fleet.Document{services, backends, instances} {
		_, err := state.Apply(epoch, document)
		require.NoError(t, err)
	}
	return state
}

// packet returns a packet of one flow to a service address, with a number of earlier copies
// if it is an opening packet.
func packet(address flow.Address, kind flow.Kind, copies uint32) flow.Packet {
	id := flow.NewID(address, netip.MustParseAddrPort("10.1.0.1:4000"))
	return flow.NewPacket(id, kind, 7, copies, nil)
}

// Guards against copies of an opening packet that all go to the same unresponsive target.
func TestCopiesOfOpeningPacketGoToDifferentTargets(t *testing.T) {
	view := newState(t, 3).View(epoch)
	b := New(Config{HasCopyCounts: true}, NewHints(16))
	first := b.Route(view, packet(address, flow.Opening, 0))
	require.Nil(t, first.Suspect)
	second := b.Route(view, packet(address, flow.Opening, 1))
	require.NotEqual(t, first.Target.ID(), second.Target.ID())
	require.Equal(t, first.Target.ID(), second.Suspect.ID(), "the target of the copy before is suspected")
	third := b.Route(view, packet(address, flow.Opening, 2))
	require.NotContains(t, []fleet.InstanceID{first.Target.ID(), second.Target.ID()}, third.Target.ID())
	rest := b.Route(view, packet(address, flow.Established, 1))
	require.Equal(t, third.Target.ID(), rest.Target.ID(), "later packets go to the target of the last copy")
	again := b.Route(view, packet(address, flow.Opening, 0))
	require.Equal(t, first.Target.ID(), again.Target.ID())
}

// An established flow's path falls silent. Its caller retransmits after a fraction of a second, while
// the regular probes of a large fleet come round after seconds. Guards against a retransmission that
// does not have the flow's target probed, and against requests in order that do.
func TestRetransmissionOnEstablishedFlowSuspectsItsTarget(t *testing.T) {
	view := newState(t, 3).View(epoch)
	b := New(Config{HasCopyCounts: true}, NewHints(16))
	id := flow.NewID(address, netip.MustParseAddrPort("10.1.0.1:4000"))
	send := func(kind flow.Kind, sequence uint32, payloadSize int) Decision {
		return b.Route(view, flow.NewPacket(id, kind, sequence, 0, nil).WithPayloadSize(payloadSize))
	}
	steps := []struct {
		name        string
		kind        flow.Kind
		sequence    uint32
		payloadSize int
		isSuspect   bool
	}{
		{"opening", flow.Opening, 0xFFFFFFFE, 0, false},
		{"acknowledgement", flow.Established, 0xFFFFFFFF, 0, false},
		{"first request", flow.Established, 0xFFFFFFFF, 200, false},
		{"second request, after the sequence has wrapped", flow.Established, 199, 100, false},
		{"acknowledgement of the answer", flow.Established, 299, 0, false},
		{"retransmission of the second request", flow.Established, 199, 100, true},
		{"retransmission of the first request", flow.Established, 0xFFFFFFFF, 200, true},
		{"third request", flow.Established, 299, 100, false},
		{"opening of the next flow with the same addresses", flow.Opening, 50, 0, false},
		{"its first request", flow.Established, 51, 100, false},
	}
	for _, step := range steps {
		decision := send(step.kind, step.sequence, step.payloadSize)
		require.Equal(t, step.isSuspect, decision.Suspect != nil, step.name)
		if step.isSuspect {
			require.Equal(t, decision.Target, decision.Suspect, step.name)
		}
	}
}

// Guards against a caller that waits in vain: a new flow that cannot be served gets a reset
// if resets are enabled. Other packets are dropped without one.
func TestUnservableOpeningPacketGetsReset(t *testing.T) {
	unknown := flow.NewAddress(flow.TCP, netip.MustParseAddrPort("10.9.0.9:80"))
	tests := []struct {
		name   string
		packet flow.Packet
		state  fleet.PeerState
		want   Decision
	}{
		{"opening to an unknown service", packet(unknown, flow.Opening, 0), fleet.PeerAlive, Decision{Drop: DropUnknownService, NeedsReset: true}},
		{"packet of a flow of an unknown service", packet(unknown, flow.Established, 0), fleet.PeerAlive, Decision{Drop: DropUnknownService}},
		{"opening without a target", packet(address, flow.Opening, 0), fleet.PeerServerUnresponsive, Decision{Drop: DropNoTarget, NeedsReset: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := newState(t, 1)
			state.Peers().Merge(epoch, fleet.PeerRecord{ID: fleet.InstanceIDOf("b0"), Incarnation: 1, State: test.state})
			b := New(Config{SendsResets: true}, NewHints(16))
			decision := b.Route(state.View(epoch), test.packet)
			require.Equal(t, test.want.Drop, decision.Drop)
			require.Equal(t, test.want.NeedsReset, decision.NeedsReset)
			require.False(t, New(Config{}, NewHints(16)).Route(state.View(epoch), test.packet).NeedsReset)
		})
	}
}

// Guards against packets of an open flow that miss its owner while the balancer has no hint.
// The next packet after the opening one can arrive before the owner's hint, and later
// another balancer takes over the flow's packets.
func TestPacketsWithoutHintGoToRegistrar(t *testing.T) {
	view := newState(t, 12).View(epoch)
	service := view.ServiceByAddress(address)
	config := Config{HasCopyCounts: true, PrefersRegistrars: true}
	opener, other := New(config, NewHints(16)), New(config, NewHints(16))
	opening := opener.Route(view, packet(address, flow.Opening, 0))
	next := opener.Route(view, packet(address, flow.Established, 1))
	require.Equal(t, opening.Target.ID(), next.Target.ID())
	taken := other.Route(view, packet(address, flow.Established, 1))
	require.Equal(t, service.Registrars(packet(address, flow.Established, 1).Flow().Hash())[0].ID(), taken.Target.ID())
}

// Guards against packets that go to the former owner when the caller
// opens the same flow again.
func TestOpeningPacketDeletesHint(t *testing.T) {
	view := newState(t, 3).View(epoch)
	b := New(Config{HasCopyCounts: true}, NewHints(16))
	hash := packet(address, flow.Established, 0).Flow().Hash()
	primary := view.ServiceByAddress(address).Primary(hash).ID()
	for i := range 3 {
		if id := fleet.InstanceIDOf(fmt.Sprintf("b%d", i)); id != primary {
			b.RecordOwner(hash, id)
			require.Equal(t, id, b.Route(view, packet(address, flow.Established, 0)).Target.ID())
		}
	}
	b.Route(view, packet(address, flow.Opening, 0))
	require.Equal(t, primary, b.Route(view, packet(address, flow.Established, 0)).Target.ID())
}
