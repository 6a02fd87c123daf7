package explain

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"github.com/radishmast/radishmast/internal/cmd/cmdutil"
	"github.com/radishmast/radishmast/internal/link/operator"
)

// runPlacement prints where a daemon would place an opening packet of the caller now, and why.
func runPlacement(ctx context.Context, opts *Options, caller netip.AddrPort) error {
	switch {
	case !caller.IsValid():
		return cmdutil.Usagef("--caller is missing; give the caller whose opening packet is to be placed, such as 10.1.0.1:40000")
	case opts.DataCentre != "":
		return cmdutil.Usagef("--data-centre cannot be combined with --node; ask a process of that data centre")
	case opts.Size < 0:
		return cmdutil.Usagef("--size %d is not a number of bytes", opts.Size)
	}
	placement, err := opts.Node.Placement(ctx, opts.Factory, operator.PlacementQuery{Service: opts.Service, Caller: caller, Size: opts.Size})
	if err != nil {
		return err
	}
	if err := opts.Factory.Streams.Print(newPlacementTable(&placement), placement, opts.JSON); err != nil || opts.JSON {
		return err
	}
	return printDecisions(opts.Factory.Streams, &placement)
}

// printDecisions prints a line for each decision, with its probability if it is drawn.
func printDecisions(streams *cmdutil.Streams, placement *operator.Placement) error {
	for _, decision := range placement.Decisions {
		line := fmt.Sprintf("%s %s: %s", placement.Role, placement.Process, describeOutcome(&decision))
		if decision.Probability < 1 {
			line += ", with probability " + formatProbability(decision.Probability)
		}
		if _, err := fmt.Fprintf(streams.Out, "%s: %s\n", line, describeReason(decision.Reason)); err != nil {
			return fmt.Errorf("print decision: %w", err)
		}
	}
	return nil
}

// formatProbability returns a probability below 1 in per cent, which is neither 0 nor 100.
func formatProbability(probability float64) string {
	switch perCent := math.Round(100 * probability); perCent {
	case 0:
		return "below 1%"
	case 100:
		return "above 99%"
	default:
		return fmt.Sprintf("%.0f%%", perCent)
	}
}

// describeOutcome returns what becomes of the packet.
func describeOutcome(decision *operator.PlacementDecision) string {
	switch decision.Outcome {
	case "hand_over":
		return "hands over to " + decision.To
	case "forward":
		return "forwards to " + decision.To
	case "accept":
		return "accepts"
	case "wait":
		return "lets it wait"
	case "refuse":
		return "refuses"
	case "drop":
		return "drops"
	}
	return decision.Outcome
}

// newPlacementTable returns a table of the candidates. A balancer knows their weights only, and
// an agent their load only.
func newPlacementTable(placement *operator.Placement) cmdutil.Table {
	table := cmdutil.Table{Header: []string{"BACKEND SERVER", "DATA CENTRE", "SLOTS TAKEN", "BUSY", "REMAINING WORK", "EXPECTED DELAY", "REPORT AGE", "EXCLUDED"}}
	if placement.Role == "balancer" {
		table.Header = []string{"BACKEND SERVER", "DATA CENTRE", "WEIGHT", "EXCLUDED"}
	}
	for i := range placement.Candidates {
		candidate := &placement.Candidates[i]
		row := []string{candidate.Name, candidate.DataCentre}
		if placement.Role == "balancer" {
			row = append(row, formatWeight(candidate.Weight))
		} else {
			row = append(row, loadCells(candidate)...)
		}
		table.Rows = append(table.Rows, append(row, describeReason(candidate.Excluded)))
	}
	return table
}

// unknown stands for a value that the process does not know.
const unknown = "-"

// formatWeight returns a weight.
func formatWeight(weight *uint16) string {
	if weight == nil {
		return unknown
	}
	return strconv.Itoa(int(*weight))
}

// loadCells returns the slots taken, the utilisation, the remaining work, the expected delay and the
// age of the load report.
func loadCells(candidate *operator.PlacementCandidate) []string {
	slots, utilisation, age := unknown, unknown, formatMilliseconds(candidate.ReportAgeMs)
	if candidate.Slots != nil && candidate.SlotsTaken != nil {
		slots = fmt.Sprintf("%d of %d", *candidate.SlotsTaken, *candidate.Slots)
	}
	if candidate.Utilisation != nil {
		utilisation = fmt.Sprintf("%.0f%%", 100**candidate.Utilisation)
	}
	if candidate.IsSelf {
		age = "this agent"
	}
	return []string{slots, utilisation, formatMilliseconds(candidate.RemainingWorkMs), formatMilliseconds(candidate.ExpectedDelayMs), age}
}

// formatMilliseconds returns a time in milliseconds.
func formatMilliseconds(value *float64) string {
	if value == nil {
		return unknown
	}
	return strconv.FormatFloat(math.Round(*value*10)/10, 'f', -1, 64) + " ms"
}
