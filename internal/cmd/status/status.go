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

// report is the command's output as JSON.
type report struct {
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
	result := report{Status: status, Counters: numbers(vars)}
	return opts.Factory.Streams.Print(table(&result), result, opts.JSON)
}

func numbers(vars map[string]any) map[string]float64 {
	counters := make(map[string]float64)
	for name, value := range vars {
		if number, ok := value.(float64); ok {
			counters[name] = number
		}
	}
	return counters
}

func table(r *report) cmdutil.Table {
	t := cmdutil.Table{Header: []string{"FIELD", "VALUE"}}
	add := func(field, value string) { t.Rows = append(t.Rows, []string{field, value}) }
	add("name", r.Name)
	add("role", r.Role)
	add("data centre", r.DataCentre)
	add("serving", strconv.FormatBool(r.Valid))
	add("revisions", fmt.Sprintf("services %d, backends %d, instances %d", r.Revisions.Services, r.Revisions.Backends, r.Revisions.Instances))
	add("instances known", strconv.Itoa(r.Nodes))
	for _, service := range r.Services {
		add("service "+service.Name, targetSummary(service.Targets))
	}
	names := make([]string, 0, len(r.Counters))
	for name := range r.Counters {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		add(name, strconv.FormatFloat(r.Counters[name], 'f', -1, 64))
	}
	return t
}

func targetSummary(targets []operator.Target) string {
	accepting := 0
	var others []string
	for _, target := range targets {
		switch {
		case target.Residual:
			others = append(others, target.Name+" keeps old flows")
		case !target.Reachable:
			others = append(others, target.Name+" does not answer")
		case !target.Accepting:
			others = append(others, target.Name+" takes no new flows")
		default:
			accepting++
		}
	}
	summary := fmt.Sprintf("%d of %d targets take new flows", accepting, len(targets))
	if len(others) > 0 {
		summary += "; " + strings.Join(others, ", ")
	}
	return summary
}
