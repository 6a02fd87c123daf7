// Command radishmast-lab runs stand-ins and measurements around real radishmastd
// processes. It is a tool for tests and demonstration and is not deployed.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/demo"
	"github.com/radishmast/radishmast/internal/cmd/run"
	"github.com/radishmast/radishmast/internal/cmd/version"
)

func main() {
	os.Exit(execute())
}

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	factory := &cmdutil.Factory{Streams: cmdutil.SystemStreams(), HTTPClient: http.DefaultClient}
	root := cmdutil.NewGroup("radishmast-lab", "Stand-ins and measurements.", factory.Streams,
		demo.NewCmdDemo(factory),
		run.NewCmdRun(factory),
		run.NewCmdList(factory),
		version.NewCmdVersion(factory, "radishmast-lab"),
	)
	return cmdutil.Main(ctx, factory.Streams, root, os.Args[1:])
}
