// Package settings reads and checks the JSON settings of the daemons.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"reflect"
	"strings"
)

// Limits and defaults of the settings.
const (
	defaultHints       = 1 << 18
	maxHints           = 1 << 24
	defaultReaders     = 1
	maxReaders         = 64
	maxSlots           = 10000
	maxConnections     = 100000
	defaultConnections = 2000
	maxKeys            = 2
	minKeyBytes        = 16
)

// Error reports a field that is unknown or whose value is not valid, and what is allowed.
type Error struct {
	// Field is the JSON name of the field.
	Field string
	// Allowed says what values are allowed, as in "must not be empty".
	Allowed string
}

// Error implements error.
func (e Error) Error() string {
	return fmt.Sprintf("settings: field %q: %s", e.Field, e.Allowed)
}

// Common holds the settings that all daemons share. Endpoints are IPv4 addresses with a
// port.
type Common struct {
	// Name is the name of the instance.
	Name string `json:"name"`
	// DataCentre is the name of the data centre that the instance runs in.
	DataCentre string `json:"dataCentre"`
	// Data is the endpoint at which the instance receives datagrams of other processes.
	Data string `json:"data"`
	// Control is the endpoint at which the instance accepts control links.
	Control string `json:"control"`
	// Platform is the base URL of the platform's API.
	Platform string `json:"platform"`
	// Keys are the secrets shared by all processes. The first one signs messages; any of
	// them verifies one, so that a key can be replaced while processes run. The list may be empty.
	Keys []string `json:"keys"`
	// Peers are the control endpoints of the processes to connect to first. The list may be
	// empty.
	Peers []string `json:"peers"`
	// DataCentres lists all data centres. It is needed where the platform does not publish
	// selectors by data centre.
	DataCentres []string `json:"dataCentres"`
	// AgentControl is the port of the agents' control endpoints. It is needed where the
	// platform does not list it.
	AgentControl uint16 `json:"agentControl"`
	// Ready is the endpoint of the readiness check by which the fabric decides whether to
	// send packets here. If it is empty, no check is served.
	Ready string `json:"ready"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Fabric is the endpoint at which the balancer receives packets from callers.
	Fabric string `json:"fabric"`
	// Hints is the number of hints that the balancer can keep.
	Hints int `json:"hints"`
	// Readers is the number of goroutines that read packets from callers.
	Readers int `json:"readers"`
}

// Agent holds the settings of an agent that terminates the flows of its backend server.
type Agent struct {
	Common
	// Egress is the endpoint of the fabric to which packets for callers are sent.
	Egress string `json:"egress"`
	// Backend is the endpoint at which the backend server accepts connections.
	Backend string `json:"backend"`
	// Health is the URL of the backend server's health endpoint. If it is empty, the agent
	// does not watch for restarts of the backend server.
	Health string `json:"health"`
	// Slots is the number of requests that the backend server can run at once.
	Slots int `json:"slots"`
	// Connections is the number of flows that the agent can own.
	Connections int `json:"connections"`
	// Placement is the rule that decides which agent serves a new flow: "uniform", "hash",
	// "handover" (the default) or "choices".
	Placement string `json:"placement"`
}

// Carrier holds the settings of an agent that forwards packets between callers and a
// backend server that terminates the flows itself.
type Carrier struct {
	Common
	// Outbound is the endpoint to which the backend server sends its packets.
	Outbound string `json:"outbound"`
	// Backend is the endpoint at which the backend server receives packets.
	Backend string `json:"backend"`
	// Labels are the labels of the backend server, which selectors match. They can change
	// while the agent runs.
	Labels map[string]string `json:"labels"`
	// Connections is the number of flows that the agent can own.
	Connections int `json:"connections"`
	// Placement is the rule that decides which agent serves a new flow: PlacementHandOver (the
	// default) or PlacementWork.
	Placement string `json:"placement"`
}

// Values of Carrier.Placement.
const (
	// PlacementHandOver hands a new flow over when the backend server has no free slot, and a
	// share of the flows while it is busier than the mean.
	PlacementHandOver = "handover"
	// PlacementWork hands a new flow over when another backend server is expected to answer it
	// sooner.
	PlacementWork = "work"
)

// ReadCarrier decodes the settings of an agent of carried flows, sets defaults and checks
// them. If a check fails, it returns the settings together with the error; if data cannot be
// decoded, nil.
func ReadCarrier(data []byte) (*Carrier, error) {
	s := &Carrier{Connections: defaultConnections, Placement: PlacementHandOver}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *Carrier) check() error {
	return errors.Join(
		s.Common.check(),
		checkEndpoint("outbound", s.Outbound),
		checkEndpoint("backend", s.Backend),
		checkCount("connections", s.Connections, maxConnections),
		checkOneOf("placement", s.Placement, PlacementHandOver, PlacementWork),
	)
}

// ReadBalancer decodes the settings of a balancer, sets defaults and checks them. If a
// check fails, it returns the settings together with the error; if data cannot be decoded, nil.
func ReadBalancer(data []byte) (*Balancer, error) {
	s := &Balancer{Hints: defaultHints, Readers: defaultReaders}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

// ReadAgent decodes the settings of an agent that terminates flows, sets defaults and
// checks them. If a check fails, it returns the settings together with the error; if data
// cannot be decoded, nil.
func ReadAgent(data []byte) (*Agent, error) {
	s := &Agent{Connections: defaultConnections, Placement: "handover"}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

// decode decodes a single JSON object into a settings struct. Unknown fields, and text after
// the object, are errors.
func decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return describeDecodeError(err, into)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("settings: text after the JSON object")
	}
	return nil
}

// describeDecodeError returns an Error for a decoder error about a single field, and wraps
// any other. into is the struct that was decoded into.
func describeDecodeError(err error, into any) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return Error{wrongType.Field, "must be a " + wrongType.Type.String()}
	}
	if field, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		known := strings.Join(fieldNames(reflect.TypeOf(into).Elem()), ", ")
		return Error{strings.Trim(field, `"`), "is not a setting; allowed are " + known}
	}
	return fmt.Errorf("settings: %w", err)
}

// fieldNames returns the JSON names of a struct's fields, embedded structs included.
func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Anonymous {
			names = append(names, fieldNames(field.Type)...)
			continue
		}
		names = append(names, field.Tag.Get("json"))
	}
	return names
}

func (s *Balancer) check() error {
	return errors.Join(
		s.Common.check(),
		checkEndpoint("fabric", s.Fabric),
		checkCount("hints", s.Hints, maxHints),
		checkCount("readers", s.Readers, maxReaders),
	)
}

func (s *Agent) check() error {
	return errors.Join(
		s.Common.check(),
		checkEndpoint("egress", s.Egress),
		checkEndpoint("backend", s.Backend),
		checkOptionalURL("health", s.Health),
		checkCount("slots", s.Slots, maxSlots),
		checkCount("connections", s.Connections, maxConnections),
		checkOneOf("placement", s.Placement, "uniform", "hash", "handover", "choices"),
	)
}

func (s *Common) check() error {
	return errors.Join(
		checkNotEmpty("name", s.Name),
		checkNotEmpty("dataCentre", s.DataCentre),
		checkEndpoint("data", s.Data),
		checkEndpoint("control", s.Control),
		checkURL("platform", s.Platform),
		checkOptionalEndpoint("ready", s.Ready),
		s.checkKeys(),
		s.checkPeers(),
	)
}

func (s *Common) checkPeers() error {
	for _, peer := range s.Peers {
		if err := checkEndpoint("peers", peer); err != nil {
			return err
		}
	}
	return nil
}

func (s *Common) checkKeys() error {
	if len(s.Keys) > maxKeys {
		return Error{"keys", fmt.Sprintf("at most %d keys are allowed", maxKeys)}
	}
	for _, key := range s.Keys {
		if len(key) < minKeyBytes {
			return Error{"keys", fmt.Sprintf("a key needs at least %d bytes", minKeyBytes)}
		}
	}
	return nil
}

func checkNotEmpty(field, value string) error {
	if value == "" {
		return Error{field, "must not be empty"}
	}
	return nil
}

func checkEndpoint(field, value string) error {
	endpoint, err := netip.ParseAddrPort(value)
	if err != nil || !endpoint.Addr().Is4() || endpoint.Port() == 0 {
		return Error{field, "must be an IPv4 address and port such as 10.0.0.1:7000"}
	}
	return nil
}

func checkOptionalEndpoint(field, value string) error {
	if value == "" {
		return nil
	}
	return checkEndpoint(field, value)
}

func checkURL(field, value string) error {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return Error{field, "must be a URL such as http://10.0.0.1:8500"}
	}
	return nil
}

func checkOptionalURL(field, value string) error {
	if value == "" {
		return nil
	}
	return checkURL(field, value)
}

func checkCount(field string, value, limit int) error {
	if value < 1 || value > limit {
		return Error{field, fmt.Sprintf("must be between 1 and %d", limit)}
	}
	return nil
}

func checkOneOf(field, value string, allowed ...string) error {
	for _, a := range allowed {
		if value == a {
			return nil
		}
	}
	return Error{field, fmt.Sprintf("must be one of %q", allowed)}
}

// Endpoint parses an endpoint of settings that have been checked. It panics if the value is
// not an endpoint.
func Endpoint(value string) netip.AddrPort {
	return netip.MustParseAddrPort(value)
}
