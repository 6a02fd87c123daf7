package fleet

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/radishmast/radishmast/internal/core/flow"
)

// Limits on an entry of a published document: the length of its name in bytes, and the number of
// labels of a backend server. The number of entries has no limit of its own.
const (
	maxNameBytes       = 128
	maxLabelsPerServer = 32
)

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
