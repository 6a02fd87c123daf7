// Package carrier holds the commands of radishmast-carrier, whose daemons forward packets to
// backend servers that terminate flows themselves. The main package passes functions that
// return what is specific to an installation, such as the packet format.
package carrier

import (
	"context"

	"github.com/apex/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/serve"
	"github.com/radishmast/radishmast/internal/daemon/balancer"
	"github.com/radishmast/radishmast/internal/daemon/carrier"
	"github.com/radishmast/radishmast/internal/daemon/settings"
)

// Program is the name of the program.
const Program = "radishmast-carrier"

// NewCmdBalancer returns the command radishmast-carrier balancer, which runs a balancer.
// newOptions returns the balancer's options for its settings. A change of the settings takes
// effect at the next start.
func NewCmdBalancer(f *cmdutil.Factory, newOptions func(*settings.Balancer) balancer.Options) *ffcli.Command {
	return serve.NewCmd(f, serve.Command[*settings.Balancer]{
		Program:       Program,
		Name:          "balancer",
		Help:          "Run an entry instance that forwards callers' packets to agents.",
		ParseSettings: settings.ReadBalancer,
		Run: func(ctx context.Context, s *settings.Balancer, watcher *settings.Watcher[*settings.Balancer], logger log.Interface) error {
			go watcher.Run(ctx, settings.ApplyAtRestart)
			return balancer.Run(ctx, s, newOptions(s), logger)
		},
	})
}

// NewCmdAgent returns the command radishmast-carrier agent, which runs the agent beside a
// backend server. newOptions returns the agent's options for its settings. The agent applies
// changed labels while it runs; other changes take effect at the next start.
func NewCmdAgent(f *cmdutil.Factory, newOptions func(*settings.Carrier) carrier.Options) *ffcli.Command {
	return serve.NewCmd(f, serve.Command[*settings.Carrier]{
		Program:       Program,
		Name:          "agent",
		Help:          "Run the agent that forwards packets between callers and a backend server.",
		ParseSettings: settings.ReadCarrier,
		Run: func(ctx context.Context, s *settings.Carrier, watcher *settings.Watcher[*settings.Carrier], logger log.Interface) error {
			return carrier.Run(ctx, s, watcher, newOptions(s), logger)
		},
	})
}
