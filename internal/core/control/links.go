package control

import (
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// HandleLinkUp records a new link, dialled by this process or accepted by it.
func (c *Controller) HandleLinkUp(now time.Time, id LinkID, dialled bool) []Output {
	c.links[id] = &link{
		dialled:    dialled,
		timeoutAt:  now.Add(linkTimeout),
		rotateAt:   c.rotationTime(now),
		closableAt: now.Add(learningTime),
	}
	c.emit(Send{Link: id, Message: c.newSummary(now)})
	c.emit(Send{Link: id, Message: &Message{Records: []fleet.PeerRecord{c.ownRecord}}})
	return c.takeOutputs()
}

// rotationTime returns the instant at which a link is replaced by another.
func (c *Controller) rotationTime(now time.Time) time.Time {
	return now.Add(minLinkLifetime + time.Duration(c.random.Int64N(int64(minLinkLifetime))))
}

// HandleLinkDown records that a link has ended.
func (c *Controller) HandleLinkDown(id LinkID) {
	delete(c.links, id)
}

// maintainLinks closes silent links, replaces old ones, and dials new ones until
// the wanted number of own links stands.
func (c *Controller) maintainLinks(now time.Time) {
	c.closeSurplusLinks(now)
	dialled := 0
	for id, l := range c.links {
		switch {
		case now.After(l.timeoutAt):
			c.emit(ReportEvent{Event: EventLinkTimedOut, Peer: c.nodeName(l.peer)})
			c.closeLink(id)
		case l.dialled && now.After(l.rotateAt):
			c.closeLink(id)
		case l.dialled:
			dialled++
		}
	}
	if dialled >= wantedDialledLinks || now.Before(c.nextDialAt) {
		return
	}
	interval := dialInterval
	if !c.view.CanRoute() {
		interval = firstDialInterval
	}
	c.nextDialAt = now.Add(interval/2 + time.Duration(c.random.Int64N(int64(interval))))
	if endpoint, found := c.pickDialEndpoint(); found {
		c.emit(OpenLink{Control: endpoint})
	}
}

// maxAcceptedLinks is how many accepted links a process keeps. After a start of the whole
// fleet everybody has dialled the few processes it knew of.
const maxAcceptedLinks = 12

// learningTime is how long a process that has dialled this one may learn from it, once there is
// something to learn, before its link can be shed.
const learningTime = 250 * time.Millisecond

// closeSurplusLinks closes accepted links beyond the limit, once their processes have had time to
// learn. They dial others then, which they know by now, and pass it on.
func (c *Controller) closeSurplusLinks(now time.Time) {
	accepted := 0
	for _, l := range c.links {
		if !c.view.CanRoute() {
			l.closableAt = now.Add(learningTime)
		}
		if !l.dialled {
			accepted++
		}
	}
	for id, l := range c.links {
		if accepted <= maxAcceptedLinks {
			return
		}
		if !l.dialled && now.After(l.closableAt) {
			c.closeLink(id)
			accepted--
		}
	}
}

func (c *Controller) closeLink(id LinkID) {
	delete(c.links, id)
	c.emit(CloseLink{Link: id})
}

// pickDialEndpoint picks a node that has no link yet, or the next seed if no node is known.
func (c *Controller) pickDialEndpoint() (netip.AddrPort, bool) {
	linked := make(map[fleet.InstanceID]bool, len(c.links))
	for _, l := range c.links {
		linked[l.peer] = true
	}
	var candidates []netip.AddrPort
	others := 0
	for id, node := range c.view.Nodes() {
		if id == c.config.Self {
			continue
		}
		others++
		if !linked[id] {
			candidates = append(candidates, node.Control())
		}
	}
	if others == 0 && len(c.config.Seeds) > 0 {
		c.nextSeed++
		return c.config.Seeds[c.nextSeed%len(c.config.Seeds)], true
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return candidates[c.random.IntN(len(candidates))], true
}

func (c *Controller) nodeName(id fleet.InstanceID) string {
	if node := c.view.Node(id); node != nil {
		return node.Name()
	}
	return ""
}
