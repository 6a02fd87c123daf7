package node

import (
	"context"
	"time"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/core/fleet"
)

// DocumentSource reads published documents.
type DocumentSource interface {
	// Run hands documents to the sink until ctx is done.
	Run(ctx context.Context, sink DocumentSink)
}

// DocumentSink takes what a source has read.
type DocumentSink interface {
	// Apply puts a document in force if it is newer than the one that is.
	Apply(document fleet.Document)
	// ConfirmUnchanged records that nothing has changed.
	ConfirmUnchanged()
	// AwaitReadDue waits until this process should read the platform itself, since its
	// peers do not. It returns false when ctx is done.
	AwaitReadDue(ctx context.Context) bool
	// Revisions returns the revisions in force.
	Revisions() fleet.Revisions
	// FleetSize returns the number of listed instances.
	FleetSize() int
}

// Apply puts a document in force if it is newer than the one that is.
func (n *Node) Apply(document fleet.Document) {
	n.inputs <- func(now time.Time) []control.Output { return n.controller.ApplyDocument(now, document) }
}

// ConfirmUnchanged records that the platform answered that nothing has changed.
func (n *Node) ConfirmUnchanged() {
	n.inputs <- func(now time.Time) []control.Output { return n.controller.Confirm(now) }
}

// AwaitReadDue waits until this process should read the platform. It returns false
// when ctx is done.
func (n *Node) AwaitReadDue(ctx context.Context) bool {
	for !n.mustRead.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-n.readDue:
		}
	}
	return ctx.Err() == nil
}

// updateReadDue runs on the control goroutine.
func (n *Node) updateReadDue(now time.Time) {
	must := n.controller.ShouldReadPlatform(now)
	if n.mustRead.Swap(must) || !must {
		return
	}
	select {
	case n.readDue <- struct{}{}:
	default:
	}
}

// Revisions returns the revisions in force.
func (n *Node) Revisions() fleet.Revisions { return n.Load().Revisions() }

// FleetSize returns the number of listed instances.
func (n *Node) FleetSize() int { return len(n.Load().Nodes()) }
