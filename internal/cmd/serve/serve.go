// Package serve holds what the commands that run a daemon share: flags, settings and
// the log.
package serve

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
	"github.com/radishmast/radishmast/internal/daemon/settings"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// Options are the flags of a daemon command.
type Options struct {
	Streams    *cmdutil.Streams
	ConfigPath string
	CheckOnly  bool
	Verbose    bool
}

// Command is what differs between the daemon commands: how the settings are read, and
// what is run with them.
type Command[S any] struct {
	Program       string
	Name          string
	Help          string
	ParseSettings func([]byte) (S, error)
	Run           func(ctx context.Context, s S, watcher *settings.Watcher[S], logger log.Interface) error
}

// NewCmd returns the command of a role.
func NewCmd[S any](f *cmdutil.Factory, c Command[S]) *ffcli.Command {
	opts := &Options{Streams: f.Streams}
	flags := cmdutil.NewFlagSet(c.Program+" "+c.Name, f.Streams)
	opts.register(flags)
	return &ffcli.Command{
		Name:       c.Name,
		ShortUsage: fmt.Sprintf("%s %s --config FILE [--check]", c.Program, c.Name),
		ShortHelp:  c.Help,
		LongHelp:   fmt.Sprintf("Example:\n  %s %s --config /etc/radishmast/%s.json --check", c.Program, c.Name, c.Name),
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return cmdutil.Usagef("unexpected argument %q", args[0])
			}
			return runDaemon(ctx, opts, c)
		},
	}
}

func (o *Options) register(flags *flag.FlagSet) {
	flags.StringVar(&o.ConfigPath, "config", "", "file with the settings, in JSON")
	flags.BoolVar(&o.CheckOnly, "check", false, "only check the settings")
	flags.BoolVar(&o.Verbose, "verbose", false, "log events of single links as well")
}

func runDaemon[S any](ctx context.Context, opts *Options, c Command[S]) error {
	if opts.ConfigPath == "" {
		return cmdutil.Usagef("--config is missing; name the file with the settings")
	}
	data, err := os.ReadFile(opts.ConfigPath)
	if err != nil {
		return cmdutil.UsageError{Err: fmt.Errorf("read settings: %w", err)}
	}
	s, err := c.ParseSettings(data)
	if err != nil {
		return cmdutil.UsageError{Err: err}
	}
	if opts.CheckOnly {
		_, _ = fmt.Fprintf(opts.Streams.Out, "%s: settings are valid\n", opts.ConfigPath)
		return nil
	}
	writer := operator.NewLogWriter(opts.Streams.Err)
	defer func() { _ = writer.Close() }()
	logger := newLogger(opts, writer)
	return c.Run(ctx, s, settings.NewWatcher(opts.ConfigPath, data, c.ParseSettings, logger), logger)
}

// IgnoreChangedSettings leaves changed settings to the next start.
func IgnoreChangedSettings[S any](S) {}

func newLogger(opts *Options, out io.Writer) log.Interface {
	level := log.InfoLevel
	if opts.Verbose {
		level = log.DebugLevel
	}
	return &log.Logger{Handler: logfmt.New(out), Level: level}
}
