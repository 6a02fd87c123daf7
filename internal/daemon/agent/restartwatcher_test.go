package agent

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/daemon/metrics"
	"github.com/radishmast/radishmast/internal/link/backend"
)

// Guards against a restart that is counted because the backend server cannot be reached yet when
// the agent starts.
func TestFailedHealthReadIsARestartOnlyAfterAMonitor(t *testing.T) {
	server := httptest.NewServer(nil)
	health := backend.NewHealth(server.URL)
	server.Close()
	restarts := 0
	w := &restartWatcher{
		health:    health,
		onRestart: func() { restarts++ },
		counters:  metrics.New(),
		logger:    &log.Logger{Handler: discard.New()},
	}
	w.readHealth(context.Background(), true)
	require.Zero(t, restarts)
	w.replaceMonitor(nil)
	w.readHealth(context.Background(), false)
	require.Zero(t, restarts)
	w.readHealth(context.Background(), true)
	require.Equal(t, 1, restarts)
}
