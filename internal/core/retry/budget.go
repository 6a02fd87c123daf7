// Package retry limits retries, so that they cannot multiply the load that caused them.
package retry

// Parameters of the retry budget, in hundredths of a retry.
const (
	// DepositPerFlow is added for each accepted flow.
	DepositPerFlow = 20
	// Cost is withdrawn for each retry.
	Cost           = 100
	maxBalance     = 100 * Cost
	InitialBalance = 10 * Cost
)

// Budget is a token bucket that limits retries to a share of the accepted flows, so that
// retries cannot multiply load. The zero value holds InitialBalance.
type Budget struct {
	// shortfall is InitialBalance minus the current balance, in hundredths of a retry. It
	// is negative while the balance is above InitialBalance.
	shortfall int
}

// Deposit adds the share of one accepted flow, up to maxBalance.
func (b *Budget) Deposit() {
	b.shortfall = max(b.shortfall-DepositPerFlow, InitialBalance-maxBalance)
}

// TryWithdraw withdraws the cost of one retry. It reports false, and withdraws nothing, if the
// balance is lower than Cost.
func (b *Budget) TryWithdraw() bool {
	if b.shortfall+Cost > InitialBalance {
		return false
	}
	b.shortfall += Cost
	return true
}
