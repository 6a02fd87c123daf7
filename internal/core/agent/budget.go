package agent

// Limits of the retry budget, in hundredths of a retry.
const (
	depositPerFlow = 20
	retryCost      = 100
	maxBalance     = 100 * retryCost
	initialBalance = 10 * retryCost
)

// retryBudget lets retries be a bounded share of the flows taken, so that
// retries cannot multiply load. The zero value holds the initial balance.
type retryBudget struct {
	spent int
}

func (b *retryBudget) deposit() {
	b.spent = max(b.spent-depositPerFlow, initialBalance-maxBalance)
}

func (b *retryBudget) tryWithdraw() bool {
	if b.spent+retryCost > initialBalance {
		return false
	}
	b.spent += retryCost
	return true
}
