// Command radishmast is the operators' read-only client.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

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
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	factory := &cmdutil.Factory{Streams: cmdutil.SystemStreams(), HTTPClient: http.DefaultClient}
	root := cmdutil.NewGroup("radishmast", "The operators' client, read-only.", factory.Streams,
		status.NewCmdStatus(factory),
		services.NewCmdServices(factory),
		backends.NewCmdBackends(factory),
		explain.NewCmdExplain(factory),
		check.NewCmdCheck(factory),
		watch.NewCmdWatch(factory),
		version.NewCmdVersion(factory, "radishmast"),
	)
	return cmdutil.Main(ctx, factory.Streams, root, os.Args[1:])
}
