// Package run holds the commands that list and run scenarios.
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

// Options are the flags of the run command.
type Options struct {
	Streams         *cmdutil.Streams
	Scenario        string
	ScenarioOptions scenario.Options
	Key             string
	JSON            bool
	Keep            bool
}

// NewCmdRun returns the command that runs a scenario.
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
				return cmdutil.Usagef("name one scenario; radishmast-lab list names them")
			}
			opts.Scenario = args[0]
			return runScenario(opts)
		},
	}
}

func (o *Options) register(flags *flag.FlagSet) {
	flags.StringVar(&o.ScenarioOptions.Binary, "daemon", demo.AdjacentBinary("radishmastd"), "path of radishmastd")
	flags.Uint64Var(&o.ScenarioOptions.Seed, "seed", 1, "seed of faults and arrivals")
	flags.IntVar(&o.ScenarioOptions.Feeds, "feeds", 0, "number of long flows")
	flags.DurationVar(&o.ScenarioOptions.FeedPeriod, "period", 0, "time between two lines of a feed")
	flags.Float64Var(&o.ScenarioOptions.Rate, "rate", 0, "requests per second")
	flags.DurationVar(&o.ScenarioOptions.Work, "work", 0, "mean work of a request at speed 1")
	flags.DurationVar(&o.ScenarioOptions.Hold, "hold", 0, "how long each fault or change is left to act")
	flags.IntVar(&o.ScenarioOptions.Balancers, "balancers", 0, "number of balancers")
	flags.IntVar(&o.ScenarioOptions.Slots, "slots", 0, "slots of each backend server")
	flags.IntVar(&o.ScenarioOptions.Processes, "size", 0, "processes, or idle flows, of the capacity scenarios")
	flags.StringVar(&o.ScenarioOptions.Placement, "placement", "", "placement policy of the agents")
	flags.StringVar(&o.Key, "key", "", "fleet key of the processes")
	flags.BoolVar(&o.JSON, "json", false, "print one JSON object on one line")
	flags.BoolVar(&o.Keep, "keep", false, "keep settings and logs")
}

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

// NewCmdList returns the command that names the scenarios.
func NewCmdList(f *cmdutil.Factory) *ffcli.Command {
	flags := cmdutil.NewFlagSet("radishmast-lab list", f.Streams)
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "radishmast-lab list [--json]",
		ShortHelp:  "Name the scenarios.",
		FlagSet:    flags,
		Exec:       func(context.Context, []string) error { return runList(f.Streams, *asJSON) },
	}
}

func runList(streams *cmdutil.Streams, asJSON bool) error {
	table := cmdutil.Table{Header: []string{"SCENARIO", "WHAT HAPPENS"}}
	names := []string{}
	for _, s := range scenario.All() {
		table.Rows = append(table.Rows, []string{s.Name, s.Help})
		names = append(names, s.Name)
	}
	return streams.Print(table, names, asJSON)
}
