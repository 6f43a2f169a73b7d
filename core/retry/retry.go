// Package retry bounds the retries that an entry makes for its callers.
//
// Retries are paid from a budget that first attempts fill at a fixed ratio, so that
// a crash or an outage can't multiply the load on the remaining endpoints.
package retry

import (
	"sync"

	mn "mustardnotch"
)

// Config configures a Budget.
type Config struct {
	// Ratio is how many retries each first attempt pays for.
	Ratio float64
	// Reserve is how many retries the budget holds at most and at the start.
	Reserve float64
	// Refill is how many retries a second the budget gains without traffic.
	Refill float64
}

// DefaultConfig allows one retry for each ten requests and a small reserve.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Reserve: 50, Refill: 1}
}

// Budget is a token bucket of retries. It is safe for concurrent use.
type Budget struct {
	config Config
	clock  mn.Clock

	mu         sync.Mutex
	tokens     float64
	refilledAt mn.Millis
	rejected   int64
}

// New returns a full budget.
func New(config Config, clock mn.Clock) *Budget {
	return &Budget{config: config, clock: clock, tokens: config.Reserve, refilledAt: clock.Now()}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(b.config.Ratio)
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.add(float64(now-b.refilledAt) / float64(mn.Second) * b.config.Refill)
	b.refilledAt = now
	if b.tokens < 1 {
		b.rejected++
		return false
	}
	b.tokens--
	return true
}

// Rejected returns how often Withdraw found the budget empty.
func (b *Budget) Rejected() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rejected
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.config.Reserve, b.tokens+tokens)
}
