// Package quota limits customers to a rate that all fronts share.
//
// Load pattern: one customer sends many times its rate through all fronts at once,
// with clients spread unevenly over them. Each front counts what all of them spend:
// its own requests at once, those of its peers as their updates arrive. While a peer
// front is silent, it is assumed to go on spending at its recent rate, so that no
// side of a network partition grants the full rate on its own.
//
// Load pattern: the customer becomes busy while fronts are cut off from one another, or
// just before. The recent rate of a silent peer says nothing of that, so it is assumed to
// spend at least what this front does, and what those that can be heard do on average.
//
// Load pattern: the same with so many fronts that updates are rare. What a bucket
// gains between two updates would be spent by each front at the same time. So once
// little is left, each front assumes that its peers spend whenever it does, in
// proportion to what they spent recently.
package quota

import (
	"maps"
	"math"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/slide"
)

const (
	// staleAfter is the age of a peer's last update from which on its spending is
	// estimated from its rate, for customers whose buckets are above scarceShare.
	staleAfter = 800 * mn.Millisecond
	// intervalWeight is the weight of one observation in the exponentially weighted moving
	// average of the time between two updates of a peer.
	intervalWeight = 0.2
	// scarceShare is the share of a full bucket below which each front counts its
	// peers' estimated spending with its own: at a quarter, 22 fronts exceed a
	// window's limit by 3% (TestManyFrontsStayWithinTheWindow).
	scarceShare = 0.5
	// minShare is the minimum spending rate that a front assumes for itself, as a
	// share of an equal split over all fronts, so that a front which a customer
	// newly uses has something to grant. It is low because a front's real share may
	// be well below an equal split: if one of 22 fronts gets half of all requests,
	// the others average about 0.5 of an equal split. A front that assumes more than
	// its real rate for itself underestimates what its peers spend.
	minShare = 0.25
	// forgetAfter is how long a silent peer is assumed to go on spending. A front that is
	// cut off from all others and the store rejects keys long before.
	forgetAfter = 30 * mn.Second
	// negligible is the estimate, as a share of a request's cost, below which it is left out.
	negligible = 0.001
	// rateWindow is the time over which a front's spending rate is averaged.
	rateWindow = 2 * mn.Second
)

// Tolerance is how the platform checks customers' spending: in any Window, a customer
// may spend rate x window + burst, plus Share of that, plus Slack tokens.
type Tolerance struct {
	Window mn.Millis
	Share  float64
	Slack  float64
}

// usedTolerance is the share of the tolerance that customers are granted. What fronts
// know of one another's spending is off in either direction; in the middle, customers
// are neither rejected within their rates nor granted more than the platform tolerates.
const usedTolerance = 0.5

// Limiter limits the spending of customers. It is safe for concurrent use.
type Limiter struct {
	clock     mn.Clock
	tolerance Tolerance
	// warmUpUntil is the end of the time in which the process can't know what
	// customers spent before it started. Until then they get their rate and no
	// burst: fronts that restart together must not grant another window's worth.
	warmUpUntil mn.Millis

	mu       sync.Mutex
	buckets  map[mn.CustomerID]*bucket
	ownSpent map[mn.CustomerID]float64
	peers    map[mn.VMID]*peer
	// ownRate is the spending rate at this front.
	ownRate spendRate
}

// spendRate tracks how much each customer spends a second at one front.
type spendRate struct {
	// updatedAt is the time of the last update; spent is the total at that time.
	updatedAt mn.Millis
	spent     map[mn.CustomerID]float64
	// perSecond is the average over about the last rateWindow.
	perSecond map[mn.CustomerID]float64
}

func newSpendRate(spent map[mn.CustomerID]float64, now mn.Millis) spendRate {
	return spendRate{updatedAt: now, spent: spent, perSecond: map[mn.CustomerID]float64{}}
}

// update sets the totals that the front has spent up to now.
func (r *spendRate) update(spent map[mn.CustomerID]float64, now mn.Millis) {
	elapsed := now - r.updatedAt
	if elapsed <= 0 {
		r.spent = spent
		return
	}
	weight := min(1, float64(elapsed)/float64(rateWindow))
	for c, total := range spent {
		r.perSecond[c] += weight * ((total-r.spent[c])*1000/float64(elapsed) - r.perSecond[c])
	}
	r.updatedAt, r.spent = now, spent
}

// bucket limits one customer twice: by a token bucket, which is refilled at the rate
// that the window allows in the long run, and by the sum over the window.
type bucket struct {
	rate, burst float64
	level       float64
	filledAt    mn.Millis
	// warmUpRate is the refill rate until warmUpUntil.
	warmUpRate  float64
	warmUpUntil mn.Millis
	// windowLimit is what may be spent in a window, windowSpent what was.
	windowLimit float64
	windowSpent *slide.Sum
}

// windowBuckets is the number of buckets of the sum over a window: one more than a
// window is divided into, so that the sum always covers a complete window.
const windowBuckets = 17

// peer is what is known of a peer front's spending.
type peer struct {
	incarnation mn.Incarnation
	spendRate
	// estimated is what was charged to buckets since the peer's last update.
	estimated   map[mn.CustomerID]estimate
	estimatedAt mn.Millis
	// interval is the usual time between two updates, in milliseconds.
	interval float64
}

// overdue returns by how much the peer's next update is overdue: 0 up to the usual interval,
// and 1 from twice that on.
func (p *peer) overdue(now mn.Millis) float64 {
	return min(1, max(0, (float64(now-p.updatedAt)-p.interval)/p.interval))
}

// estimate is what a peer is assumed to have spent. Its next update replaces it, so it is
// kept apart from the sum over the window: taking it off what is spent by then would count
// less than was spent once the time of the estimate has left the window.
type estimate struct {
	total float64
	// window holds the estimate by time once the peer is silent, nil before: all of it is
	// recent then.
	window *slide.Sum
}

// inWindow returns the part of the estimate that lies in the window at now.
func (e estimate) inWindow(now mn.Millis) float64 {
	if e.window == nil {
		return e.total
	}
	e.window.Advance(now)
	return e.window.Total()
}

// New returns a Limiter without customers.
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

// SetRates sets the rates of all customers. Customers keep their levels, which a
// lower burst caps and a higher burst raises by the difference.
func (l *Limiter) SetRates(specs []mn.CustomerSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	buckets := map[mn.CustomerID]*bucket{}
	for _, s := range specs {
		if s.Rate <= 0 {
			continue
		}
		rate, burst, windowLimit := l.limits(s)
		b := l.buckets[s.ID]
		if b == nil {
			b = &bucket{level: burst, burst: burst, filledAt: now, warmUpUntil: l.warmUpUntil, windowSpent: slide.New(windowBuckets, l.windowBucketLength(), now)}
			if now < l.warmUpUntil {
				b.level = 0
			}
		}
		b.refill(now)
		b.level += max(0, burst-b.burst)
		b.warmUpRate, b.rate, b.burst, b.windowLimit = s.Rate, rate, burst, windowLimit
		b.level = min(b.level, b.burst)
		buckets[s.ID] = b
	}
	l.buckets = buckets
}

// limits returns the refill rate, the burst and the sum over a window to which a
// customer is limited.
func (l *Limiter) limits(s mn.CustomerSpec) (rate, burst, windowLimit float64) {
	window := float64(l.tolerance.Window) / 1000
	if window <= 0 {
		return s.Rate, s.Burst, math.Inf(1)
	}
	factor := 1 + usedTolerance*l.tolerance.Share
	windowLimit = (s.Rate*window + s.Burst) * factor
	burst = s.Burst * factor
	if s.ByToken {
		windowLimit += usedTolerance * l.tolerance.Slack
		burst += usedTolerance * l.tolerance.Slack
	}
	return windowLimit / window, burst, windowLimit
}

// Take charges cost to a customer. If the customer is over its limits, it charges
// nothing and returns how long to wait: until the bucket holds the cost, or until the
// window's oldest part passes.
func (l *Limiter) Take(c mn.CustomerID, cost float64) (wait mn.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chargeStalePeers()
	b := l.buckets[c]
	if b == nil {
		return 0, true
	}
	b.refill(l.clock.Now())
	// A request that costs more than the burst passes when the bucket is full.
	need := min(cost, b.burst)
	if b.level < need {
		return mn.Millis((need-b.level)/b.rate*1000) + 1, false
	}
	sum := l.windowSum(c, b)
	if sum > 0 && sum+cost > b.windowLimit {
		return b.windowSpent.BucketLength(), false
	}
	// The window may bind while the bucket holds plenty.
	scarce := b.level-cost < scarceShare*b.burst || sum+cost > b.windowLimit-scarceShare*b.burst
	b.spend(cost)
	l.ownSpent[c] += cost
	l.chargePeers(c, b, cost, scarce)
	return 0, true
}

// chargePeers charges what the peer fronts are assumed to spend while this one spends
// cost. If the bucket isn't scarce, that is only what goes beyond their recent rates:
// chargeStalePeers charges those of silent peers, and those of the others arrive in time.
func (l *Limiter) chargePeers(c mn.CustomerID, b *bucket, cost float64, scarce bool) {
	now := l.clock.Now()
	if !scarce && !l.anyOverdue(now) {
		return
	}
	if now-l.ownRate.updatedAt >= rateWindow/windowBuckets {
		l.ownRate.update(maps.Clone(l.ownSpent), now)
	}
	audible := l.audibleRate(c, now)
	total := l.ownRate.perSecond[c]
	for _, p := range l.peers {
		total += p.perSecond[c]
	}
	own := max(l.ownRate.perSecond[c], minShare*total/float64(len(l.peers)+1))
	if own <= 0 {
		return
	}
	for _, p := range l.peers {
		rate := p.assumedRate(c, audible, now)
		if !scarce {
			rate -= p.perSecond[c]
		}
		if amount := cost * rate / own; amount > negligible*cost {
			l.chargeEstimate(p, c, b, amount)
		}
	}
}

// anyOverdue reports whether the update of a peer is overdue.
func (l *Limiter) anyOverdue(now mn.Millis) bool {
	for _, p := range l.peers {
		if p.overdue(now) > 0 {
			return true
		}
	}
	return false
}

// chargeEstimate charges what a peer is assumed to have spent just now.
func (l *Limiter) chargeEstimate(p *peer, c mn.CustomerID, b *bucket, amount float64) {
	e, now := p.estimated[c], l.clock.Now()
	if e.window == nil && now-p.updatedAt >= staleAfter {
		e.window = slide.New(windowBuckets, l.windowBucketLength(), now)
		e.window.Add(e.total)
	}
	if e.window != nil {
		e.window.Advance(now)
		e.window.Add(amount)
	}
	e.total += amount
	p.estimated[c] = e
	b.level = min(b.burst, b.level-amount)
}

// windowSum returns what a customer has spent in the window, estimates included.
func (l *Limiter) windowSum(c mn.CustomerID, b *bucket) float64 {
	sum, now := b.windowSpent.Total(), l.clock.Now()
	for _, p := range l.peers {
		if e, ok := p.estimated[c]; ok {
			sum += e.inWindow(now)
		}
	}
	return sum
}

// windowBucketLength returns the length of the parts into which a window is divided.
func (l *Limiter) windowBucketLength() mn.Millis { return l.tolerance.Window / (windowBuckets - 1) }

// audibleRate returns the average rate at which a customer spends at this front and at the
// peers that are not silent, and at least the rate here: those of peers arrive later.
func (l *Limiter) audibleRate(c mn.CustomerID, now mn.Millis) float64 {
	sum, count := l.ownRate.perSecond[c], 1.0
	for _, p := range l.peers {
		if now-p.updatedAt < staleAfter {
			sum, count = sum+p.perSecond[c], count+1
		}
	}
	return max(l.ownRate.perSecond[c], sum/count)
}

// assumedRate returns the rate at which a customer is assumed to spend at a peer: its recent
// rate, or that of the audible fronts if it is higher. The latter counts the more the longer
// the peer has been silent.
func (p *peer) assumedRate(c mn.CustomerID, audible float64, now mn.Millis) float64 {
	return max(p.perSecond[c], audible*p.overdue(now))
}

// Refund credits a customer with the cost of a request that did not run.
func (l *Limiter) Refund(c mn.CustomerID, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[c]
	if b == nil {
		return
	}
	b.spend(-cost)
	l.ownSpent[c] -= cost
}

// Spent returns what each customer spent here since the process started.
func (l *Limiter) Spent() map[mn.CustomerID]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.ownSpent)
}

// ReceiveState applies what a peer front has spent: all totals, or those that changed.
func (l *Limiter) ReceiveState(f mn.FrontState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	p := l.peers[f.VM]
	if p == nil || p.incarnation != f.Incarnation {
		if f.Scope != mn.ScopeAll {
			return // Changes can't be applied without a full state.
		}
		l.peers[f.VM] = &peer{incarnation: f.Incarnation, spendRate: newSpendRate(f.Spent, now),
			estimated: map[mn.CustomerID]estimate{}, estimatedAt: now, interval: float64(staleAfter)}
		if f.Uptime >= l.tolerance.Window {
			return // It's unknown how much of it is recent.
		}
		for c, spent := range f.Spent {
			if b := l.buckets[c]; b != nil {
				b.refill(now)
				b.spend(spent)
			}
		}
		return
	}
	totals := make(map[mn.CustomerID]float64, len(p.spent))
	maps.Copy(totals, p.spent)
	maps.Copy(totals, f.Spent)
	for c, total := range totals {
		added := total - p.spent[c]
		if b := l.buckets[c]; b != nil {
			b.refill(now)
			b.level = min(b.burst, b.level+p.estimated[c].total-added)
			since := now
			if now-p.updatedAt >= staleAfter {
				// Most of it may have been spent in the later half.
				since = (p.updatedAt + now) / 2
			}
			b.windowSpent.AddSince(since, added)
		}
	}
	if age := float64(now - p.updatedAt); age > 0 && age < 2*p.interval {
		p.interval += intervalWeight * (age - p.interval)
	}
	p.update(totals, now)
	clear(p.estimated)
	p.estimatedAt = now
}

// chargeStalePeers charges the estimated spending of silent peers and forgets those
// that have been silent for forgetAfter. It leaves out buckets below scarceShare: for
// those, chargePeers estimates the spending of all peers.
func (l *Limiter) chargeStalePeers() {
	now := l.clock.Now()
	for vm, p := range l.peers {
		if now-p.updatedAt > forgetAfter {
			delete(l.peers, vm)
			continue
		}
		if now-p.updatedAt < staleAfter || now == p.estimatedAt {
			continue
		}
		seconds := float64(now-p.estimatedAt) / 1000
		p.estimatedAt = now
		for c, perSecond := range p.perSecond {
			b := l.buckets[c]
			if b == nil || perSecond <= 0 {
				continue
			}
			b.refill(now) // After a pause of this process, the bucket has gained much at once.
			if b.level < scarceShare*b.burst {
				continue
			}
			l.chargeEstimate(p, c, b, perSecond*seconds)
		}
	}
}

// refill adds what the bucket gained up to now.
func (b *bucket) refill(now mn.Millis) {
	if now <= b.filledAt {
		return
	}
	warmUp := max(0, min(now, b.warmUpUntil)-b.filledAt)
	b.level = min(b.burst, b.level+(b.warmUpRate*float64(warmUp)+b.rate*float64(now-b.filledAt-warmUp))/1000)
	b.filledAt = now
	b.windowSpent.Advance(now)
}

func (b *bucket) spend(cost float64) {
	b.level = min(b.burst, b.level-cost)
	b.windowSpent.Add(cost)
}
