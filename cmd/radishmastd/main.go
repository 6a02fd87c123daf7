// Command radishmastd runs the daemons: the balancer of an entry instance and
// the agent beside a backend server.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/daemon"
	"github.com/radishmast/radishmast/internal/cmd/version"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	factory := &cmdutil.Factory{Streams: cmdutil.SystemStreams(), HTTPClient: http.DefaultClient}
	root := cmdutil.NewGroup("radishmastd", "The daemons of radishmast.", factory.Streams,
		daemon.NewCmdBalancer(factory),
		daemon.NewCmdAgent(factory),
		version.NewCmdVersion(factory, "radishmastd"),
	)
	return cmdutil.Main(ctx, factory.Streams, root, os.Args[1:])
}
