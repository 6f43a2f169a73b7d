package retry

import (
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/slide"
)

// PoolBudgetsConfig configures the retry budgets of pools.
type PoolBudgetsConfig struct {
	// Ratio is how many retries each first attempt pays for, Slack how many more
	// retries all fronts have together.
	Ratio, Slack float64
	// Fronts returns how many fronts share the slack.
	Fronts func() int
	// Window is the sliding window over which attempts and retries are counted.
	Window mn.Millis
}

// PoolBudgets holds a retry budget for each pool, bounded over any window. It is safe for
// concurrent use.
//
// Load pattern: an endpoint crashes, or starts to fail, while it runs tens of
// requests. All of them have to be sent again at once. The first attempts of the last
// seconds have paid for these retries, but there are never more than a window allows.
type PoolBudgets struct {
	config PoolBudgetsConfig
	clock  mn.Clock

	mu    sync.Mutex
	pools map[mn.PoolID]*poolBudget
}

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 10

// poolBudget counts the first attempts and the retries of a window.
type poolBudget struct {
	firstAttempts, retries *slide.Sum
}

// NewPoolBudgets returns budgets without any attempts.
func NewPoolBudgets(config PoolBudgetsConfig, clock mn.Clock) *PoolBudgets {
	return &PoolBudgets{config: config, clock: clock, pools: map[mn.PoolID]*poolBudget{}}
}

// Deposit counts a first attempt in a pool.
func (p *PoolBudgets) Deposit(pool mn.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(pool).firstAttempts.Add(1)
}

// Withdraw takes one retry from a pool's budget and reports whether there was one.
func (p *PoolBudgets) Withdraw(pool mn.PoolID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budget(pool)
	if b.retries.Total()+1 > p.config.Ratio*b.firstAttempts.Total()+p.config.Slack/float64(max(1, p.config.Fronts())) {
		return false
	}
	b.retries.Add(1)
	return true
}

// budget returns a pool's budget, advanced to now.
func (p *PoolBudgets) budget(pool mn.PoolID) *poolBudget {
	b, now := p.pools[pool], p.clock.Now()
	if b == nil {
		length := p.config.Window / windowBuckets
		b = &poolBudget{firstAttempts: slide.New(windowBuckets, length, now), retries: slide.New(windowBuckets, length, now)}
		p.pools[pool] = b
	}
	b.firstAttempts.Advance(now)
	b.retries.Advance(now)
	return b
}
