// Package cmdutil holds what the commands share: streams, exit codes, errors, tables, and
// the flags that name the platform or a daemon.
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

// Version is the version that every program of the project prints.
const Version = "0.1.0"

// Exit codes of the programs.
const (
	// ExitOK is also the exit code after --help.
	ExitOK = 0
	// ExitFailure stands for every error that has no code of its own.
	ExitFailure = 1
	// ExitUsage stands for a UsageError.
	ExitUsage = 2
	// ExitUnreachable stands for an UnreachableError.
	ExitUnreachable = 3
)

// Streams are the input and output of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// IsTerminal is true if Out is a terminal. Tables are then aligned.
	IsTerminal bool
}

// SystemStreams returns the standard streams of the process.
func SystemStreams() *Streams {
	return &Streams{
		In:         os.Stdin,
		Out:        os.Stdout,
		Err:        os.Stderr,
		IsTerminal: term.IsTerminal(int(os.Stdout.Fd())),
	}
}

// Factory holds the dependencies that commands are built with.
type Factory struct {
	Streams *Streams
	// HTTPClient sends the requests to daemons. Requests to the platform use only its
	// transport.
	HTTPClient *http.Client
}

// UsageError reports a mistake in a command's flags, arguments, settings or input files.
type UsageError struct{ Err error }

// Error implements error.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e UsageError) Unwrap() error { return e.Err }

// Usagef returns a UsageError with a message formatted as by fmt.Errorf.
func Usagef(format string, args ...any) error {
	return UsageError{fmt.Errorf(format, args...)}
}

// UnreachableError reports that the platform or a daemon could not be reached or gave an
// unusable response.
type UnreachableError struct{ Err error }

// Error implements error.
func (e UnreachableError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e UnreachableError) Unwrap() error { return e.Err }

// Execute runs a program with the arguments and standard streams of the process, and
// returns the exit code. SIGINT and SIGTERM cancel the context of the running command.
func Execute(newRoot func(*Factory) *ffcli.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// Stops catching signals after the first, so that a second one ends the process at once.
	context.AfterFunc(ctx, stop)
	factory := &Factory{Streams: SystemStreams(), HTTPClient: http.DefaultClient}
	return RunCommand(ctx, factory.Streams, newRoot(factory), os.Args[1:])
}

// RunCommand parses args, runs root or the subcommand that args name, and returns the exit
// code. It writes an error to streams.Err.
func RunCommand(ctx context.Context, streams *Streams, root *ffcli.Command, args []string) int {
	if err := root.Parse(args); err != nil {
		return exitCode(streams, UsageError{err})
	}
	return exitCode(streams, root.Run(ctx))
}

// exitCode writes err to streams.Err and returns the exit code for it.
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

// NewFlagSet returns a flag set that returns parse errors instead of ending the process,
// and writes its messages to streams.Err.
func NewFlagSet(name string, streams *Streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(streams.Err)
	return flags
}

// NewGroup returns a command that only holds subcommands. The command returns a UsageError if
// no subcommand or an unknown one is given.
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
		return Usagef("no command given; the usage above lists the commands")
	}
	return group
}
