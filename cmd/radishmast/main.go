// Command radishmast is the operators' read-only client: it shows what the platform publishes
// and what the daemons report.
package main

import (
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/backends"
	"github.com/radishmast/radishmast/internal/cmd/check"
	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/explain"
	"github.com/radishmast/radishmast/internal/cmd/services"
	"github.com/radishmast/radishmast/internal/cmd/status"
	"github.com/radishmast/radishmast/internal/cmd/version"
	"github.com/radishmast/radishmast/internal/cmd/watch"
)

func main() {
	os.Exit(cmdutil.Execute(newRoot))
}

func newRoot(f *cmdutil.Factory) *ffcli.Command {
	return cmdutil.NewGroup("radishmast", "Read-only client for operators.", f.Streams,
		status.NewCmdStatus(f),
		services.NewCmdServices(f),
		backends.NewCmdBackends(f),
		explain.NewCmdExplain(f),
		check.NewCmdCheck(f),
		watch.NewCmdWatch(f),
		version.NewCmdVersion(f, "radishmast"),
	)
}
