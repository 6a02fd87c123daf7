// Package backends holds the command radishmast backends, which lists the published
// backend servers.
package backends

import (
	"context"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Options are the flags and dependencies of the command.
type Options struct {
	Factory  *cmdutil.Factory
	Platform cmdutil.PlatformFlag
	// DataCentre limits the list to one data centre. Empty means all.
	DataCentre string
	JSON       bool
}

// NewCmdBackends returns the command radishmast backends.
func NewCmdBackends(f *cmdutil.Factory) *ffcli.Command {
	opts := &Options{Factory: f}
	flags := cmdutil.NewFlagSet("radishmast backends", f.Streams)
	opts.Platform.Register(flags)
	flags.StringVar(&opts.DataCentre, "data-centre", "", "list only backend servers of this data centre")
	flags.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "backends",
		ShortUsage: "radishmast backends --platform URL [--data-centre NAME] [--json]",
		ShortHelp:  "List backend servers with their labels and the services that select them.",
		LongHelp:   "Example:\n  radishmast backends --platform http://10.0.0.1:8500 --data-centre north",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return runBackends(ctx, opts) },
	}
}

// row is a backend server in the command's output.
type row struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// State is the state of the instance of the same name, or "not listed" if the platform
	// lists none.
	State  string            `json:"state"`
	Labels map[string]string `json:"labels"`
	// Services are the names of the services whose selector for this data centre matches
	// the labels.
	Services []string `json:"services"`
}

func runBackends(ctx context.Context, opts *Options) error {
	documents, err := opts.Platform.ReadDocuments(ctx, opts.Factory)
	if err != nil {
		return err
	}
	rows := []row{}
	for _, backend := range documents.Backends.Backends {
		if opts.DataCentre == "" || opts.DataCentre == backend.DataCentre {
			rows = append(rows, newRow(documents, backend))
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Name, b.Name) })
	table := cmdutil.Table{Header: []string{"NAME", "DATA CENTRE", "STATE", "LABELS", "SERVICES"}}
	for _, r := range rows {
		table.Rows = append(table.Rows, []string{r.Name, r.DataCentre, r.State, FormatLabels(r.Labels), strings.Join(r.Services, " ")})
	}
	return opts.Factory.Streams.Print(table, rows, opts.JSON)
}

// newRow returns the row of a backend server with the state of its instance and the services
// whose selector for its data centre matches its labels. It ignores the state.
func newRow(documents *cmdutil.Documents, backend fleet.Backend) row {
	r := row{
		Name:       backend.Name,
		DataCentre: backend.DataCentre,
		State:      "not listed",
		Labels:     backend.Labels,
		Services:   []string{},
	}
	for _, instance := range documents.Instances.Instances {
		if instance.Name == backend.Name {
			r.State = string(instance.State)
		}
	}
	for _, service := range documents.Services.Services {
		selector, hasSelector := service.SelectorFor(backend.DataCentre)
		if hasSelector && selector.Matches(backend.Labels) {
			r.Services = append(r.Services, service.Name)
		}
	}
	return r
}

// FormatLabels returns labels as key=value pairs, sorted and separated by spaces.
func FormatLabels(labels map[string]string) string {
	pairs := make([]string, 0, len(labels))
	for key, value := range labels {
		pairs = append(pairs, key+"="+value)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}
