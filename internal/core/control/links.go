package control

import (
	"net/netip"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// HandleLinkUp records a new link, which this process dialled or else accepted, and sends a
// summary and its own record on it.
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

// rotationTime returns the time after which a link that is dialled now is replaced: at random,
// one to two times minLinkLifetime from now.
func (c *Controller) rotationTime(now time.Time) time.Time {
	return now.Add(minLinkLifetime + time.Duration(c.random.Int64N(int64(minLinkLifetime))))
}

// HandleLinkDown removes a link that has ended.
func (c *Controller) HandleLinkDown(id LinkID) {
	delete(c.links, id)
}

// maintainLinks closes links that have timed out, surplus accepted links, and dialled links
// that are due for replacement. It dials one peer at a time, at randomised intervals, until
// there are wantedDialledLinks dialled links, wantedNearLinks of them near.
func (c *Controller) maintainLinks(now time.Time) {
	c.closeSurplusLinks(now)
	dialled, near := 0, 0
	for id, l := range c.links {
		switch {
		case now.After(l.timeoutAt):
			c.emit(ReportEvent{Event: EventLinkTimedOut, Peer: c.nodeName(l.peer)})
			c.closeLink(id)
		case l.dialled && now.After(l.rotateAt):
			c.closeLink(id)
		case l.dialled:
			dialled++
			if node := c.view.Node(l.peer); node != nil && c.isNear(node) {
				near++
			}
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
	if endpoint, found := c.pickDialEndpoint(near < wantedNearLinks); found {
		c.emit(OpenLink{Control: endpoint})
	}
}

// maxAcceptedLinks is the number of accepted links that a process keeps. After a start of the
// whole fleet, all processes dial the same few seeds.
const maxAcceptedLinks = 12

// learningTime is the minimum time for which an accepted link stays open once this process knows
// others, so that the peer learns of them before its link is closed as surplus.
const learningTime = 250 * time.Millisecond

// canRefer reports whether the peers of this process have learned from it whom else to dial: from
// the documents or, while the platform is down, from the announcements of others.
func (c *Controller) canRefer() bool {
	return c.view.CanRoute() || len(c.view.Nodes()) > maxAcceptedLinks
}

// closeSurplusLinks closes accepted links beyond maxAcceptedLinks once their peers have had
// learningTime to learn of others. These peers then dial those, and gossip what they have
// received.
func (c *Controller) closeSurplusLinks(now time.Time) {
	accepted := 0
	for _, l := range c.links {
		if !c.canRefer() {
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

// closeLink removes a link and outputs a CloseLink for it.
func (c *Controller) closeLink(id LinkID) {
	delete(c.links, id)
	c.emit(CloseLink{Link: id})
}

// isNear reports whether a node is in the data centre of this process.
func (c *Controller) isNear(node *fleet.Node) bool { return node.DataCentre() == c.config.DataCentre }

// pickDialEndpoint returns the control endpoint of a random node that has no link yet, or of
// the next seed if the view holds no other node. The node is near or not as wanted, unless there
// are only others. It reports false if there is none.
func (c *Controller) pickDialEndpoint(wantsNear bool) (netip.AddrPort, bool) {
	linked := make(map[fleet.InstanceID]bool, len(c.links))
	for _, l := range c.links {
		linked[l.peer] = true
	}
	var wanted, rest []netip.AddrPort
	others := 0
	for id, node := range c.view.Nodes() {
		if id == c.config.Self {
			continue
		}
		others++
		switch {
		case linked[id]:
		case c.isNear(node) == wantsNear:
			wanted = append(wanted, node.Control())
		default:
			rest = append(rest, node.Control())
		}
	}
	if others == 0 && len(c.config.Seeds) > 0 {
		c.lastSeedIndex++
		return c.config.Seeds[c.lastSeedIndex%len(c.config.Seeds)], true
	}
	if len(wanted) == 0 {
		wanted = rest
	}
	if len(wanted) == 0 {
		return netip.AddrPort{}, false
	}
	return wanted[c.random.IntN(len(wanted))], true
}

// nodeName returns the name of a node, or an empty string if the view does not hold it.
func (c *Controller) nodeName(id fleet.InstanceID) string {
	if node := c.view.Node(id); node != nil {
		return node.Name()
	}
	return ""
}
