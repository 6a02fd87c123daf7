package control

import (
	"net/netip"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// LinkID identifies a control link within a process.
type LinkID uint64

// Output is an effect that the controller asks for: one of Send, OpenLink,
// CloseLink, Probe, Publish and Report.
type Output interface{ isOutput() }

// Send sends a message on a link.
type Send struct {
	Link    LinkID
	Message *Message
}

// OpenLink connects to a peer's control endpoint.
type OpenLink struct {
	Control netip.AddrPort
}

// CloseLink ends a link.
type CloseLink struct {
	Link LinkID
}

// Probe sends a probe datagram to a peer.
type Probe struct {
	Node        *fleet.Node
	Incarnation uint64
	// OnNewSocket asks for a socket that has not been used for the peer before.
	OnNewSocket bool
}

// PublishView puts a view in force.
type PublishView struct {
	View *fleet.View
}

// Event names what a Report counts.
type Event string

// Events.
const (
	EventDocumentApplied  Event = "document_applied"
	EventDocumentRefused  Event = "document_refused"
	EventDocumentOlder    Event = "document_older"
	EventChangeGap        Event = "change_gap"
	EventPeerUnreachable  Event = "peer_unreachable"
	EventPeerReachable    Event = "peer_reachable"
	EventPeerSuspected    Event = "peer_suspected"
	EventSuspicionRefuted Event = "suspicion_refuted"
	EventLinkTimedOut     Event = "link_silent"
	EventResumed          Event = "process_resumed"
)

// ReportEvent counts and logs an event.
type ReportEvent struct {
	Event Event
	Peer  string
	Err   error
	// Document says which document came into force, if one did.
	Document string
	Revision uint64
	// Upserts and Removed are the entries that it changes.
	Upserts, Removed int
}

func (Send) isOutput()        {}
func (OpenLink) isOutput()    {}
func (CloseLink) isOutput()   {}
func (Probe) isOutput()       {}
func (PublishView) isOutput() {}
func (ReportEvent) isOutput() {}
