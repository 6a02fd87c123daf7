// Package daemon holds the commands of radishmastd.
package daemon

import (
	"context"

	"github.com/apex/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/cmd/serve"
	"github.com/radishmast/radishmast/internal/daemon/agent"
	"github.com/radishmast/radishmast/internal/daemon/balancer"
	"github.com/radishmast/radishmast/internal/daemon/node"
	"github.com/radishmast/radishmast/internal/daemon/settings"
	"github.com/radishmast/radishmast/internal/wire/ipv4"
)

const program = "radishmastd"

// NewCmdBalancer returns the command radishmastd balancer, which runs a balancer. A change of
// its settings takes effect at the next start.
func NewCmdBalancer(f *cmdutil.Factory) *ffcli.Command {
	return serve.NewCmd(f, serve.Command[*settings.Balancer]{
		Program:       program,
		Name:          "balancer",
		Help:          "Run an entry instance that forwards callers' packets to agents.",
		ParseSettings: settings.ReadBalancer,
		Run: func(ctx context.Context, s *settings.Balancer, watcher *settings.Watcher[*settings.Balancer], logger log.Interface) error {
			go watcher.Run(ctx, settings.ApplyAtRestart)
			return balancer.Run(ctx, s, balancer.Options{Node: node.DocumentOptions(), Format: ipv4.Format{}}, logger)
		},
	})
}

// NewCmdAgent returns the command radishmastd agent, which runs the agent beside a backend
// server. A change of its settings takes effect at the next start.
func NewCmdAgent(f *cmdutil.Factory) *ffcli.Command {
	return serve.NewCmd(f, serve.Command[*settings.Agent]{
		Program:       program,
		Name:          "agent",
		Help:          "Run the agent beside a backend server; the agent owns the flows of that server.",
		ParseSettings: settings.ReadAgent,
		Run: func(ctx context.Context, s *settings.Agent, watcher *settings.Watcher[*settings.Agent], logger log.Interface) error {
			go watcher.Run(ctx, settings.ApplyAtRestart)
			return agent.Run(ctx, s, logger)
		},
	})
}
