// Command radishmast-lab runs real radishmastd processes among simulated surroundings
// (platform, fabric, backend servers and callers), as a demonstration or to measure
// scenarios. It is a tool for tests and demonstrations and is not deployed.
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
	return cmdutil.NewGroup("radishmast-lab", "Run demonstrations and measurements on a simulated cluster.", f.Streams,
		demo.NewCmdDemo(f),
		run.NewCmdRun(f),
		run.NewCmdList(f),
		version.NewCmdVersion(f, "radishmast-lab"),
	)
}
