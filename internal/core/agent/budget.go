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
	// spent is initialBalance minus the balance, in hundredths of a retry. It is negative
	// while the balance is higher than initialBalance.
	spent int
}

// deposit adds the share of one accepted flow, up to maxBalance.
func (b *retryBudget) deposit() {
	b.spent = max(b.spent-depositPerFlow, initialBalance-maxBalance)
}

// tryWithdraw withdraws the cost of one retry. It reports false, and withdraws nothing, if the
// balance is lower.
func (b *retryBudget) tryWithdraw() bool {
	if b.spent+retryCost > initialBalance {
		return false
	}
	b.spent += retryCost
	return true
}
