package fleet

import (
	"fmt"
	"slices"
	"testing"
)

// BenchmarkPresentSetHashing reports the baseline to compare with: how many of 2,000
// established flows break if balancers hash over the targets that are present and agents
// forward no packets to the owner.
func BenchmarkPresentSetHashing(b *testing.B) {
	const flows = 2000
	name := func(i int) string { return fmt.Sprintf("b%d", i) }
	seven := []string{name(0), name(1), name(2), name(3), name(4), name(5), name(6)}
	changes := []struct {
		name  string
		after []string
	}{
		{"half-drain", []string{name(1), name(3), name(5)}},
		{"one-added", append(slices.Clone(seven), name(7))},
		{"one-removed", seven[1:]},
		{"selectors-flipped", []string{name(7), name(8), name(9)}},
	}
	for _, change := range changes {
		b.Run(change.name, func(b *testing.B) {
			broken := 0
			for b.Loop() {
				broken = 0
				for i := range uint64(flows) {
					hash := i * 0x9E3779B97F4A7C15 >> 16
					if seven[hash%uint64(len(seven))] != change.after[hash%uint64(len(change.after))] {
						broken++
					}
				}
			}
			b.ReportMetric(float64(broken), "broken-flows")
		})
	}
}
