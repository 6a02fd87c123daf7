package operator

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
)

// countedEvents counts events by name.
type countedEvents map[string]int

func (c countedEvents) Add(name string, delta int) { c[name] += delta }

// Guards against lines about waiting opening packets that do not tell why they wait, and against
// numbers of another decision in the lines of the others.
func TestWaitLineNamesReasonSlotsAndNumberWaiting(t *testing.T) {
	lines, events := memory.New(), countedEvents{}
	decisions := NewDecisions(&log.Logger{Handler: lines, Level: log.InfoLevel}, events)
	decisions.Record(Decision{Event: "wait", Reason: "late", SlotsTaken: 2, Waiting: 5})
	decisions.Record(Decision{Event: "reset", Reason: "refuse_wait"})
	require.Len(t, lines.Entries, 2)
	wait, reset := lines.Entries[0], lines.Entries[1]
	require.Equal(t, "wait", wait.Message)
	require.Equal(t, "late", wait.Fields["reason"])
	require.Equal(t, 2, wait.Fields["slots"])
	require.Equal(t, 5, wait.Fields["waiting"])
	require.NotContains(t, reset.Fields, "slots")
	require.Equal(t, countedEvents{"decisions_wait": 1, "decisions_reset": 1}, events)
}
