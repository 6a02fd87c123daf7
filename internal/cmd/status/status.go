// Package status holds the command that shows what a daemon has in force.
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

// Options are the flags of the command.
type Options struct {
	Factory *cmdutil.Factory
	Node    cmdutil.NodeFlag
	JSON    bool
}

// NewCmdStatus returns the command.
func NewCmdStatus(f *cmdutil.Factory) *ffcli.Command {
	opts := &Options{Factory: f}
	flags := cmdutil.NewFlagSet("radishmast status", f.Streams)
	opts.Node.Register(flags)
	flags.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "radishmast status --node ADDR [--json]",
		ShortHelp:  "Show what a daemon has in force and what it refused.",
		LongHelp:   "Example:\n  radishmast status --node 10.0.0.1:7001",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return runStatus(ctx, opts) },
	}
}

// output is the command's output as JSON.
type output struct {
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
	result := output{Status: status, Counters: numericCounters(vars)}
	return opts.Factory.Streams.Print(newTable(&result), result, opts.JSON)
}

func numericCounters(vars map[string]any) map[string]float64 {
	counters := make(map[string]float64)
	for name, value := range vars {
		if number, ok := value.(float64); ok {
			counters[name] = number
		}
	}
	return counters
}

func newTable(result *output) cmdutil.Table {
	t := cmdutil.Table{Header: []string{"FIELD", "VALUE"}}
	addRow := func(field, value string) { t.Rows = append(t.Rows, []string{field, value}) }
	addRow("name", result.Name)
	addRow("role", result.Role)
	addRow("data centre", result.DataCentre)
	addRow("serving", strconv.FormatBool(result.Valid))
	addRow("revisions", fmt.Sprintf("services %d, backends %d, instances %d", result.Revisions.Services, result.Revisions.Backends, result.Revisions.Instances))
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
