package node

import (
	"context"
	"time"

	"github.com/radishmast/radishmast/internal/core/control"
	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Source reads published documents.
type Source interface {
	// Run hands documents to the sink until ctx is done.
	Run(ctx context.Context, sink Sink)
}

// Sink takes what a source has read.
type Sink interface {
	// Apply puts a document in force if it is newer than the one that is.
	Apply(document fleet.Document)
	// Confirm records that nothing has changed.
	Confirm()
	// Revisions returns the revisions in force.
	Revisions() fleet.Revisions
	// FleetSize returns the number of listed instances.
	FleetSize() int
}

// Apply puts a document in force if it is newer than the one that is.
func (n *Node) Apply(document fleet.Document) {
	n.inputs <- func(now time.Time) []control.Output { return n.controller.Document(now, document) }
}

// Confirm records that the platform answered that nothing has changed.
func (n *Node) Confirm() {
	n.inputs <- func(time.Time) []control.Output {
		n.controller.Confirm()
		return nil
	}
}

// Revisions returns the revisions in force.
func (n *Node) Revisions() fleet.Revisions { return n.Load().Revisions() }

// FleetSize returns the number of listed instances.
func (n *Node) FleetSize() int { return len(n.Load().Nodes()) }
