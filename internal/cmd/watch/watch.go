// Package watch holds the command radishmast watch, which prints a line whenever a document
// changes on the platform.
package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/core/fleet"
	"github.com/radishmast/radishmast/internal/link/platform"
)

const (
	// longPollTimeout is how long the platform waits for a change before it reports that
	// there is none.
	longPollTimeout = 20 * time.Second
	// retryDelay is the pause after a failed read.
	retryDelay = 2 * time.Second
)

// Options are the flags and dependencies of the command.
type Options struct {
	Factory  *cmdutil.Factory
	Platform cmdutil.PlatformFlag

	// mu prevents the concurrent readers from mixing their lines.
	mu sync.Mutex
}

// NewCmdWatch returns the command radishmast watch.
func NewCmdWatch(f *cmdutil.Factory) *ffcli.Command {
	opts := &Options{Factory: f}
	flags := cmdutil.NewFlagSet("radishmast watch", f.Streams)
	opts.Platform.Register(flags)
	return &ffcli.Command{
		Name:       "watch",
		ShortUsage: "radishmast watch --platform URL",
		ShortHelp:  "Print a line for each published change until interrupted.",
		LongHelp:   "Example:\n  radishmast watch --platform http://10.0.0.1:8500",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return runWatch(ctx, opts) },
	}
}

// runWatch reads each document in a goroutine of its own until ctx is done.
func runWatch(ctx context.Context, opts *Options) error {
	client, err := opts.Platform.Client(opts.Factory)
	if err != nil {
		return err
	}
	var readers sync.WaitGroup
	for _, name := range platform.Names() {
		readers.Go(func() { opts.watchDocument(ctx, client, name) })
	}
	readers.Wait()
	return nil
}

// watchDocument prints a line for the current revision of a document and for each newer one
// that a read returns, until ctx is done. Revisions that are replaced between two reads are
// skipped. If a read fails, it prints the error and retries after retryDelay.
func (o *Options) watchDocument(ctx context.Context, client *platform.Client, name platform.Name) {
	var revision fleet.Revision
	for ctx.Err() == nil {
		document, err := client.Read(ctx, name, revision, longPollTimeout)
		switch {
		case err == nil:
			var entries int
			revision, entries = revisionAndEntryCount(document)
			o.printLine("document=%s revision=%s entries=%d\n", name, revision, entries)
		case errors.Is(err, platform.ErrUnchanged) || ctx.Err() != nil:
		default:
			o.printLine("document=%s error=%q\n", name, err)
			waitToRetry(ctx)
		}
	}
}

// revisionAndEntryCount returns the revision of a document and the number of its entries.
func revisionAndEntryCount(document fleet.Document) (revision fleet.Revision, entries int) {
	switch d := document.(type) {
	case *fleet.ServicesDocument:
		return d.Revision, len(d.Services)
	case *fleet.BackendsDocument:
		return d.Revision, len(d.Backends)
	case *fleet.InstancesDocument:
		return d.Revision, len(d.Instances)
	}
	return fleet.Revision{}, 0
}

func (o *Options) printLine(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _ = fmt.Fprintf(o.Factory.Streams.Out, format, args...)
}

// waitToRetry waits for retryDelay or until ctx is done.
func waitToRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}
