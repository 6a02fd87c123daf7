// Package fleet holds a process's view of the fleet: the documents that operators
// publish, the records that peers publish about themselves, and the routing view that is
// computed from both.
package fleet

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// Limits on an entry of a published document: the length of its name in bytes, and the number of
// labels of a backend server. The number of entries has no limit of its own.
const (
	maxNameBytes       = 128
	maxLabelsPerServer = 32
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
		s.Priority == other.Priority && s.Timeout == other.Timeout &&
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

// DocumentError reports which entry of a document is invalid and what is allowed.
type DocumentError struct {
	// Document is the name of the document.
	Document string
	// Entry names the invalid entry.
	Entry string
	// Reason states what is wrong with the entry or what is allowed.
	Reason string
}

// Error implements error.
func (e DocumentError) Error() string {
	return fmt.Sprintf("document %q: %s: %s", e.Document, e.Entry, e.Reason)
}

// Validate returns a DocumentError for the first invalid entry, and else nil. A document with
// an invalid entry is rejected as a whole.
func (d *ServicesDocument) Validate() error {
	names := make(map[string]bool, len(d.Services))
	addresses := make(map[flow.Address]string, len(d.Services))
	for i := range d.Services {
		service := &d.Services[i]
		if err := checkName(service.Name, names); err != nil {
			return DocumentError{"services", describeEntry(i, service.Name), err.Error()}
		}
		address, err := service.parseAddress()
		if err != nil {
			return DocumentError{"services", describeEntry(i, service.Name), err.Error()}
		}
		if other, taken := addresses[address]; taken {
			return DocumentError{"services", describeEntry(i, service.Name), "address is already used by service " + other}
		}
		addresses[address] = service.Name
	}
	return nil
}

// Validate returns a DocumentError for the first invalid entry, and else nil. A document with
// an invalid entry is rejected as a whole.
func (d *BackendsDocument) Validate() error {
	names := make(map[string]bool, len(d.Backends))
	for i := range d.Backends {
		backend := &d.Backends[i]
		if err := checkName(backend.Name, names); err != nil {
			return DocumentError{"backends", describeEntry(i, backend.Name), err.Error()}
		}
		if backend.DataCentre == "" {
			return DocumentError{"backends", describeEntry(i, backend.Name), "dataCentre is missing"}
		}
		if len(backend.Labels) > maxLabelsPerServer {
			return DocumentError{"backends", describeEntry(i, backend.Name), fmt.Sprintf("more than %d labels", maxLabelsPerServer)}
		}
	}
	return nil
}

// Validate returns a DocumentError for the first invalid entry, and else nil. A document with
// an invalid entry is rejected as a whole.
func (d *InstancesDocument) Validate() error {
	names := make(map[string]bool, len(d.Instances))
	for i := range d.Instances {
		instance := &d.Instances[i]
		if err := checkName(instance.Name, names); err != nil {
			return DocumentError{"instances", describeEntry(i, instance.Name), err.Error()}
		}
		if err := instance.check(); err != nil {
			return DocumentError{"instances", describeEntry(i, instance.Name), err.Error()}
		}
	}
	return nil
}

// parseAddress returns the service address that the Protocol and Address fields name.
func (s *Service) parseAddress() (flow.Address, error) {
	endpoint, err := netip.ParseAddrPort(s.Address)
	if err != nil || !endpoint.Addr().Is4() || endpoint.Port() == 0 {
		return flow.Address{}, fmt.Errorf("address %q is not an IPv4 address and port such as 10.9.0.1:80", s.Address)
	}
	switch s.Protocol {
	case "tcp":
		return flow.NewAddress(flow.TCP, endpoint), nil
	case "udp":
		return flow.NewAddress(flow.UDP, endpoint), nil
	}
	return flow.Address{}, fmt.Errorf("protocol %q is neither tcp nor udp", s.Protocol)
}

// check returns an error for the first invalid field other than the name.
func (i *Instance) check() error {
	if i.Role != RoleBalancer && i.Role != RoleAgent {
		return fmt.Errorf("role %q is neither balancer nor agent", i.Role)
	}
	if i.State != StateLive && i.State != StateLeaving {
		return fmt.Errorf("state %q is neither live nor leaving", i.State)
	}
	if i.DataCentre == "" {
		return errors.New("dataCentre is missing")
	}
	for field, value := range map[string]string{"data": i.Data, "control": i.Control} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("%s %q is not an address and port", field, value)
		}
	}
	return nil
}

// checkName returns an error if the name is invalid or in seen. It adds a valid name to
// seen.
func checkName(name string, seen map[string]bool) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("name must have 1 to %d bytes", maxNameBytes)
	}
	if seen[name] {
		return errors.New("name appears twice")
	}
	seen[name] = true
	return nil
}

// describeEntry returns the text that names an entry in a DocumentError.
func describeEntry(index int, name string) string {
	return fmt.Sprintf("entry %d (%s)", index, name)
}
