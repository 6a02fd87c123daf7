package control

import (
	"fmt"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// diff returns the delta that turns one list of named entries into another. Entries are
// compared by equal.
func diff[T any](before, after []T, name func(*T) string, equal func(a, b *T) bool) *Delta[T] {
	old := make(map[string]*T, len(before))
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	delta := new(Delta[T])
	for i := range after {
		key := name(&after[i])
		if previous, known := old[key]; !known || !equal(previous, &after[i]) {
			delta.Upserts = append(delta.Upserts, after[i])
		}
		delete(old, key)
	}
	for key := range old {
		delta.Removed = append(delta.Removed, key)
	}
	return delta
}

// patch applies a delta to a list of named entries. It returns a new list: the unchanged entries
// in their order, followed by the upserts.
func patch[T any](before []T, delta *Delta[T], name func(*T) string) []T {
	replaced := make(map[string]bool, len(delta.Upserts)+len(delta.Removed))
	for i := range delta.Upserts {
		replaced[name(&delta.Upserts[i])] = true
	}
	for _, key := range delta.Removed {
		replaced[key] = true
	}
	after := make([]T, 0, len(before)+len(delta.Upserts))
	for i := range before {
		if !replaced[name(&before[i])] {
			after = append(after, before[i])
		}
	}
	return append(after, delta.Upserts...)
}

func serviceName(s *fleet.Service) string   { return s.Name }
func backendName(b *fleet.Backend) string   { return b.Name }
func instanceName(i *fleet.Instance) string { return i.Name }

// changeBetween returns the change from the current document of a kind to a newer one.
func changeBetween(state *fleet.State, document fleet.Document) *Change {
	services, backends, instances := state.Documents()
	switch d := document.(type) {
	case *fleet.ServicesDocument:
		return &Change{From: services.Revision, To: d.Revision, Services: diff(services.Services, d.Services, serviceName, (*fleet.Service).Equal), Draining: d.Draining}
	case *fleet.BackendsDocument:
		return &Change{From: backends.Revision, To: d.Revision, Backends: diff(backends.Backends, d.Backends, backendName, (*fleet.Backend).Equal)}
	case *fleet.InstancesDocument:
		return &Change{From: instances.Revision, To: d.Revision, Instances: diff(instances.Instances, d.Instances, instanceName, (*fleet.Instance).Equal), Leased: d.Leased}
	}
	return nil
}

// GapError reports a change that is based on another revision than the one in force, so that
// it cannot be applied.
type GapError struct {
	InForce fleet.Revision
	From    fleet.Revision
}

// Error implements error.
func (e GapError) Error() string {
	return fmt.Sprintf("change is based on revision %s, but revision %s is in force", e.From, e.InForce)
}

// document returns the document that results from applying the change to the state. It
// returns a GapError if the change is based on another revision than the one in force.
func (c *Change) document(state *fleet.State) (fleet.Document, error) {
	services, backends, instances := state.Documents()
	switch {
	case c.Services != nil:
		isIncremental, err := c.isIncremental(services.Revision)
		if err != nil || !isIncremental {
			return &fleet.ServicesDocument{Revision: c.To, Services: c.Services.Upserts, Draining: c.Draining}, err
		}
		return &fleet.ServicesDocument{Revision: c.To, Services: patch(services.Services, c.Services, serviceName), Draining: c.Draining}, nil
	case c.Backends != nil:
		isIncremental, err := c.isIncremental(backends.Revision)
		if err != nil || !isIncremental {
			return &fleet.BackendsDocument{Revision: c.To, Backends: c.Backends.Upserts}, err
		}
		return &fleet.BackendsDocument{Revision: c.To, Backends: patch(backends.Backends, c.Backends, backendName)}, nil
	case c.Instances != nil:
		isIncremental, err := c.isIncremental(instances.Revision)
		if err != nil || !isIncremental {
			return &fleet.InstancesDocument{Revision: c.To, Instances: c.Instances.Upserts, Leased: c.Leased}, err
		}
		return &fleet.InstancesDocument{Revision: c.To, Instances: patch(instances.Instances, c.Instances, instanceName), Leased: c.Leased}, nil
	}
	return nil, fmt.Errorf("change to revision %s contains no services, backends or instances", c.To)
}

// isIncremental reports whether the change is based on the revision in force. It is false
// for a change that holds a whole document. A change that is based on another revision is a
// GapError.
func (c *Change) isIncremental(inForce fleet.Revision) (bool, error) {
	if c.From.IsMissing() {
		return false, nil
	}
	if c.From != inForce {
		return false, GapError{InForce: inForce, From: c.From}
	}
	return true, nil
}

// entryCount returns the number of entries that the change adds, replaces or removes.
func (c *Change) entryCount() int {
	switch {
	case c.Services != nil:
		return len(c.Services.Upserts) + len(c.Services.Removed)
	case c.Backends != nil:
		return len(c.Backends.Upserts) + len(c.Backends.Removed)
	case c.Instances != nil:
		return len(c.Instances.Upserts) + len(c.Instances.Removed)
	}
	return 0
}

// recentChanges holds the last change of each document, or nil if there was none. A peer that
// is one revision behind gets this change instead of the whole document.
type recentChanges struct {
	services  *Change
	backends  *Change
	instances *Change
}

// recordChange stores a change as the last one of its document.
func (r *recentChanges) recordChange(change *Change) {
	switch {
	case change.Services != nil:
		r.services = change
	case change.Backends != nil:
		r.backends = change
	case change.Instances != nil:
		r.instances = change
	}
}

// changesSince returns the changes that bring a peer from its revisions to those of the
// state. For each document that is newer here, it is the last change if the peer lacks only
// that one, and the whole document otherwise.
func (r *recentChanges) changesSince(state *fleet.State, revisions fleet.Revisions) []Change {
	services, backends, instances := state.Documents()
	var changes []Change
	if instances.IsNewerThan(revisions.Instances) {
		whole := &Change{To: instances.Revision, Instances: &Delta[fleet.Instance]{Upserts: instances.Instances}, Leased: instances.Leased}
		changes = append(changes, *preferIncremental(r.instances, revisions.Instances, whole))
	}
	if backends.IsNewerThan(revisions.Backends) {
		whole := &Change{To: backends.Revision, Backends: &Delta[fleet.Backend]{Upserts: backends.Backends}}
		changes = append(changes, *preferIncremental(r.backends, revisions.Backends, whole))
	}
	if services.IsNewerThan(revisions.Services) {
		whole := &Change{To: services.Revision, Services: &Delta[fleet.Service]{Upserts: services.Services}, Draining: services.Draining}
		changes = append(changes, *preferIncremental(r.services, revisions.Services, whole))
	}
	return changes
}

// preferIncremental returns the last change if it leads from a peer's revision to that of the
// whole document, and the whole document otherwise.
func preferIncremental(last *Change, revision fleet.Revision, whole *Change) *Change {
	if last != nil && last.From == revision && last.To == whole.To {
		return last
	}
	return whole
}

// appliedEvent returns the event that reports the change as applied, with its source and the
// numbers of its entries.
func (c *Change) appliedEvent(source string) ReportEvent {
	r := ReportEvent{Event: EventDocumentApplied, Source: source, Revision: c.To}
	switch {
	case c.Services != nil:
		r.Document, r.Upserts, r.Removed = "services", len(c.Services.Upserts), len(c.Services.Removed)
	case c.Backends != nil:
		r.Document, r.Upserts, r.Removed = "backends", len(c.Backends.Upserts), len(c.Backends.Removed)
	case c.Instances != nil:
		r.Document, r.Upserts, r.Removed = "instances", len(c.Instances.Upserts), len(c.Instances.Removed)
	}
	return r
}
