// Package budgeter bounds retries to a share of the requests, so that a failing
// pool is not buried under repeated work.
package budgeter

import "sync"

const (
	defaultShare = 0.1
	maxSaved     = 10.0 // retries that a quiet time can save up
)

// Budgeter is a budget of retries. The zero value allows none until requests
// have earned some.
type Budgeter struct {
	mu    sync.Mutex
	saved float64
}

// Deposit adds to the budget for one request. Share is the number of retries per
// request; zero means 0.1.
func (b *Budgeter) Deposit(share float64) {
	if share == 0 {
		share = defaultShare
	}
	b.mu.Lock()
	b.saved = min(b.saved+share, maxSaved)
	b.mu.Unlock()
}

// TryWithdraw takes one retry from the budget, if there is one, and reports whether
// it did.
func (b *Budgeter) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
