package node

import (
	"context"
	"time"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/core/fleet"
)

// DocumentSource reads the documents that the platform publishes.
type DocumentSource interface {
	// Run reads documents and passes them to sink until ctx is done.
	Run(ctx context.Context, sink DocumentSink)
}

// DocumentSink receives the results of a DocumentSource.
type DocumentSink interface {
	// Apply replaces the current documents by those that are newer. They take effect together.
	Apply(documents ...fleet.Document)
	// ConfirmUnchanged records that the platform was read and has not changed.
	ConfirmUnchanged()
	// RecordReadFailure records that the platform could not be read.
	RecordReadFailure()
	// AwaitReadDue waits until this process should read the platform, because it is one of
	// the fleet's readers or its peers have not confirmed the view recently. It reports
	// false if ctx is done.
	AwaitReadDue(ctx context.Context) bool
	// Revisions returns the revisions of the current documents.
	Revisions() fleet.Revisions
	// FleetSize returns the number of instances in the current view.
	FleetSize() int
}

// Apply makes the control goroutine replace the current documents by those that are newer. It
// waits while the queue of the control goroutine is full.
func (n *Node) Apply(documents ...fleet.Document) {
	n.inputs <- func(now time.Time) []control.Output { return n.controller.ApplyDocuments(now, documents...) }
}

// ConfirmUnchanged makes the control goroutine record that the platform was read and has not
// changed. It waits while the queue of the control goroutine is full.
func (n *Node) ConfirmUnchanged() {
	n.inputs <- func(now time.Time) []control.Output { return n.controller.Confirm(now) }
}

// RecordReadFailure makes the control goroutine record that the platform could not be read. It
// waits while the queue of the control goroutine is full.
func (n *Node) RecordReadFailure() {
	n.inputs <- func(now time.Time) []control.Output {
		n.controller.RecordReadFailure(now)
		n.updateReadDue(now)
		return nil
	}
}

// AwaitReadDue waits until this process should read the platform. It reports false if ctx is
// done.
func (n *Node) AwaitReadDue(ctx context.Context) bool {
	for !n.isReadDue.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-n.readBecameDue:
		}
	}
	return ctx.Err() == nil
}

// updateReadDue updates whether this process should read the platform, and wakes AwaitReadDue
// when that becomes true. Only the control goroutine may call it.
func (n *Node) updateReadDue(now time.Time) {
	due := n.controller.ShouldReadPlatform(now)
	if n.isReadDue.Swap(due) || !due {
		return
	}
	select {
	case n.readBecameDue <- struct{}{}:
	default:
	}
}

// Revisions returns the revisions of the current documents.
func (n *Node) Revisions() fleet.Revisions { return n.View().Revisions() }

// FleetSize returns the number of instances in the current view.
func (n *Node) FleetSize() int { return len(n.View().Nodes()) }
