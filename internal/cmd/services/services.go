// Package services holds the command radishmast services, which lists the published
// services.
package services

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Options are the flags and dependencies of the command.
type Options struct {
	Factory  *cmdutil.Factory
	Platform cmdutil.PlatformFlag
	JSON     bool
}

// NewCmdServices returns the command radishmast services.
func NewCmdServices(f *cmdutil.Factory) *ffcli.Command {
	opts := &Options{Factory: f}
	flags := cmdutil.NewFlagSet("radishmast services", f.Streams)
	opts.Platform.Register(flags)
	flags.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "services",
		ShortUsage: "radishmast services --platform URL [--json]",
		ShortHelp:  "List services with the number of backend servers selected in each data centre.",
		LongHelp:   "Example:\n  radishmast services --platform http://10.0.0.1:8500",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return runServices(ctx, opts) },
	}
}

// row is a service in the command's output.
type row struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Protocol string `json:"protocol"`
	// Selected is the number of selected backend servers with a listed agent, leaving ones
	// included, by data centre. It has an entry for every data centre with a selector of its
	// own, 0 if none is selected there. Backend servers that the selector for
	// fleet.AnyDataCentre selects count under their own data centre.
	Selected map[string]int `json:"selected"`
}

func runServices(ctx context.Context, opts *Options) error {
	documents, err := opts.Platform.ReadDocuments(ctx, opts.Factory)
	if err != nil {
		return err
	}
	view, err := documents.View(time.Now())
	if err != nil {
		return err
	}
	rows := make([]row, 0, len(documents.Services.Services))
	for _, service := range documents.Services.Services {
		rows = append(rows, newRow(view, &service))
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Name, b.Name) })
	table := cmdutil.Table{Header: []string{"NAME", "ADDRESS", "PROTOCOL", "SELECTED"}}
	for _, r := range rows {
		table.Rows = append(table.Rows, []string{r.Name, r.Address, r.Protocol, formatSelected(r.Selected)})
	}
	return opts.Factory.Streams.Print(table, rows, opts.JSON)
}

// newRow returns the row of a service, with the number of its targets in view by data
// centre.
func newRow(view *fleet.View, service *fleet.Service) row {
	r := row{Name: service.Name, Address: service.Address, Protocol: service.Protocol, Selected: make(map[string]int)}
	for dataCentre := range service.Selectors {
		if dataCentre != fleet.AnyDataCentre {
			r.Selected[dataCentre] = 0
		}
	}
	for target := range view.Service(fleet.ServiceIDOf(service.Name)).Selected() {
		r.Selected[target.DataCentre()]++
	}
	return r
}

// formatSelected returns the counts as data-centre=count pairs, in order of data centre.
func formatSelected(selected map[string]int) string {
	counts := make([]string, 0, len(selected))
	for dataCentre, count := range selected {
		counts = append(counts, fmt.Sprintf("%s=%d", dataCentre, count))
	}
	slices.Sort(counts)
	return strings.Join(counts, " ")
}
