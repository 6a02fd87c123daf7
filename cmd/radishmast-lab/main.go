// Command radishmast-lab runs stand-ins and measurements around real radishmastd
// processes. It is a tool for tests and demonstration and is not deployed.
package main

import (
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/demo"
	"github.com/radishmast/radishmast/internal/cmd/run"
	"github.com/radishmast/radishmast/internal/cmd/version"
)

func main() {
	os.Exit(cmdutil.Execute(newRoot))
}

func newRoot(f *cmdutil.Factory) *ffcli.Command {
	return cmdutil.NewGroup("radishmast-lab", "Stand-ins and measurements.", f.Streams,
		demo.NewCmdDemo(f),
		run.NewCmdRun(f),
		run.NewCmdList(f),
		version.NewCmdVersion(f, "radishmast-lab"),
	)
}
