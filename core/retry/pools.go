package retry

import (
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/slide"
)

// PoolBudgetsConfig sets the budgets of pools.
type PoolBudgetsConfig struct {
	// Ratio is how many retries each first try pays for, Slack how many retries
	// all fronts together have besides.
	Ratio, Slack float64
	// Fronts returns how many fronts share the slack.
	Fronts func() int
	// Window is the time in which the retries of a pool are counted.
	Window mn.Millis
}

// PoolBudgets has a budget for each pool, bounded over any window.
//
// Load pattern: an endpoint crashes, or begins to fail, while it runs tens of
// requests; all of them are to be sent again at once, which the first tries of
// the seconds before have paid for, but never more than a window allows.
type PoolBudgets struct {
	config PoolBudgetsConfig
	clock  mn.Clock

	mu    sync.Mutex
	pools map[mn.PoolID]*poolBudget
}

// windowBuckets is how many parts of a window are counted apart.
const windowBuckets = 10

// poolBudget counts the first tries and the retries of a window.
type poolBudget struct {
	firstAttempts, retries *slide.Sum
}

// NewPoolBudgets returns budgets without any tries.
func NewPoolBudgets(config PoolBudgetsConfig, clock mn.Clock) *PoolBudgets {
	return &PoolBudgets{config: config, clock: clock, pools: map[mn.PoolID]*poolBudget{}}
}

// Deposit counts a first try of a pool.
func (p *PoolBudgets) Deposit(pool mn.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(pool).firstAttempts.Add(1)
}

// Withdraw takes one retry from a pool's budget and says whether there was one.
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

// budget returns a pool's budget with the parts cleared that are over.
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
