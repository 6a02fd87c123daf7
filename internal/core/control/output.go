package control

import (
	"net/netip"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// LinkID identifies a control link within a process. The caller of the controller assigns it.
// Zero is not a valid ID and stands for no link.
type LinkID uint64

// Output is an action that the controller requests from its caller: one of Send, OpenLink,
// CloseLink, Probe, PublishView and ReportEvent.
type Output interface{ isOutput() }

// Send requests that a message be sent on a link.
type Send struct {
	Link    LinkID
	Message *Message
}

// OpenLink requests a new link to a peer's control endpoint.
type OpenLink struct {
	Control netip.AddrPort
}

// CloseLink requests that a link be closed.
type CloseLink struct {
	Link LinkID
}

// Probe requests that a probe datagram be sent to a peer.
type Probe struct {
	Node *fleet.Node
	// Incarnation is that of the peer's record, or zero if there is none.
	Incarnation uint64
	// OnNewSocket requests that the probe be sent from a socket that has not been used for
	// the peer before. If the reply arrives on that socket, the path of the usual socket has
	// failed, and the caller uses the new one instead.
	OnNewSocket bool
}

// PublishView requests that a view replace the one in use.
type PublishView struct {
	View *fleet.View
}

// Event is the name under which a ReportEvent is counted and logged.
type Event string

// Events of the control state.
const (
	EventDocumentApplied  Event = "document_applied"
	EventDocumentRefused  Event = "document_refused"
	EventDocumentOlder    Event = "document_older"
	EventChangeGap        Event = "change_gap"
	EventPeerUnreachable  Event = "peer_unreachable"
	EventPeerReachable    Event = "peer_reachable"
	EventPeerSuspected    Event = "peer_suspected"
	EventPeerLeaving      Event = "peer_leaving"
	EventSuspicionRefuted Event = "suspicion_refuted"
	EventLinkTimedOut     Event = "link_silent"
	EventResumed          Event = "process_resumed"
)

// ReportEvent requests that an event be counted and logged.
type ReportEvent struct {
	Event Event
	// Peer is the name of the peer that the event concerns, or empty.
	Peer string
	// Err is the reason for the event, or nil.
	Err error
	// Document is the kind of the document that was applied: services, backends or
	// instances. It is empty for other events.
	Document string
	Revision fleet.Revision
	// Source names the peer from which the document came, or is "platform".
	Source string
	// Upserts and Removed are the numbers of entries that the document changes and removes.
	Upserts, Removed int
}

func (Send) isOutput()        {}
func (OpenLink) isOutput()    {}
func (CloseLink) isOutput()   {}
func (Probe) isOutput()       {}
func (PublishView) isOutput() {}
func (ReportEvent) isOutput() {}
