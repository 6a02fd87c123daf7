package agent

// Parameters of the retry budget, in hundredths of a retry.
const (
	// depositPerFlow is added for each accepted flow.
	depositPerFlow = 20
	// retryCost is withdrawn for each retry.
	retryCost      = 100
	maxBalance     = 100 * retryCost
	initialBalance = 10 * retryCost
)

// retryBudget is a token bucket that limits retries to a share of the accepted flows, so that
// retries cannot multiply load. The zero value holds initialBalance.
type retryBudget struct {
	// shortfall is initialBalance minus the current balance, in hundredths of a retry. It
	// is negative while the balance is above initialBalance.
	shortfall int
}

// deposit adds the share of one accepted flow, up to maxBalance.
func (b *retryBudget) deposit() {
	b.shortfall = max(b.shortfall-depositPerFlow, initialBalance-maxBalance)
}

// tryWithdraw withdraws the cost of one retry. It reports false, and withdraws nothing, if the
// balance is lower than retryCost.
func (b *retryBudget) tryWithdraw() bool {
	if b.shortfall+retryCost > initialBalance {
		return false
	}
	b.shortfall += retryCost
	return true
}
