// Command radishmast-carrier runs a daemon, balancer or agent, of an installation whose
// backend servers terminate the flows themselves. The daemons only forward packets.
package main

import (
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/carrier"
	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/version"
	"github.com/radishmast/radishmast/platform"
)

func main() {
	os.Exit(cmdutil.Execute(newRoot))
}

func newRoot(f *cmdutil.Factory) *ffcli.Command {
	return cmdutil.NewGroup(carrier.Program, "Run a daemon of an installation whose backend servers terminate flows themselves.", f.Streams,
		carrier.NewCmdBalancer(f, platform.BalancerOptions),
		carrier.NewCmdAgent(f, platform.CarrierOptions),
		version.NewCmdVersion(f, carrier.Program),
	)
}
