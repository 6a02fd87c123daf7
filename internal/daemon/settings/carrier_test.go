package settings

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
)

const validCarrier = `{"name":"a","dataCentre":"n","data":"127.0.0.1:1","control":"127.0.0.1:2","platform":"http://127.0.0.1:3",` +
	`"outbound":"127.0.0.1:4","backend":"127.0.0.1:5","labels":{"service":"orders"}}`

func TestReadCarrierSetsDefaultsAndRejectsInvalidFields(t *testing.T) {
	s, err := ReadCarrier([]byte(validCarrier))
	require.NoError(t, err)
	require.Equal(t, defaultConnections, s.Connections)
	require.Equal(t, PlacementHandOver, s.Placement)
	require.Equal(t, map[string]string{"service": "orders"}, s.Labels)
	for field, text := range map[string]string{
		"outbound": strings.Replace(validCarrier, "127.0.0.1:4", "nowhere", 1),
		"backend":  strings.Replace(validCarrier, "127.0.0.1:5", "", 1),
		"ready":    strings.Replace(validCarrier, `"labels"`, `"ready":"here","labels"`, 1),
		"slots":    strings.Replace(validCarrier, `"labels"`, `"slots":2,"labels"`, 1),
	} {
		_, err := ReadCarrier([]byte(text))
		require.ErrorContains(t, err, `"`+field+`"`)
	}
}

// Guards against a placement that is misspelt, or that only other agents have, and so is silently
// that of the default.
func TestCarrierPlacementIsChecked(t *testing.T) {
	withPlacement := func(value string) []byte {
		return []byte(strings.Replace(validCarrier, `"labels"`, `"placement":"`+value+`","labels"`, 1))
	}
	for _, value := range []string{PlacementHandOver, PlacementWork} {
		s, err := ReadCarrier(withPlacement(value))
		require.NoError(t, err)
		require.Equal(t, value, s.Placement)
	}
	for _, value := range []string{"", "least", "choices"} {
		_, err := ReadCarrier(withPlacement(value))
		require.EqualError(t, err, `settings: field "placement": must be one of ["handover" "work"]`)
	}
}

// Guards against changes that are missed because no signal follows them, or because the
// file was invalid before, and against invalid settings that are applied.
func TestWatcherAppliesChangedSettingsUnlessInvalid(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(validCarrier)
	logger := &log.Logger{Handler: memory.New(), Level: log.InfoLevel}
	watcher := NewWatcher(path, []byte(validCarrier), ReadCarrier, logger)
	applied := make(chan *Carrier, 8)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watcher.Run(ctx, func(s *Carrier) error {
			applied <- s
			return nil
		})
	}()
	write("{")
	time.Sleep(2 * pollInterval)
	require.Empty(t, applied)
	write(strings.Replace(validCarrier, "orders", "patterns", 1))
	require.Equal(t, "patterns", next(t, applied).Labels["service"])
	write(strings.Replace(validCarrier, "orders", "feeds", 1))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "feeds", next(t, applied).Labels["service"])
	cancel()
	<-ended
}

// Guards against a log that says of changed settings that they are in force when they are not.
func TestWatcherSaysWhenChangedSettingsNeedARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(validCarrier, "orders", "patterns", 1)), 0o600))
	handler := memory.New()
	watcher := NewWatcher(path, []byte(validCarrier), ReadCarrier, &log.Logger{Handler: handler, Level: log.InfoLevel})
	watcher.reload(ApplyAtRestart)
	require.Len(t, handler.Entries, 1)
	require.Equal(t, "settings kept", handler.Entries[0].Message)
	require.Equal(t, ErrNeedsRestart.Error(), handler.Entries[0].Fields["error"])
}

// next waits for the next settings that the watcher applies.
func next(t *testing.T, applied <-chan *Carrier) *Carrier {
	select {
	case s := <-applied:
		return s
	case <-time.After(10 * pollInterval):
		require.Fail(t, "the watcher did not apply the changed settings")
		return nil
	}
}
