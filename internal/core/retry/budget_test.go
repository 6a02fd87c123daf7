package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against retries that multiply the load when every flow fails.
func TestBudgetLimitsRetriesToAShareOfFlows(t *testing.T) {
	var budget Budget
	granted := 0
	for range 1000 {
		budget.Deposit()
		if budget.TryWithdraw() {
			granted++
		}
	}
	require.InDelta(t, 1000*DepositPerFlow/Cost+InitialBalance/Cost, granted, 1)
}
