// Package status holds the command radishmast status, which shows a daemon's status and
// counters.
package status

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// Options are the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory
	Node    cmdutil.NodeFlag
	JSON    bool
}

// NewCmdStatus returns the command radishmast status.
func NewCmdStatus(f *cmdutil.Factory) *ffcli.Command {
	opts := &Options{Factory: f}
	flags := cmdutil.NewFlagSet("radishmast status", f.Streams)
	opts.Node.Register(flags)
	flags.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "radishmast status --node ADDR [--json]",
		ShortHelp:  "Show a daemon's document revisions, routing view and counters.",
		LongHelp:   "Example:\n  radishmast status --node 10.0.0.1:7001",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return runStatus(ctx, opts) },
	}
}

// statusReport is what the command prints: the daemon's status, and its counters by name.
type statusReport struct {
	operator.Status
	Counters map[string]float64 `json:"counters"`
}

func runStatus(ctx context.Context, opts *Options) error {
	status, err := opts.Node.Status(ctx, opts.Factory)
	if err != nil {
		return err
	}
	vars, err := opts.Node.Counters(ctx, opts.Factory)
	if err != nil {
		return err
	}
	result := statusReport{Status: status, Counters: numericCounters(vars)}
	return opts.Factory.Streams.Print(newTable(&result), result, opts.JSON)
}

// numericCounters returns the exported variables that are numbers and leaves out the rest.
func numericCounters(vars map[string]any) map[string]float64 {
	counters := make(map[string]float64)
	for name, value := range vars {
		if number, ok := value.(float64); ok {
			counters[name] = number
		}
	}
	return counters
}

// newTable returns a table of the status, with a row for each service and each counter.
func newTable(result *statusReport) cmdutil.Table {
	t := cmdutil.Table{Header: []string{"FIELD", "VALUE"}}
	addRow := func(field, value string) { t.Rows = append(t.Rows, []string{field, value}) }
	addRow("name", result.Name)
	addRow("role", result.Role)
	addRow("data centre", result.DataCentre)
	addRow("serving", strconv.FormatBool(result.Valid))
	addRow("revisions", fmt.Sprintf("services %s, backends %s, instances %s", result.Revisions.Services, result.Revisions.Backends, result.Revisions.Instances))
	addRow("instances known", strconv.Itoa(result.Nodes))
	for _, service := range result.Services {
		addRow("service "+service.Name, summarizeTargets(service.Targets))
	}
	names := make([]string, 0, len(result.Counters))
	for name := range result.Counters {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		addRow(name, strconv.FormatFloat(result.Counters[name], 'f', -1, 64))
	}
	return t
}

// summarizeTargets returns the number of targets that take new flows, followed by each other
// target and why it takes none.
func summarizeTargets(targets []operator.Target) string {
	accepting := 0
	var exceptions []string
	for _, target := range targets {
		switch {
		case target.Residual:
			exceptions = append(exceptions, target.Name+" keeps old flows")
		case !target.Reachable:
			exceptions = append(exceptions, target.Name+" does not answer")
		case !target.Accepting:
			exceptions = append(exceptions, target.Name+" takes no new flows")
		default:
			accepting++
		}
	}
	summary := fmt.Sprintf("%d of %d targets take new flows", accepting, len(targets))
	if len(exceptions) > 0 {
		summary += "; " + strings.Join(exceptions, ", ")
	}
	return summary
}
