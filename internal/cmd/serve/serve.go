// Package serve builds the commands that run a daemon, with the flags, the reading of the
// settings file and the log that all of them share.
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

// Options are the flags of a command that runs a daemon.
type Options struct {
	Streams *cmdutil.Streams
	// ConfigPath is the path of the settings file.
	ConfigPath string
	// CheckOnly validates the settings file without running the daemon.
	CheckOnly bool
	// Verbose enables debug log messages, such as those about individual control links.
	Verbose bool
}

// Command describes a command that runs a daemon with settings of type S. It holds what
// differs between such commands.
type Command[S any] struct {
	// Program and Name are the names of the program and of the command.
	Program string
	Name    string
	// Help is the one-line description of the command.
	Help string
	// ParseSettings parses and validates the contents of the settings file.
	ParseSettings func([]byte) (S, error)
	// Run runs the daemon until ctx is done. It must call watcher.Run, otherwise changes of
	// the settings file go unnoticed.
	Run func(ctx context.Context, s S, watcher *settings.Watcher[S], logger log.Interface) error
}

// NewCmd returns the command that c describes.
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
	flags.StringVar(&o.ConfigPath, "config", "", "path of the settings file, in JSON")
	flags.BoolVar(&o.CheckOnly, "check", false, "validate the settings and exit")
	flags.BoolVar(&o.Verbose, "verbose", false, "also log debug messages, such as events of individual links")
}

// runDaemon reads and validates the settings file, then runs the daemon. With --check it
// only validates them and prints the result. The daemon's log goes to the error stream.
func runDaemon[S any](ctx context.Context, opts *Options, c Command[S]) error {
	if opts.ConfigPath == "" {
		return cmdutil.Usagef("--config is missing; give the path of the settings file")
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

// newLogger returns a logger that writes to out in logfmt.
func newLogger(opts *Options, out io.Writer) log.Interface {
	level := log.InfoLevel
	if opts.Verbose {
		level = log.DebugLevel
	}
	return &log.Logger{Handler: logfmt.New(out), Level: level}
}
