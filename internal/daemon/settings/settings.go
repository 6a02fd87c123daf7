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

// Error names the field that is wrong and what is allowed.
type Error struct {
	Field   string
	Allowed string
}

// Error implements error.
func (e Error) Error() string {
	return fmt.Sprintf("settings: field %q: %s", e.Field, e.Allowed)
}

// Common are the settings that every daemon has.
type Common struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"dataCentre"`
	Data       string   `json:"data"`
	Control    string   `json:"control"`
	Platform   string   `json:"platform"`
	Keys       []string `json:"keys"`
	Peers      []string `json:"peers"`
	// DataCentres lists all data centres, where the platform does not publish
	// selectors by data centre.
	DataCentres []string `json:"dataCentres"`
	// AgentControl is the port of the agents' control endpoints, where the platform
	// does not list it.
	AgentControl uint16 `json:"agentControl"`
	// Ready is the endpoint that tells the fabric whether to send packets here. It
	// is optional.
	Ready string `json:"ready"`
}

// Balancer are the settings of an entry instance.
type Balancer struct {
	Common
	Fabric  string `json:"fabric"`
	Hints   int    `json:"hints"`
	Readers int    `json:"readers"`
}

// Agent are the settings of the process beside a backend server.
type Agent struct {
	Common
	Egress      string `json:"egress"`
	Backend     string `json:"backend"`
	Health      string `json:"health"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Placement   string `json:"placement"`
}

// Carrier are the settings of an agent that carries packets between callers and a
// backend server that ends the flows itself.
type Carrier struct {
	Common
	// Outbound is the endpoint to which the backend server sends its packets.
	Outbound string `json:"outbound"`
	// Backend is the endpoint at which the backend server takes packets.
	Backend     string            `json:"backend"`
	Labels      map[string]string `json:"labels"`
	Connections int               `json:"connections"`
}

// ReadCarrier reads and checks the settings of a carrying agent.
func ReadCarrier(data []byte) (*Carrier, error) {
	s := &Carrier{Connections: defaultConnections}
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
	)
}

// ReadBalancer reads and checks the settings of a balancer.
func ReadBalancer(data []byte) (*Balancer, error) {
	s := &Balancer{Hints: defaultHints, Readers: defaultReaders}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

// ReadAgent reads and checks the settings of an agent.
func ReadAgent(data []byte) (*Agent, error) {
	s := &Agent{Connections: defaultConnections, Placement: "handover"}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

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

// describeDecodeError names the field that the JSON decoder complains about.
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

// fieldNames lists the JSON names of a struct's fields, embedded ones included.
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

func checkCount(field string, value, high int) error {
	if value < 1 || value > high {
		return Error{field, fmt.Sprintf("must be between 1 and %d", high)}
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

// Endpoint parses an endpoint that has been checked.
func Endpoint(value string) netip.AddrPort {
	return netip.MustParseAddrPort(value)
}
