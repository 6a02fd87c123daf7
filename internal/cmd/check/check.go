// Package check holds the command radishmast check, which validates settings files and
// documents before they are used.
package check

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/daemon/settings"
	"github.com/radishmast/radishmast/internal/link/platform"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams *cmdutil.Streams
	// Kind is one of kinds.
	Kind  string
	Files []string
}

// kinds lists the values of --kind: settings of a balancer, of the agents of radishmastd and
// radishmast-carrier, or documents of the platform.
var kinds = []string{"balancer", "agent", "carrier", "services", "backends", "instances"}

// NewCmdCheck returns the command radishmast check.
func NewCmdCheck(f *cmdutil.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams}
	flags := cmdutil.NewFlagSet("radishmast check", f.Streams)
	flags.StringVar(&opts.Kind, "kind", "", "kind of the files, one of "+strings.Join(kinds, ", "))
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "radishmast check --kind KIND FILE...",
		ShortHelp:  "Validate settings files, or documents before they are published.",
		LongHelp:   "Example:\n  radishmast check --kind services services.json",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			opts.Files = args
			return runCheck(opts)
		},
	}
}

// runCheck validates the files in order and stops at the first that is not valid.
func runCheck(opts *Options) error {
	if len(opts.Files) == 0 {
		return cmdutil.Usagef("no files given; name the files to check")
	}
	for _, file := range opts.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			return cmdutil.UsageError{Err: fmt.Errorf("read file: %w", err)}
		}
		if err := validate(opts.Kind, data); err != nil {
			return cmdutil.UsageError{Err: fmt.Errorf("%s: %w", file, err)}
		}
		_, _ = fmt.Fprintf(opts.Streams.Out, "%s: valid\n", file)
	}
	return nil
}

// validate returns an error if data is not valid for the kind, or the kind is unknown.
func validate(kind string, data []byte) error {
	switch kind {
	case "balancer":
		_, err := settings.ReadBalancer(data)
		return err
	case "agent":
		_, err := settings.ReadAgent(data)
		return err
	case "carrier":
		_, err := settings.ReadCarrier(data)
		return err
	case "services", "backends", "instances":
		_, err := platform.Decode(platform.Name(kind), data)
		return err
	}
	return fmt.Errorf("--kind %q is not one of %s", kind, strings.Join(kinds, ", "))
}
