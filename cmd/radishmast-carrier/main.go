// Command radishmast-carrier runs the daemons where backend servers end their
// flows themselves and the system only carries packets.
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
	return cmdutil.NewGroup(carrier.Program, "The daemons of radishmast that carry packets.", f.Streams,
		carrier.NewCmdBalancer(f, platform.BalancerParts),
		carrier.NewCmdAgent(f, platform.CarrierParts),
		version.NewCmdVersion(f, carrier.Program),
	)
}
