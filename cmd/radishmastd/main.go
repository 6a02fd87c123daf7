// Command radishmastd runs a daemon: a balancer, which receives callers' packets and
// forwards them to agents, or the agent beside a backend server.
package main

import (
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/daemon"
	"github.com/radishmast/radishmast/internal/cmd/version"
)

func main() {
	os.Exit(cmdutil.Execute(newRoot))
}

func newRoot(f *cmdutil.Factory) *ffcli.Command {
	return cmdutil.NewGroup("radishmastd", "Run a daemon of radishmast.", f.Streams,
		daemon.NewCmdBalancer(f),
		daemon.NewCmdAgent(f),
		version.NewCmdVersion(f, "radishmastd"),
	)
}
