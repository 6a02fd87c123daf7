// Package run holds the commands radishmast-lab run and radishmast-lab list, which run and
// list scenarios.
package run

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/demo"
	"github.com/radishmast/radishmast/internal/lab/cluster"
	"github.com/radishmast/radishmast/internal/lab/scenario"
)

// Options are the flags, arguments and dependencies of the command run.
type Options struct {
	Streams *cmdutil.Streams
	// Scenario is the name of the scenario.
	Scenario        string
	ScenarioOptions scenario.Options
	// Key is the fleet key of the processes. Empty means none. A scenario that sets its own
	// key ignores it.
	Key  string
	JSON bool
	// Keep leaves the directory of settings and logs in place after the run.
	Keep bool
}

// NewCmdRun returns the command radishmast-lab run. Environment variables with the prefix
// RADISHMAST_LAB set its flags too.
func NewCmdRun(f *cmdutil.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams}
	flags := cmdutil.NewFlagSet("radishmast-lab run", f.Streams)
	opts.register(flags)
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "radishmast-lab run [flags] SCENARIO",
		ShortHelp:  "Run a scenario against real processes and print what was measured.",
		LongHelp:   "Example:\n  radishmast-lab run --seed 7 --json replace",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("RADISHMAST_LAB")},
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return cmdutil.Usagef("give the name of one scenario; radishmast-lab list prints the names")
			}
			opts.Scenario = args[0]
			return runScenario(opts)
		},
	}
}

// register adds the flags. A zero or empty value selects the scenario's default, except for
// --daemon, --seed and --key.
func (o *Options) register(flags *flag.FlagSet) {
	flags.StringVar(&o.ScenarioOptions.Binary, "daemon", demo.AdjacentBinary("radishmastd"), "path of radishmastd")
	flags.Uint64Var(&o.ScenarioOptions.Seed, "seed", 1, "seed of the random faults and request arrivals")
	flags.IntVar(&o.ScenarioOptions.Feeds, "feeds", 0, "number of long-lived flows (feeds)")
	flags.DurationVar(&o.ScenarioOptions.FeedPeriod, "period", 0, "time between two lines of a feed")
	flags.Float64Var(&o.ScenarioOptions.Rate, "rate", 0, "requests per second")
	flags.DurationVar(&o.ScenarioOptions.MeanServiceTime, "work", 0, "mean service time of a request on a backend server of speed 1")
	flags.DurationVar(&o.ScenarioOptions.Hold, "hold", 0, "how long the scenario waits after each fault or change, and how long it measures capacity")
	flags.IntVar(&o.ScenarioOptions.Balancers, "balancers", 0, "number of balancers")
	flags.IntVar(&o.ScenarioOptions.Slots, "slots", 0, "number of requests that each backend server runs at once")
	flags.IntVar(&o.ScenarioOptions.Processes, "size", 0, "number of processes or idle flows in the capacity scenarios")
	flags.StringVar(&o.ScenarioOptions.Placement, "placement", "", "placement policy of the agents")
	flags.StringVar(&o.Key, "key", "", "fleet key of the processes")
	flags.BoolVar(&o.JSON, "json", false, "print one JSON object on one line")
	flags.BoolVar(&o.Keep, "keep", false, "keep the settings and logs after the run, and print their directory")
}

// runScenario runs the scenario in a temporary directory and prints the result. The directory
// is removed afterwards unless --keep is set.
func runScenario(opts *Options) error {
	s, err := scenario.Find(opts.Scenario)
	if err != nil {
		return cmdutil.UsageError{Err: err}
	}
	directory, remove, err := cluster.NewDirectory()
	if err != nil {
		return err
	}
	if opts.Keep {
		_, _ = fmt.Fprintln(opts.Streams.Err, "settings and logs:", directory)
	} else {
		defer remove()
	}
	opts.ScenarioOptions.Directory = directory
	if opts.Key != "" {
		opts.ScenarioOptions.Keys = []string{opts.Key}
	}
	result, err := s.Run(opts.ScenarioOptions)
	if err != nil {
		return err
	}
	return printResult(opts, result)
}

// printResult writes the result as JSON: on one line with --json, indented otherwise.
func printResult(opts *Options, result *scenario.Result) error {
	encoder := json.NewEncoder(opts.Streams.Out)
	if !opts.JSON {
		encoder.SetIndent("", "  ")
	}
	if err := encoder.Encode(result); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}

// NewCmdList returns the command radishmast-lab list.
func NewCmdList(f *cmdutil.Factory) *ffcli.Command {
	flags := cmdutil.NewFlagSet("radishmast-lab list", f.Streams)
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "radishmast-lab list [--json]",
		ShortHelp:  "List the scenarios.",
		FlagSet:    flags,
		Exec:       func(context.Context, []string) error { return runList(f.Streams, *asJSON) },
	}
}

// runList prints the scenarios with a description each; as JSON, only their names.
func runList(streams *cmdutil.Streams, asJSON bool) error {
	table := cmdutil.Table{Header: []string{"SCENARIO", "WHAT HAPPENS"}}
	names := []string{}
	for _, s := range scenario.All() {
		table.Rows = append(table.Rows, []string{s.Name, s.Help})
		names = append(names, s.Name)
	}
	return streams.Print(table, names, asJSON)
}
