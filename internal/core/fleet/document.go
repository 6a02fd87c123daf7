// Package fleet holds a process's view of the fleet: the documents that operators
// publish, the records that peers publish about themselves, and the routing view that is
// computed from both.
package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// InstanceID identifies an instance. It is the hash of the instance's name, so that an
// instance that reuses a network address does not inherit the identity of the one before.
type InstanceID uint64

// ServiceID identifies a service. It is the hash of the service's name.
type ServiceID uint64

// InstanceIDOf returns the ID of the instance with a name.
func InstanceIDOf(name string) InstanceID {
	return InstanceID(xxhash.Sum64String(name))
}

// ServiceIDOf returns the ID of the service with a name.
func ServiceIDOf(name string) ServiceID {
	return ServiceID(xxhash.Sum64String("service/" + name))
}

// Selector selects backend servers by label: every key must be present with one of the
// listed values. An empty selector matches every backend server.
type Selector map[string][]string

// Matches reports whether the labels satisfy the selector.
func (s Selector) Matches(labels map[string]string) bool {
	for key, allowed := range s {
		value, present := labels[key]
		if !present || !slices.Contains(allowed, value) {
			return false
		}
	}
	return true
}

// Mismatch describes the first label, in order of keys, that keeps the selector from
// matching. It returns an empty string if the selector matches.
func (s Selector) Mismatch(labels map[string]string) string {
	for _, key := range slices.Sorted(maps.Keys(s)) {
		value, present := labels[key]
		if !present {
			return fmt.Sprintf("%q is missing, the selector wants one of %q", key, s[key])
		}
		if !slices.Contains(s[key], value) {
			return fmt.Sprintf("%q is %q, the selector wants one of %q", key, value, s[key])
		}
	}
	return ""
}

// selectorsKey returns a string that is the same for equal selectors and different for
// all others. Services with the same key share a pool.
func selectorsKey(selectors map[string]Selector) string {
	var key strings.Builder
	for _, dataCentre := range slices.Sorted(maps.Keys(selectors)) {
		fmt.Fprintf(&key, "%q{", dataCentre)
		selector := selectors[dataCentre]
		for _, label := range slices.Sorted(maps.Keys(selector)) {
			fmt.Fprintf(&key, "%q:%q,", label, selector[label])
		}
		key.WriteString("}")
	}
	return key.String()
}

// AnyDataCentre is the key of the selector for every data centre without one of its own.
const AnyDataCentre = "*"

// Service is a published service. Selectors is keyed by data centre; a data centre
// without a selector is out of the service, unless there is one for AnyDataCentre.
type Service struct {
	_         struct{}            `cbor:",toarray"`
	Name      string              `json:"name"`
	Address   string              `json:"address"`
	Protocol  string              `json:"protocol"`
	Selectors map[string]Selector `json:"selectors"`
	// ColdStartRate is the number of new flows a second that one backend server of the
	// service can take in its cold start, or zero if it is not known.
	ColdStartRate float64 `json:"coldRate,omitempty"`
	// ColdStartRates holds the rates of backend servers that differ from ColdStartRate, in a
	// service that selects servers of several kinds.
	ColdStartRates []ColdStartRate `json:"coldRates,omitempty"`
	// LatencyObjective is the time within which callers want answers, or zero if none is
	// published.
	LatencyObjective time.Duration `json:"objective,omitempty"`
	// Timeout is the time after which callers give up a request, or zero if none is
	// published.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Idempotent reports whether callers may repeat any request of the service.
	Idempotent bool `json:"idempotent,omitempty"`
	// Priority tells how urgent the requests of the service are. Zero is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Upload reports whether requests of the service are uploads: each takes many packets, and
	// the backend server begins to work on it when it has received the last one.
	Upload bool `json:"upload,omitempty"`
}

// ColdStartRate is the number of new flows a second that one backend server with matching labels
// can take in its cold start.
type ColdStartRate struct {
	_        struct{} `cbor:",toarray"`
	Selector Selector `json:"selector"`
	Rate     float64  `json:"rate"`
}

// equal reports whether two rates are the same and for the same servers.
func (r ColdStartRate) equal(other ColdStartRate) bool {
	return r.Rate == other.Rate && r.Selector.equal(other.Selector)
}

// SelectorFor returns the selector for a data centre: its own, or else the one for
// AnyDataCentre. It reports false if there is neither.
func (s *Service) SelectorFor(dataCentre string) (Selector, bool) {
	return selectorFor(s.Selectors, dataCentre)
}

// selectorFor looks up the selector for a data centre as Service.SelectorFor does.
func selectorFor(selectors map[string]Selector, dataCentre string) (Selector, bool) {
	if selector, present := selectors[dataCentre]; present {
		return selector, true
	}
	selector, present := selectors[AnyDataCentre]
	return selector, present
}

// Backend is a published backend server with its labels.
type Backend struct {
	_          struct{}          `cbor:",toarray"`
	Name       string            `json:"name"`
	DataCentre string            `json:"dataCentre"`
	Labels     map[string]string `json:"labels"`
	// BootID identifies the current start of the backend server. It is empty if the
	// platform does not publish one.
	BootID string `json:"boot,omitempty"`
	// StartedAt is when the backend server started, by the wall clock of its own
	// instance. It is zero if the platform does not publish it.
	StartedAt time.Time `json:"startedAt,omitzero"`
	// Slots is the number of requests that the backend server can run at once, or zero if
	// the platform does not publish it.
	Slots int `json:"slots,omitempty"`
	// ColdStartRemaining is how much longer the cold start of the backend server lasted
	// when it last reported. It is not a deadline because the clocks of instances differ.
	ColdStartRemaining time.Duration `json:"warming,omitempty"`
}

// Equal reports whether two services are published with the same values.
func (s *Service) Equal(other *Service) bool {
	return s.Name == other.Name && s.Address == other.Address && s.Protocol == other.Protocol &&
		s.ColdStartRate == other.ColdStartRate && s.LatencyObjective == other.LatencyObjective && s.Idempotent == other.Idempotent &&
		s.Priority == other.Priority && s.Timeout == other.Timeout && s.Upload == other.Upload &&
		slices.EqualFunc(s.ColdStartRates, other.ColdStartRates, ColdStartRate.equal) &&
		maps.EqualFunc(s.Selectors, other.Selectors, Selector.equal)
}

// equal reports whether two selectors have the same keys with the same values in the same
// order.
func (s Selector) equal(other Selector) bool { return maps.EqualFunc(s, other, slices.Equal[[]string]) }

// Equal reports whether two backend servers are published with the same values.
func (b *Backend) Equal(other *Backend) bool {
	return b.Name == other.Name && b.DataCentre == other.DataCentre && b.BootID == other.BootID &&
		b.StartedAt.Equal(other.StartedAt) && b.Slots == other.Slots && b.ColdStartRemaining == other.ColdStartRemaining &&
		maps.Equal(b.Labels, other.Labels)
}

// Role is the kind of process that an instance runs.
type Role string

// Roles of instances.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// InstanceState is the state of an instance in the platform's list, which lags behind the
// instance.
type InstanceState string

// States of instances.
const (
	// StateLive means that the instance runs.
	StateLive InstanceState = "live"
	// StateLeaving means that the instance takes no new flows and will stop.
	StateLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances. An agent has the same name as
// its backend server. Data and Control are the instance's endpoints for packets and for
// control messages, each an address and port.
type Instance struct {
	_          struct{}      `cbor:",toarray"`
	Name       string        `json:"name"`
	Role       Role          `json:"role"`
	DataCentre string        `json:"dataCentre"`
	Data       string        `json:"data"`
	Control    string        `json:"control"`
	State      InstanceState `json:"state"`
}

// Equal reports whether two instances are published with the same values.
func (i *Instance) Equal(other *Instance) bool { return *i == *other }

// ServicesDocument is the document "services". As in the other documents, the fields of the
// revision stand beside the others in its JSON.
type ServicesDocument struct {
	Revision
	Services []Service `json:"services"`
	// Draining lists the data centres that get no new flows. Open flows stay there,
	// unlike in a data centre without a selector.
	Draining []string `json:"draining,omitempty"`
}

// BackendsDocument is the document "backends".
type BackendsDocument struct {
	Revision
	Backends []Backend `json:"backends"`
}

// InstancesDocument is the document "instances".
type InstancesDocument struct {
	Revision
	Instances []Instance `json:"instances"`
	// Leased reports whether entries are leases: an entry then also disappears if its
	// instance could not renew it.
	Leased bool `json:"leased,omitempty"`
}
