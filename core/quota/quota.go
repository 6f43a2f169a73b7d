// Package quota holds customers to a rate that all fronts share.
//
// Load pattern: one customer sends many times its rate through all fronts at
// once, with clients spread unevenly over them. Each front counts what all of
// them spent: its own requests at once, the others' as they tell. While a front
// is silent it is taken to spend on as it did, so that neither side of a cut
// gets the whole rate for itself.
//
// Load pattern: the same with so many fronts that words are rare. What fills up
// between two words would be spent by each front at the same time. So once little
// is left, each takes the others to spend when it does itself, in proportion to
// what they spent lately.
package quota

import (
	"maps"
	"math"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/slide"
)

const (
	// staleAfter is how long after a front's last word its spending is estimated by its
	// pace, where customers are well within their rates.
	staleAfter = 800 * mn.Millisecond
	// scarceShare is the part of a full bucket below which fronts share what is there: at
	// a quarter, 22 fronts exceed a window by 3% (TestManyFrontsStayWithinTheWindow).
	scarceShare = 0.5
	// minShare is the least part of an equal share that a front counts on, so
	// that one which a customer turns to anew finds something. It is low, since with
	// half of all requests at one of 22 fronts the others have 0.5 of an equal one.
	minShare = 0.25
	// forgetAfter is how long a front that is silent is taken to spend on; it is
	// off the list of fronts by then.
	forgetAfter = 10 * mn.Second
	// rateWindow is the time over which the pace of a front is averaged.
	rateWindow = 2 * mn.Second
)

// Tolerance says how the platform judges customers' spending: in any Window, a
// customer may spend rate x window + burst, and beyond that a share of it and a
// number of tokens.
type Tolerance struct {
	Window mn.Millis
	Share  float64
	Slack  float64
}

// usedTolerance is the part of the tolerance that customers are given. What fronts know
// of one another's spending is off either way; in the middle, a customer is
// neither refused within its rate nor beyond what the platform tolerates.
const usedTolerance = 0.5

// Limiter counts spending. It is safe for concurrent use.
type Limiter struct {
	clock     mn.Clock
	tolerance Tolerance
	// warmUpUntil ends the time in which the process can't know what customers
	// spent before it started. They get their rate and no burst in it: fronts that
	// restart together must not give out a window's worth anew.
	warmUpUntil mn.Millis

	mu       sync.Mutex
	buckets  map[mn.CustomerID]*bucket
	ownSpent map[mn.CustomerID]float64
	peers    map[mn.VMID]*peer
	// ownRate is this front's own pace.
	ownRate spendRate
}

// spendRate follows what a front spends a second, for each customer.
type spendRate struct {
	// updatedAt is when the front spoke last; spent is what it had spent in all.
	updatedAt mn.Millis
	spent     map[mn.CustomerID]float64
	// perSecond is the average over some rateWindow.
	perSecond map[mn.CustomerID]float64
}

func newSpendRate(spent map[mn.CustomerID]float64, now mn.Millis) spendRate {
	return spendRate{updatedAt: now, spent: spent, perSecond: map[mn.CustomerID]float64{}}
}

// update takes in all that the front spent up to now.
func (p *spendRate) update(spent map[mn.CustomerID]float64, now mn.Millis) {
	gone := now - p.updatedAt
	if gone <= 0 {
		p.spent = spent
		return
	}
	weight := min(1, float64(gone)/float64(rateWindow))
	for c, total := range spent {
		p.perSecond[c] += weight * ((total-p.spent[c])*1000/float64(gone) - p.perSecond[c])
	}
	p.updatedAt, p.spent = now, spent
}

// bucket is what a customer may spend: by a level that fills at the pace which
// the window allows in the long run, and by the sum over the window.
type bucket struct {
	rate, burst float64
	level       float64
	filledAt    mn.Millis
	// warmUpRate is the rate until warmUpUntil.
	warmUpRate  float64
	warmUpUntil mn.Millis
	// windowLimit is what may be spent in a window, spent what was.
	windowLimit float64
	windowSpent *slide.Sum
}

// windowBuckets is how many parts of a window are counted apart; one more is kept, so
// that the sum covers the window whole.
const windowBuckets = 17

// peer is what is known of another front's spending.
type peer struct {
	incarnation mn.Incarnation
	spendRate
	// estimated is what was taken from buckets since the front was last heard.
	estimated   map[mn.CustomerID]float64
	estimatedAt mn.Millis
}

// New returns a meter that knows of no customer.
func New(tolerance Tolerance, clock mn.Clock) *Limiter {
	return &Limiter{
		clock:       clock,
		tolerance:   tolerance,
		warmUpUntil: clock.Now() + tolerance.Window,
		buckets:     map[mn.CustomerID]*bucket{},
		ownSpent:    map[mn.CustomerID]float64{},
		peers:       map[mn.VMID]*peer{},
		ownRate:     newSpendRate(nil, clock.Now()),
	}
}

// SetRates sets the rates of all customers. Customers keep their levels, which
// are cut to a lower burst and grow by what a burst grew.
func (m *Limiter) SetRates(subs []mn.CustomerSpec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	kept := map[mn.CustomerID]*bucket{}
	for _, s := range subs {
		if s.Rate <= 0 {
			continue
		}
		rate, burst, most := m.limits(s)
		b := m.buckets[s.ID]
		if b == nil {
			b = &bucket{level: burst, burst: burst, filledAt: now, warmUpUntil: m.warmUpUntil, windowSpent: slide.New(windowBuckets, m.tolerance.Window/(windowBuckets-1), now)}
			if now < m.warmUpUntil {
				b.level = 0
			}
		}
		b.refill(now)
		b.level += max(0, burst-b.burst)
		b.warmUpRate, b.rate, b.burst, b.windowLimit = s.Rate, rate, burst, most
		b.level = min(b.level, b.burst)
		kept[s.ID] = b
	}
	m.buckets = kept
}

// limits returns the pace, the burst and the sum over a window that a customer is
// held to.
func (m *Limiter) limits(s mn.CustomerSpec) (rate, burst, most float64) {
	window := float64(m.tolerance.Window) / 1000
	if window <= 0 {
		return s.Rate, s.Burst, math.Inf(1)
	}
	over := 1 + usedTolerance*m.tolerance.Share
	most = (s.Rate*window + s.Burst) * over
	burst = s.Burst * over
	if s.ByToken {
		most += usedTolerance * m.tolerance.Slack
		burst += usedTolerance * m.tolerance.Slack
	}
	return most / window, burst, most
}

// Take spends cost of a customer's rate. If the customer is over its rate it
// spends nothing and returns how long until the cost will be there.
func (m *Limiter) Take(c mn.CustomerID, cost float64) (wait mn.Millis, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.chargeStalePeers()
	b := m.buckets[c]
	if b == nil {
		return 0, true
	}
	b.refill(m.clock.Now())
	// A request larger than the burst passes when the bucket is full.
	need := min(cost, b.burst)
	if b.level < need {
		return mn.Millis((need-b.level)/b.rate*1000) + 1, false
	}
	if sum := b.windowSpent.Total(); sum > 0 && sum+cost > b.windowLimit {
		return b.windowSpent.BucketLength(), false
	}
	b.spend(cost)
	m.ownSpent[c] += cost
	if b.level < scarceShare*b.burst {
		m.chargePeers(c, b, cost)
	}
	return 0, true
}

// chargePeers charges what the other fronts are taken to spend while this one spends
// cost.
func (m *Limiter) chargePeers(c mn.CustomerID, b *bucket, cost float64) {
	if now := m.clock.Now(); now-m.ownRate.updatedAt >= rateWindow/windowBuckets {
		m.ownRate.update(maps.Clone(m.ownSpent), now)
	}
	total := m.ownRate.perSecond[c]
	for _, p := range m.peers {
		total += p.perSecond[c]
	}
	own := max(m.ownRate.perSecond[c], minShare*total/float64(len(m.peers)+1))
	if own <= 0 {
		return
	}
	for _, p := range m.peers {
		if other := cost * p.perSecond[c] / own; other > 0 {
			b.spend(other)
			p.estimated[c] += other
		}
	}
}

// Refund gives back what a request spent that did not run.
func (m *Limiter) Refund(c mn.CustomerID, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.buckets[c]
	if b == nil {
		return
	}
	b.spend(-cost)
	m.ownSpent[c] -= cost
}

// Spent returns what each customer spent here since the process started.
func (m *Limiter) Spent() map[mn.CustomerID]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.ownSpent)
}

// ReceiveState takes in what another front spent: all of it, or what changed.
func (m *Limiter) ReceiveState(f mn.FrontState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	p := m.peers[f.VM]
	if p == nil || p.incarnation != f.Incarnation {
		if f.Scope != mn.ScopeAll {
			return // Changes mean nothing without what they change.
		}
		m.peers[f.VM] = &peer{incarnation: f.Incarnation, spendRate: newSpendRate(f.Spent, now),
			estimated: map[mn.CustomerID]float64{}, estimatedAt: now}
		if f.Uptime >= m.tolerance.Window {
			return // How much of it is recent is not known.
		}
		for c, spent := range f.Spent {
			if b := m.buckets[c]; b != nil {
				b.refill(now)
				b.spend(spent)
			}
		}
		return
	}
	all := make(map[mn.CustomerID]float64, len(p.spent))
	maps.Copy(all, p.spent)
	maps.Copy(all, f.Spent)
	for c, total := range all {
		fresh := total - p.spent[c]
		if b := m.buckets[c]; b != nil {
			b.refill(now)
			b.spend(fresh - p.estimated[c])
		}
	}
	p.update(all, now)
	p.estimated, p.estimatedAt = map[mn.CustomerID]float64{}, now
}

// chargeStalePeers charges the estimated spending of silent fronts.
func (m *Limiter) chargeStalePeers() {
	now := m.clock.Now()
	for vm, p := range m.peers {
		if now-p.updatedAt > forgetAfter {
			delete(m.peers, vm)
			continue
		}
		if now-p.updatedAt < staleAfter || now == p.estimatedAt {
			continue
		}
		span := float64(now-p.estimatedAt) / 1000
		p.estimatedAt = now
		for c, perSecond := range p.perSecond {
			b := m.buckets[c]
			if b == nil || perSecond <= 0 || b.level < scarceShare*b.burst {
				continue
			}
			b.refill(now)
			b.spend(perSecond * span)
			p.estimated[c] += perSecond * span
		}
	}
}

// refill brings a bucket up to now.
func (b *bucket) refill(now mn.Millis) {
	if now <= b.filledAt {
		return
	}
	young := max(0, min(now, b.warmUpUntil)-b.filledAt)
	b.level = min(b.burst, b.level+(b.warmUpRate*float64(young)+b.rate*float64(now-b.filledAt-young))/1000)
	b.filledAt = now
	b.windowSpent.Advance(now)
}

func (b *bucket) spend(cost float64) {
	b.level = min(b.burst, b.level-cost)
	b.windowSpent.Add(cost)
}
