package cmdutil

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/operator"
	"github.com/radishmast/radishmast/internal/link/platform"
)

// Environment variables that set the default of a flag.
const (
	// EnvPlatform is the variable for --platform.
	EnvPlatform = "RADISHMAST_PLATFORM"
	// EnvNode is the variable for --node.
	EnvNode = "RADISHMAST_NODE"
)

// requestTimeout limits a request to a daemon, including the response.
const requestTimeout = 5 * time.Second

// PlatformFlag is the flag --platform, the URL of the platform.
type PlatformFlag struct{ url string }

// Register adds the flag to a flag set.
func (p *PlatformFlag) Register(flags *flag.FlagSet) {
	flags.StringVar(&p.url, "platform", os.Getenv(EnvPlatform), "URL of the platform ($"+EnvPlatform+")")
}

// IsSet reports whether the flag or its variable is set.
func (p *PlatformFlag) IsSet() bool { return p.url != "" }

// Client returns a client of the platform, or a UsageError if the flag holds no URL with a
// host.
func (p *PlatformFlag) Client(f *Factory) (*platform.Client, error) {
	parsed, err := url.Parse(p.url)
	if err != nil || parsed.Host == "" {
		return nil, Usagef("--platform %q is not a URL; give one such as http://10.0.0.1:8500 or set $%s", p.url, EnvPlatform)
	}
	return platform.New(p.url, f.HTTPClient.Transport)
}

// Documents are the documents that the platform publishes. A document that is not published
// is empty.
type Documents struct {
	Services  fleet.ServicesDocument
	Backends  fleet.BackendsDocument
	Instances fleet.InstancesDocument
}

// ReadDocuments reads every document once, without waiting for a change. It returns a
// UsageError if the flag holds no URL with a host, and an UnreachableError if a document
// cannot be read or is invalid.
func (p *PlatformFlag) ReadDocuments(ctx context.Context, f *Factory) (*Documents, error) {
	client, err := p.Client(f)
	if err != nil {
		return nil, err
	}
	documents := new(Documents)
	for _, name := range platform.Names() {
		document, err := client.Read(ctx, name, fleet.Revision{}, 0)
		if errors.Is(err, platform.ErrUnchanged) {
			continue
		}
		if err != nil {
			return nil, UnreachableError{fmt.Errorf("%w; check --platform and that the platform is running", err)}
		}
		switch d := document.(type) {
		case *fleet.ServicesDocument:
			documents.Services = *d
		case *fleet.BackendsDocument:
			documents.Backends = *d
		case *fleet.InstancesDocument:
			documents.Instances = *d
		}
	}
	return documents, nil
}

// View computes the routing view from the documents alone. Unlike a daemon's view, it does not
// reflect what peers report, such as their weights and suspicions.
func (d *Documents) View(now time.Time) (*fleet.View, error) {
	state := fleet.NewState()
	for _, document := range []fleet.Document{&d.Services, &d.Backends, &d.Instances} {
		if _, err := state.Apply(now, document); err != nil {
			return nil, err
		}
	}
	return state.View(now), nil
}

// NodeFlag is the flag --node, the control endpoint of a daemon.
type NodeFlag struct{ endpoint string }

// Register adds the flag to a flag set.
func (n *NodeFlag) Register(flags *flag.FlagSet) {
	flags.StringVar(&n.endpoint, "node", os.Getenv(EnvNode), "control endpoint of a daemon ($"+EnvNode+")")
}

// IsSet reports whether the flag or its variable is set.
func (n *NodeFlag) IsSet() bool { return n.endpoint != "" }

// Check returns a UsageError if the endpoint is missing or malformed.
func (n *NodeFlag) Check() error {
	if _, err := netip.ParseAddrPort(n.endpoint); err != nil {
		return Usagef("--node %q is not an address and port; give a daemon's control endpoint such as 10.0.0.1:7001 or set $%s", n.endpoint, EnvNode)
	}
	return nil
}

// Status reads the daemon's status: its role, the document revisions that it has applied,
// and its routing view.
func (n *NodeFlag) Status(ctx context.Context, f *Factory) (operator.Status, error) {
	var status operator.Status
	return status, n.get(ctx, f, "/status", &status)
}

// Counters reads the variables that the daemon exports: its counters, and others whose
// values are not numbers.
func (n *NodeFlag) Counters(ctx context.Context, f *Factory) (map[string]any, error) {
	counters := make(map[string]any)
	return counters, n.get(ctx, f, "/debug/vars", &counters)
}

// Placement reads where the daemon would place an opening packet now. It returns a UsageError if
// the daemon does not accept the query, as for an unknown service.
func (n *NodeFlag) Placement(ctx context.Context, f *Factory, query operator.PlacementQuery) (operator.Placement, error) {
	parameters := url.Values{
		"service": {query.Service}, "caller": {query.Caller.String()}, "size": {strconv.Itoa(query.Size)},
	}
	var placement operator.Placement
	err := n.get(ctx, f, operator.PlacementPath+"?"+parameters.Encode(), &placement)
	return placement, err
}

// get decodes the daemon's JSON response to a request for path into result.
func (n *NodeFlag) get(ctx context.Context, f *Factory, path string, result any) error {
	if err := n.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.endpoint+path, nil)
	if err != nil {
		return Usagef("--node %q: %w", n.endpoint, err)
	}
	response, err := f.HTTPClient.Do(request)
	if err != nil {
		return UnreachableError{fmt.Errorf("ask daemon %s: %w; check --node and that the daemon runs", n.endpoint, err)}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return n.responseError(response)
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return UnreachableError{fmt.Errorf("decode response of daemon %s: %w; check that --node is a control endpoint", n.endpoint, err)}
	}
	return nil
}

// responseError returns the error that a response with a status other than 200 reports: a
// UsageError if the request was wrong, otherwise an UnreachableError.
func (n *NodeFlag) responseError(response *http.Response) error {
	var body operator.ErrorResponse
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error == "" {
		return UnreachableError{fmt.Errorf("daemon %s responded %q; check that --node is the control endpoint of a daemon of this version", n.endpoint, response.Status)}
	}
	if response.StatusCode < http.StatusInternalServerError {
		return Usagef("daemon %s: %s", n.endpoint, body.Error)
	}
	return UnreachableError{fmt.Errorf("daemon %s: %s", n.endpoint, body.Error)}
}
