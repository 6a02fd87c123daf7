// Package cmdutil holds what commands share: streams, exit codes and errors.
package cmdutil

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/term"
)

// Version is the version of the programs.
const Version = "0.1.0"

// Exit codes by kind of error.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitUnreachable = 3
)

// Streams are the input and output of a command.
type Streams struct {
	In         io.Reader
	Out        io.Writer
	Err        io.Writer
	IsTerminal bool
}

// SystemStreams returns the process's own streams.
func SystemStreams() *Streams {
	return &Streams{
		In:         os.Stdin,
		Out:        os.Stdout,
		Err:        os.Stderr,
		IsTerminal: term.IsTerminal(int(os.Stdout.Fd())),
	}
}

// Factory is what commands are built with.
type Factory struct {
	Streams    *Streams
	HTTPClient *http.Client
}

// UsageError is a mistake in the command's flags, arguments or settings.
type UsageError struct{ Err error }

// Error implements error.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e UsageError) Unwrap() error { return e.Err }

// Usagef returns a UsageError.
func Usagef(format string, args ...any) error {
	return UsageError{fmt.Errorf(format, args...)}
}

// UnreachableError is a failure to reach a daemon or the platform.
type UnreachableError struct{ Err error }

// Error implements error.
func (e UnreachableError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e UnreachableError) Unwrap() error { return e.Err }

// Execute runs a program with the process's own streams and arguments until it
// ends or is interrupted, and returns the exit code.
func Execute(newRoot func(*Factory) *ffcli.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	factory := &Factory{Streams: SystemStreams(), HTTPClient: http.DefaultClient}
	return RunCommand(ctx, factory.Streams, newRoot(factory), os.Args[1:])
}

// RunCommand runs a command and returns the exit code.
func RunCommand(ctx context.Context, streams *Streams, root *ffcli.Command, args []string) int {
	if err := root.Parse(args); err != nil {
		return exitCode(streams, UsageError{err})
	}
	return exitCode(streams, root.Run(ctx))
}

func exitCode(streams *Streams, err error) int {
	var usage UsageError
	var unreachable UnreachableError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(streams.Err, "error:", err)
		return ExitUsage
	case errors.As(err, &unreachable):
		_, _ = fmt.Fprintln(streams.Err, "error:", err)
		return ExitUnreachable
	}
	_, _ = fmt.Fprintln(streams.Err, "error:", err)
	return ExitFailure
}

// NewFlagSet returns a flag set that reports errors instead of exiting.
func NewFlagSet(name string, streams *Streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(streams.Err)
	return flags
}

// NewGroup returns a command that only holds subcommands.
func NewGroup(name, help string, streams *Streams, subcommands ...*ffcli.Command) *ffcli.Command {
	group := &ffcli.Command{
		Name:        name,
		ShortUsage:  name + " <command> [flags]",
		ShortHelp:   help,
		FlagSet:     NewFlagSet(name, streams),
		Subcommands: subcommands,
	}
	group.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return Usagef("unknown command %q; run %s --help for the list", args[0], name)
		}
		_, _ = fmt.Fprintln(streams.Err, ffcli.DefaultUsageFunc(group))
		return Usagef("a command is missing")
	}
	return group
}
