// Package daemon holds the commands of radishmastd.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/daemon/agent"
	"github.com/radishmast/radishmast/internal/daemon/balancer"
	"github.com/radishmast/radishmast/internal/daemon/carrier"
	"github.com/radishmast/radishmast/internal/daemon/settings"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// Options are the flags of a daemon command.
type Options struct {
	Streams *cmdutil.Streams
	Config  string
	Check   bool
	Verbose bool
}

// role is what differs between the daemon commands: how the settings are read,
// and what is run with them.
type role[S any] struct {
	program string
	name    string
	help    string
	read    func([]byte) (S, error)
	run     func(context.Context, S, *settings.Watcher[S], log.Interface) error
}

// NewCmdBalancer returns the command that runs an entry instance.
func NewCmdBalancer(f *cmdutil.Factory) *ffcli.Command {
	return newCmd(f, role[*settings.Balancer]{
		program: "radishmastd",
		name:    "balancer",
		help:    "Run an entry instance that forwards callers' packets to agents.",
		read:    settings.ReadBalancer,
		run: func(ctx context.Context, s *settings.Balancer, watcher *settings.Watcher[*settings.Balancer], logger log.Interface) error {
			go watcher.Run(ctx, ignoreChange)
			return balancer.Run(ctx, s, logger)
		},
	})
}

// NewCmdAgent returns the command that runs the process beside a backend server.
func NewCmdAgent(f *cmdutil.Factory) *ffcli.Command {
	return newCmd(f, role[*settings.Agent]{
		program: "radishmastd",
		name:    "agent",
		help:    "Run the process beside a backend server that owns its flows.",
		read:    settings.ReadAgent,
		run: func(ctx context.Context, s *settings.Agent, watcher *settings.Watcher[*settings.Agent], logger log.Interface) error {
			go watcher.Run(ctx, ignoreChange)
			return agent.Run(ctx, s, logger)
		},
	})
}

// NewCmdBalancerWith returns the command that runs an entry instance of another
// kind of installation.
func NewCmdBalancerWith(f *cmdutil.Factory, program string, parts func(*settings.Balancer) balancer.Parts) *ffcli.Command {
	return newCmd(f, role[*settings.Balancer]{
		program: program,
		name:    "balancer",
		help:    "Run an entry instance that forwards callers' packets to agents.",
		read:    settings.ReadBalancer,
		run: func(ctx context.Context, s *settings.Balancer, watcher *settings.Watcher[*settings.Balancer], logger log.Interface) error {
			go watcher.Run(ctx, ignoreChange)
			return balancer.RunWith(ctx, s, parts(s), logger)
		},
	})
}

// NewCmdCarrier returns the command that runs the process beside a backend server
// that ends its flows itself.
func NewCmdCarrier(f *cmdutil.Factory, program string, parts func(*settings.Carrier) carrier.Parts) *ffcli.Command {
	return newCmd(f, role[*settings.Carrier]{
		program: program,
		name:    "agent",
		help:    "Run the process that carries packets to and from a backend server.",
		read:    settings.ReadCarrier,
		run: func(ctx context.Context, s *settings.Carrier, watcher *settings.Watcher[*settings.Carrier], logger log.Interface) error {
			return carrier.Run(ctx, s, watcher, parts(s), logger)
		},
	})
}

func newCmd[S any](f *cmdutil.Factory, r role[S]) *ffcli.Command {
	opts := &Options{Streams: f.Streams}
	flags := cmdutil.NewFlagSet(r.program+" "+r.name, f.Streams)
	opts.register(flags)
	return &ffcli.Command{
		Name:       r.name,
		ShortUsage: fmt.Sprintf("%s %s --config FILE [--check]", r.program, r.name),
		ShortHelp:  r.help,
		LongHelp:   fmt.Sprintf("Example:\n  %s %s --config /etc/radishmast/%s.json --check", r.program, r.name, r.name),
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return cmdutil.Usagef("unexpected argument %q", args[0])
			}
			return runDaemon(ctx, opts, r)
		},
	}
}

func (o *Options) register(flags *flag.FlagSet) {
	flags.StringVar(&o.Config, "config", "", "file with the settings, in JSON")
	flags.BoolVar(&o.Check, "check", false, "only check the settings")
	flags.BoolVar(&o.Verbose, "verbose", false, "log events of single links as well")
}

func runDaemon[S any](ctx context.Context, opts *Options, r role[S]) error {
	if opts.Config == "" {
		return cmdutil.Usagef("--config is missing; name the file with the settings")
	}
	data, err := os.ReadFile(opts.Config)
	if err != nil {
		return cmdutil.UsageError{Err: fmt.Errorf("read settings: %w", err)}
	}
	s, err := r.read(data)
	if err != nil {
		return cmdutil.UsageError{Err: err}
	}
	if opts.Check {
		_, _ = fmt.Fprintf(opts.Streams.Out, "%s: settings are valid\n", opts.Config)
		return nil
	}
	writer := operator.NewWriter(opts.Streams.Err)
	defer func() { _ = writer.Close() }()
	logger := newLogger(opts, writer)
	return r.run(ctx, s, settings.NewWatcher(opts.Config, data, r.read, logger), logger)
}

// ignoreChange leaves changed settings to the next start.
func ignoreChange[S any](S) {}

func newLogger(opts *Options, out io.Writer) log.Interface {
	level := log.InfoLevel
	if opts.Verbose {
		level = log.DebugLevel
	}
	return &log.Logger{Handler: logfmt.New(out), Level: level}
}
