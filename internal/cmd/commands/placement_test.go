package commands

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/link/operator"
)

// explainFixed answers queries with a fixed placement, or an error, for each service name.
func explainFixed(query operator.PlacementQuery) (operator.Placement, error) {
	placement := operator.Placement{
		Process: "braid-1", Role: "agent", DataCentre: "north", Service: query.Service, Caller: query.Caller.String(), Size: query.Size,
		Candidates: []operator.PlacementCandidate{
			{Name: "braid-1", DataCentre: "north", IsSelf: true, SlotsTaken: new(uint32(2)), Slots: new(uint32(2)), Utilisation: new(0.914), RemainingWorkMs: new(37.1), ExpectedDelayMs: new(28.5), Excluded: "full"},
			{Name: "braid-2", DataCentre: "north", SlotsTaken: new(uint32(1)), Slots: new(uint32(2)), Utilisation: new(0.4), RemainingWorkMs: new(0.0), ExpectedDelayMs: new(19.25), ReportAgeMs: new(312.04)},
			{Name: "braid-3", DataCentre: "south", SlotsTaken: new(uint32(0)), Slots: new(uint32(2)), ReportAgeMs: new(2400.0), Excluded: "old_report"},
			{Name: "braid-4", DataCentre: "south", Excluded: "unheard_of"},
		},
	}
	switch query.Service {
	case "orders":
		placement.Decisions = []operator.PlacementDecision{{Outcome: "hand_over", To: "braid-2", Reason: "handover_full", Probability: 1}}
	case "drawn":
		placement.Decisions = []operator.PlacementDecision{
			{Outcome: "hand_over", To: "braid-2", Reason: "handover_even", Probability: 0.2},
			{Outcome: "accept", Reason: "accept_free_slot", Probability: 0.8},
		}
	case "rare":
		placement.Candidates = placement.Candidates[1:2]
		placement.Decisions = []operator.PlacementDecision{
			{Outcome: "hand_over", To: "braid-2", Reason: "handover_work", Probability: 0.998},
			{Outcome: "accept", Reason: "accept_shortest_delay", Probability: 0.002},
		}
	case "entry":
		placement.Process, placement.Role = "entry-1", "balancer"
		placement.Decisions = []operator.PlacementDecision{{Outcome: "forward", To: "braid-1", Reason: "primary", Probability: 1}}
		placement.Candidates = []operator.PlacementCandidate{
			{Name: "braid-1", DataCentre: "north", Weight: new(uint16(1000))},
			{Name: "braid-2", DataCentre: "south", Weight: new(uint16(640)), Excluded: "unreachable"},
		}
	case "starting":
		return operator.Placement{}, operator.NotReadyError{Process: "braid-1"}
	default:
		return operator.Placement{}, operator.UnknownServiceError{Name: query.Service, Known: []string{"orders", "patterns"}}
	}
	return placement, nil
}

// TestExplainPlacementPrintsGoldenOutput guards against unintended changes of the output and exit
// codes of radishmast explain --node, and against an error that does not say what to correct.
func TestExplainPlacementPrintsGoldenOutput(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(operator.PlacementPattern, operator.NewPlacementHandler(explainFixed))
	daemon := httptest.NewServer(mux)
	defer daemon.Close()
	older := httptest.NewServer(http.NotFoundHandler())
	defer older.Close()
	node, olderNode := daemon.Listener.Addr().String(), older.Listener.Addr().String()
	const caller = "10.1.0.1:40000"
	tests := []struct {
		name     string
		args     []string
		terminal bool
		exit     int
	}{
		{"table", []string{"--node", node, "--caller", caller, "orders"}, true, 0},
		{"plain", []string{"--node", node, "--caller", caller, "orders"}, false, 0},
		{"json", []string{"--node", node, "--caller", caller, "--size", "900", "--json", "orders"}, true, 0},
		{"drawn", []string{"--node", node, "--caller", caller, "drawn"}, true, 0},
		{"rare", []string{"--node", node, "--caller", caller, "rare"}, true, 0},
		{"balancer", []string{"--node", node, "--caller", caller, "entry"}, true, 0},
		{"unknown-service", []string{"--node", node, "--caller", caller, "reports"}, true, 2},
		{"malformed-caller", []string{"--node", node, "--caller", "me", "orders"}, true, 2},
		{"no-caller", []string{"--node", node, "orders"}, true, 2},
		{"negative-size", []string{"--node", node, "--caller", caller, "--size", "-1", "orders"}, true, 2},
		{"size-without-node", []string{"--platform", "http://127.0.0.1:1", "--size", "9", "orders"}, true, 2},
		{"data-centre", []string{"--node", node, "--caller", caller, "--data-centre", "north", "orders"}, true, 2},
		{"node-and-platform", []string{"--node", node, "--platform", "http://127.0.0.1:1", "orders"}, true, 2},
		{"malformed-node", []string{"--node", "braid-1", "--caller", caller, "orders"}, true, 2},
		{"unreachable", []string{"--node", "127.0.0.1:1", "--caller", caller, "orders"}, true, 3},
		{"not-ready", []string{"--node", node, "--caller", caller, "starting"}, true, 3},
		{"older-daemon", []string{"--node", olderNode, "--caller", caller, "orders"}, true, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			output, code := runCommand(test.terminal, append([]string{"explain"}, test.args...)...)
			require.Equal(t, test.exit, code, output)
			output = strings.NewReplacer(node, "NODE", olderNode, "OLDER").Replace(output)
			goldie.New(t).Assert(t, "placement/"+test.name, []byte(output))
		})
	}
}
