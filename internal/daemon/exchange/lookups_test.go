package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a packet that waits until the deadline of a lookup that has already ended, before
// the poll that follows the lookup begins.
func TestHeldPacketInterruptsTheWaitForDeadlines(t *testing.T) {
	d := &Dispatcher{Config: Config{HeldPackets: NewHeldPackets()}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	d.HeldPackets.notify()
	require.True(t, d.sleep(ctx, time.Hour))
}
