// Package version holds the command version, which prints a program's version.
package version

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
)

// NewCmdVersion returns the command version of a program.
func NewCmdVersion(f *cmdutil.Factory, program string) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: program + " version",
		ShortHelp:  "Print the version.",
		FlagSet:    cmdutil.NewFlagSet(program+" version", f.Streams),
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintf(f.Streams.Out, "%s %s\n", program, cmdutil.Version)
			return err
		},
	}
}
