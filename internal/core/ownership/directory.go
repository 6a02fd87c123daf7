package ownership

import (
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// RegistrationLifetime is how long a registrar keeps a registration. It is longer than
// the time after which owners register again, so that renewals keep it alive.
const RegistrationLifetime = 90 * time.Second

// registeredOwner is the agent that has registered a flow as its own.
type registeredOwner struct {
	owner fleet.InstanceID
	// expires is when the registration ends unless it is renewed.
	expires time.Time
}

// Directory holds the registrations that other agents have sent.
type Directory struct {
	// flows maps the hash of a flow to its owner.
	flows map[uint64]registeredOwner
	// limit is the maximum number of registrations. Beyond it new flows are ignored.
	limit int
}

// NewDirectory returns an empty directory for at most limit registrations.
func NewDirectory(limit int) Directory {
	return Directory{flows: make(map[uint64]registeredOwner), limit: limit}
}

// Put stores or renews the registration of a flow. A new one is ignored if the directory is
// full.
func (d *Directory) Put(now time.Time, hash uint64, owner fleet.InstanceID) {
	if _, known := d.flows[hash]; !known && len(d.flows) >= d.limit {
		return
	}
	d.flows[hash] = registeredOwner{owner: owner, expires: now.Add(RegistrationLifetime)}
}

// Owner returns the registered owner of a flow. It reports false if there is none or the
// registration has expired.
func (d *Directory) Owner(now time.Time, hash uint64) (fleet.InstanceID, bool) {
	found, known := d.flows[hash]
	return found.owner, known && now.Before(found.expires)
}

// Sweep removes expired registrations.
func (d *Directory) Sweep(now time.Time) {
	for hash, entry := range d.flows {
		if !now.Before(entry.expires) {
			delete(d.flows, hash)
		}
	}
}

// Len returns the number of registrations.
func (d *Directory) Len() int { return len(d.flows) }
