package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// All processes restart after the platform has lost its leases. The published documents list no
// agent then, and an agent's announcement is the only record of its backend server. Guards against
// refusing flows until the agent is listed again, and against accepting an agent whose entry cannot
// have lapsed, or that others suspect.
func TestAnnouncedAgentAcceptsFlowsUntilListed(t *testing.T) {
	labels := map[string]string{"app": "orders"}
	announcement := &fleet.Announcement{Name: "b0", DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", Labels: labels}
	record := fleet.PeerRecord{ID: fleet.InstanceIDOf("b0"), Incarnation: 1, Announcement: announcement}
	publish := func(c *Controller, now time.Time) {
		c.ApplyDocuments(now, &fleet.BackendsDocument{Revision: fleet.Revision{Number: 1}})
		c.ApplyDocuments(now, &fleet.InstancesDocument{Revision: fleet.Revision{Number: 1}, Leased: true})
		c.ApplyDocuments(now, &fleet.ServicesDocument{Revision: fleet.Revision{Number: 1}, Services: []fleet.Service{{
			Name: "orders", Address: "10.9.0.1:80", Protocol: "tcp", Selectors: map[string]fleet.Selector{fleet.AnyDataCentre: selectorOf(labels)},
		}}})
	}
	accepts := func(c *Controller, now time.Time) bool {
		for at := now; !at.After(now.Add(2 * minViewInterval)); at = at.Add(TickInterval) {
			c.Tick(at)
		}
		target := c.View().Service(fleet.ServiceIDOf("orders")).Target(record.ID)
		return target != nil && target.IsAccepting()
	}
	start := func() *Controller {
		c := New(epoch, Config{Self: fleet.InstanceIDOf("e0"), Incarnation: 1, Role: fleet.RoleBalancer}, rand.New(rand.NewPCG(1, 0)))
		c.HandleLinkUp(epoch, 1, false)
		return c
	}
	t.Run("after a start", func(t *testing.T) {
		c := start()
		c.HandleMessage(epoch, 1, &Message{Records: []fleet.PeerRecord{record}})
		publish(c, epoch.Add(time.Second))
		require.True(t, accepts(c, epoch.Add(time.Second)))
		for at := epoch.Add(time.Second); at.Before(epoch.Add(4 * time.Second)); at = at.Add(500 * time.Millisecond) {
			c.Confirm(at)
			c.Tick(at)
		}
		require.False(t, accepts(c, epoch.Add(4*time.Second)), "the agent accepts flows although its grace period is over")
	})
	t.Run("while the platform is available", func(t *testing.T) {
		c := start()
		publish(c, epoch)
		now := epoch.Add(startGrace)
		c.Confirm(now)
		c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{record}})
		require.False(t, accepts(c, now), "an unlisted agent accepts flows although the platform is available")
	})
	t.Run("while the platform is unavailable", func(t *testing.T) {
		c := start()
		publish(c, epoch)
		now := epoch.Add(time.Minute)
		c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{record}})
		require.True(t, accepts(c, now))
		require.True(t, accepts(c, now.Add(time.Minute)))
	})
	t.Run("suspected by others", func(t *testing.T) {
		c := start()
		publish(c, epoch)
		suspected := record
		suspected.Suspected = true
		c.HandleMessage(epoch, 1, &Message{Records: []fleet.PeerRecord{suspected}})
		require.False(t, accepts(c, epoch))
	})
}

// selectorOf returns a selector that requires exactly the given labels.
func selectorOf(labels map[string]string) fleet.Selector {
	selector := make(fleet.Selector)
	for key, value := range labels {
		selector[key] = []string{value}
	}
	return selector
}

// Guards against resets of flows at a server that is not listed yet: a process that has just started
// takes its agent for one whose entry has lapsed and gives it new flows. Every other process must
// find them there, and give it none before it is listed.
func TestFlowsAtAnnouncedAgentsAreSearchedButNoneIsPlacedThere(t *testing.T) {
	c := New(epoch, Config{Self: fleet.InstanceIDOf("e0"), Incarnation: 1, Role: fleet.RoleBalancer}, rand.New(rand.NewPCG(1, 0)))
	applyTargets(c, epoch, 2)
	now := epoch.Add(time.Hour)
	c.Tick(now)
	c.Confirm(now)
	c.HandleLinkUp(now, 1, true)
	announced := fleet.PeerRecord{ID: fleet.InstanceIDOf("b9"), Incarnation: 1, Announcement: &fleet.Announcement{
		Name: "b9", DataCentre: "north", Data: "127.0.0.1:1", Control: "127.0.0.1:2", Labels: map[string]string{"app": "orders"},
	}}
	c.HandleMessage(now, 1, &Message{Records: []fleet.PeerRecord{announced}})
	target := c.View().Service(fleet.ServiceIDOf("orders")).Target(announced.ID)
	require.NotNil(t, target, "a search for the owner of a flow must visit the agent")
	require.False(t, target.IsAccepting())
}
