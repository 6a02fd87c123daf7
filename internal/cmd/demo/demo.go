// Package demo holds the command radishmast-lab demo, which runs a small cluster on this
// machine.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/lab/cluster"
	"github.com/radishmast/radishmast/internal/lab/fabric"
	"github.com/radishmast/radishmast/internal/lab/gateway"
)

// Options are the flags and dependencies of the command.
type Options struct {
	Streams *cmdutil.Streams
	// Binary is the path of radishmastd.
	Binary string
	// Seed determines which packets the fabric drops and reorders.
	Seed uint64
	// Drop and Reorder are probabilities, from 0 to 1.
	Drop    float64
	Reorder float64
	// OrdersAddress and PatternsAddress are the TCP addresses at which the gateways to the two
	// sample services listen.
	OrdersAddress   string
	PatternsAddress string
}

// NewCmdDemo returns the command radishmast-lab demo.
func NewCmdDemo(f *cmdutil.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams}
	flags := cmdutil.NewFlagSet("radishmast-lab demo", f.Streams)
	flags.StringVar(&opts.Binary, "daemon", AdjacentBinary("radishmastd"), "path of radishmastd")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of the random faults of the fabric")
	flags.Float64Var(&opts.Drop, "drop", 0.01, "share of packets that the fabric drops")
	flags.Float64Var(&opts.Reorder, "reorder", 0.01, "share of packets that the fabric reorders")
	flags.StringVar(&opts.OrdersAddress, "orders", "127.0.0.1:8081", "address of the gateway to the service orders")
	flags.StringVar(&opts.PatternsAddress, "patterns", "127.0.0.1:8082", "address of the gateway to the service patterns")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "radishmast-lab demo [flags]",
		ShortHelp:  "Run three balancers and two services in three data centres, with a gateway to each service.",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return runDemo(ctx, opts) },
	}
}

// AdjacentBinary returns the path of the program with this name in the directory of the
// running executable. If that directory is unknown, it returns the name alone.
func AdjacentBinary(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// runDemo starts the cluster and a gateway for each service, prints how to use them and keeps
// them running until ctx is done. Settings and logs are removed at the end.
func runDemo(ctx context.Context, opts *Options) error {
	directory, remove, err := cluster.NewDirectory()
	if err != nil {
		return err
	}
	defer remove()
	c, err := cluster.Start(cluster.Spec{
		Binary:      opts.Binary,
		Directory:   directory,
		Seed:        opts.Seed,
		DataCentres: cluster.SampleDataCentres(),
		Balancers:   3,
		Services:    cluster.SampleServices(),
		Backends:    append(cluster.SampleBackends("orders", 7, 2), cluster.SampleBackends("patterns", 3, 2)...),
		Faults:      fabric.Faults{Drop: opts.Drop, Reorder: opts.Reorder},
	})
	if err != nil {
		return err
	}
	defer c.Close()
	for service, address := range map[string]string{"orders": opts.OrdersAddress, "patterns": opts.PatternsAddress} {
		dial := func(ctx context.Context, member netip.Addr) (net.Conn, error) { return c.Dial(ctx, member, service) }
		g, err := gateway.Start(address, netip.MustParseAddr("10.1.0.1"), dial)
		if err != nil {
			return err
		}
		defer g.Close()
	}
	printHelp(opts, c, directory)
	<-ctx.Done()
	return nil
}

// printHelp prints commands to try, and where the settings and logs are.
func printHelp(opts *Options, c *cluster.Cluster, directory string) {
	_, _ = fmt.Fprintf(opts.Streams.Out, `The demo is running: 3 balancers, 10 backend servers with an agent each, 3 data centres.
Every packet goes to a randomly chosen balancer; %.0f%% are lost and %.0f%% reordered.

Try:
  curl http://%s/hello
  curl -o /dev/null http://%s/bytes/100000000
  curl -N 'http://%s/feed?key=mine'
  bin/radishmast status --node %s
  bin/radishmast services --platform %s

Settings and logs: %s
Stop with Ctrl-C.
`, 100*opts.Drop, 100*opts.Reorder, opts.OrdersAddress, opts.PatternsAddress, opts.OrdersAddress, c.ControlOf("entry-1"), c.Platform().URL(), directory)
}
