// Package explain holds the command radishmast explain, which shows whether and why a backend
// server is eligible for new flows of a service, which candidates a flow has, or where a daemon
// would place a new flow now.
package explain

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/core/flow"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Factory  *cmdutil.Factory
	Platform cmdutil.PlatformFlag
	// Node is the daemon that explains where it would place the caller's opening packet. It is
	// used if NamesNode is true.
	Node cmdutil.NodeFlag
	// NamesNode reports whether --node is given, or $RADISHMAST_NODE is set and no platform is
	// named.
	NamesNode bool
	// Size is the payload size of the caller's opening packet in bytes.
	Size int
	// Caller is the address and port of the caller whose flow is explained. If it is empty,
	// the backend servers are explained instead.
	Caller string
	// DataCentre is the data centre that the caller's packets enter, or empty where they enter
	// anywhere.
	DataCentre string
	Service    string
	JSON       bool
}

// NewCmdExplain returns the command radishmast explain.
func NewCmdExplain(f *cmdutil.Factory) *ffcli.Command {
	opts := &Options{Factory: f}
	flags := cmdutil.NewFlagSet("radishmast explain", f.Streams)
	opts.Platform.Register(flags)
	opts.Node.Register(flags)
	flags.IntVar(&opts.Size, "size", 0, "with --node: payload size of the opening packet, in bytes")
	flags.StringVar(&opts.Caller, "caller", "", "caller's IPv4 address and port; shows the candidates of its flow or, with --node, its placement")
	flags.StringVar(&opts.DataCentre, "data-centre", "", "data centre that the caller's packets enter, if its flows stay near")
	flags.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name: "explain",
		ShortUsage: "radishmast explain --platform URL [--caller ADDR [--data-centre NAME]] [--json] SERVICE\n" +
			"  radishmast explain --node ADDR --caller ADDR [--size BYTES] [--json] SERVICE",
		ShortHelp: "Show which backend servers a service selects and why, or where a flow goes.",
		LongHelp: "Examples:\n  radishmast explain --platform http://10.0.0.1:8500 orders\n" +
			"  radishmast explain --platform http://10.0.0.1:8500 --caller 10.1.0.1:40000 orders\n" +
			"Where flows stay in the data centre that they enter, name it:\n" +
			"  radishmast explain --platform http://10.0.0.1:8500 --caller 10.1.0.1:40000 --data-centre north orders\n" +
			"A daemon's control endpoint can be given instead of the platform:\n  radishmast explain --platform http://10.0.0.7:7001 orders\n" +
			"Where an agent or a balancer would place an opening packet now, without sending one:\n" +
			"  radishmast explain --node 10.0.0.7:7001 --caller 10.1.0.1:40000 orders",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return cmdutil.Usagef("give the name of one service; radishmast services lists them")
			}
			opts.Service = args[0]
			given := make(map[string]bool)
			flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
			if given["node"] && given["platform"] {
				return cmdutil.Usagef("--node and --platform cannot be combined")
			}
			opts.NamesNode = given["node"] || !opts.Platform.IsSet() && opts.Node.IsSet()
			return runExplain(ctx, opts)
		},
	}
}

func runExplain(ctx context.Context, opts *Options) error {
	var caller netip.AddrPort
	if opts.Caller != "" {
		parsed, err := operator.ParseCaller(opts.Caller)
		if err != nil {
			return cmdutil.Usagef("--caller %w", err)
		}
		caller = parsed
	}
	if opts.NamesNode {
		return runPlacement(ctx, opts, caller)
	}
	if opts.Size != 0 {
		return cmdutil.Usagef("--size needs --node")
	}
	if opts.DataCentre != "" && opts.Caller == "" {
		return cmdutil.Usagef("--data-centre names where a caller's packets enter; give --caller as well")
	}
	documents, err := opts.Platform.ReadDocuments(ctx, opts.Factory)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(documents.Services.Services, func(s fleet.Service) bool { return s.Name == opts.Service })
	if i < 0 {
		return cmdutil.Usagef("no service %q is published; radishmast services lists them", opts.Service)
	}
	if caller.IsValid() {
		return explainFlow(opts, documents, caller)
	}
	return explainSelectors(opts, documents, &documents.Services.Services[i])
}

// explanation states whether a backend server is eligible for new flows of a service, and
// why.
type explanation struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Serves     bool   `json:"serves"`
	Reason     string `json:"reason"`
}

// explainSelectors prints an explanation for every published backend server.
func explainSelectors(opts *Options, documents *cmdutil.Documents, service *fleet.Service) error {
	states := make(map[string]fleet.InstanceState)
	for _, instance := range documents.Instances.Instances {
		if instance.Role == fleet.RoleAgent {
			states[instance.Name] = instance.State
		}
	}
	explanations := []explanation{}
	for _, backend := range documents.Backends.Backends {
		explanations = append(explanations, explainBackend(service, &backend, states))
	}
	slices.SortFunc(explanations, func(a, b explanation) int { return strings.Compare(a.Name, b.Name) })
	table := cmdutil.Table{Header: []string{"BACKEND SERVER", "DATA CENTRE", "SERVES", "REASON"}}
	for _, e := range explanations {
		table.Rows = append(table.Rows, []string{e.Name, e.DataCentre, strconv.FormatBool(e.Serves), e.Reason})
	}
	return opts.Factory.Streams.Print(table, explanations, opts.JSON)
}

// explainBackend compares the backend server with the service's selector for its data centre
// and with the state of its agent. states holds the listed agents by name.
func explainBackend(service *fleet.Service, backend *fleet.Backend, states map[string]fleet.InstanceState) explanation {
	e := explanation{Name: backend.Name, DataCentre: backend.DataCentre}
	selector, hasSelector := service.SelectorFor(backend.DataCentre)
	state, isListed := states[backend.Name]
	mismatch := selector.Mismatch(backend.Labels)
	switch {
	case !hasSelector:
		e.Reason = "data centre is out: the service has no selector for it"
	case mismatch != "":
		e.Reason = "label " + mismatch
	case !isListed:
		e.Reason = "the platform lists no agent of this name"
	case state == fleet.StateLeaving:
		e.Reason = "the instance is leaving: it keeps its flows and takes no new ones"
	default:
		e.Serves = true
		e.Reason = "all labels match"
	}
	return e
}

// candidate is a backend server whose agent may own the flow. Candidates are printed in the
// order in which balancers and agents search them for the owner.
type candidate struct {
	// Order is the position in the search, from 1.
	Order      int    `json:"order"`
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Accepting  bool   `json:"accepting"`
	// Roles says, in words separated by commas, whether the candidate is the flow's primary,
	// a placement candidate or a registrar. It is empty for other candidates.
	Roles string `json:"part,omitempty"`
}

// flowRoles returns the roles of a target for a flow, separated by commas: primary, placement
// candidate and registrar, in the words of the command's output.
func flowRoles(candidates fleet.Candidates, hash uint64, target *fleet.Target) string {
	var roles []string
	if primary := candidates.Primary(hash); primary != nil && primary.ID() == target.ID() {
		roles = append(roles, "decides about it")
	}
	for _, placement := range candidates.PlacementCandidates(hash) {
		if placement.ID() == target.ID() {
			roles = append(roles, "may be given it")
		}
	}
	for _, registrar := range candidates.Registrars(hash) {
		if registrar != nil && registrar.ID() == target.ID() {
			roles = append(roles, "is told who owns it")
		}
	}
	return strings.Join(roles, ", ")
}

// explainFlow prints the candidates of the caller's flow in the order in which they are
// searched, computed from the documents alone. A daemon also considers state received from its
// peers, such as weights and suspicions, so it may search in another order.
func explainFlow(opts *Options, documents *cmdutil.Documents, caller netip.AddrPort) error {
	view, err := documents.View(time.Now())
	if err != nil {
		return err
	}
	routed := view.Service(fleet.ServiceIDOf(opts.Service))
	hash := flow.NewID(routed.Address(), caller).Hash()
	near := routed.Near(opts.DataCentre)
	var visited []fleet.InstanceID
	candidates := []candidate{}
	for step := near.NextCandidate(hash, visited); step.Next != nil; step = near.NextCandidate(hash, visited) {
		visited = append(visited, step.Next.ID())
		candidates = append(candidates, candidate{
			Order: len(visited), Name: step.Next.Name(), DataCentre: step.Next.DataCentre(),
			Accepting: step.Next.IsAccepting(), Roles: flowRoles(near, hash, step.Next),
		})
	}
	table := cmdutil.Table{Header: []string{"ORDER", "BACKEND SERVER", "DATA CENTRE", "TAKES NEW FLOWS", "PART"}}
	for _, c := range candidates {
		table.Rows = append(table.Rows, []string{fmt.Sprint(c.Order), c.Name, c.DataCentre, strconv.FormatBool(c.Accepting), c.Roles})
	}
	return opts.Factory.Streams.Print(table, candidates, opts.JSON)
}
