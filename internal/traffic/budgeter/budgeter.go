// Package budgeter bounds retries to a share of the requests, so that retries
// do not overload a failing pool.
package budgeter

import "sync"

const (
	defaultShare = 0.1
	maxBalance   = 10.0 // retries; bounds the burst after a time without failures
)

// Budgeter is a budget of retries. The zero value allows none until requests have
// been deposited. It is safe for concurrent use.
type Budgeter struct {
	mu      sync.Mutex
	balance float64
}

// Deposit adds one request's share to the budget. Share is the number of retries per
// request; zero means 0.1.
func (b *Budgeter) Deposit(share float64) {
	if share == 0 {
		share = defaultShare
	}
	b.mu.Lock()
	b.balance = min(b.balance+share, maxBalance)
	b.mu.Unlock()
}

// TryWithdraw takes one retry from the budget, if there is one, and reports whether
// it did.
func (b *Budgeter) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
