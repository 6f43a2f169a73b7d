package rates

import (
	"math"

	mn "mustardnotch"
)

const (
	// unreachableBackoff is how long a holder that didn't answer is left out of
	// borrowing.
	unreachableBackoff = mn.Second
	// minAskInterval and maxAskInterval bound the delay before a holder that
	// granted less than requested is asked again.
	minAskInterval = 10 * mn.Millisecond
	maxAskInterval = 100 * mn.Millisecond
	// pollInterval is how long a waiting request sleeps while there is no holder
	// to borrow from.
	pollInterval = 10 * mn.Millisecond
	// unreachableRetryAfter is the expected wait, and so the base of the retry
	// hint, when no tokens accrue at any reachable holder.
	unreachableRetryAfter = mn.Second
)

// waiter is a request that waits for a token.
type waiter struct {
	// deadline is the instant at which the request stops waiting.
	deadline mn.Millis
	// result receives the outcome exactly once: nil for a token, or the
	// rejection.
	result chan error
	// promoted is closed when it becomes this waiter's turn to run the borrow
	// loop for the account.
	promoted chan struct{}
}

// holderState is what an account knows about another holder.
type holderState struct {
	// nextAskAt is the earliest instant at which to ask the holder again.
	nextAskAt mn.Millis
	// unreachable reports whether the last request to the holder failed.
	unreachable bool
}

// account is the state of one customer in this process: its share of the
// customer's bucket, and the requests that wait for a token. The Ledger's lock
// guards it.
type account struct {
	share
	customer     mn.Customer
	division     division
	waiters      []*waiter
	holderStates map[mn.VMID]holderState
	// lenderIndex is the index in division.holders at which the search for a
	// lender starts.
	lenderIndex int
	// maxFractions holds, for each VM, the largest fraction that a process
	// there may still apply: the maximum over the last settled division and
	// those after it. It is nil if earlier divisions are unknown.
	maxFractions map[mn.VMID]float64
	// borrowing reports whether a loan request is in flight.
	borrowing bool
}

func newAccount(c mn.Customer, now mn.Millis) *account {
	a := &account{customer: c, holderStates: map[mn.VMID]holderState{}, maxFractions: map[mn.VMID]float64{}}
	a.creditedAt = now
	a.setLimits(c.Rate, c.Burst)
	return a
}

// applyDivision replaces the division. A smaller fraction applies at once. A
// larger one does so only if the largest fractions that all processes may still
// apply add up to at most the whole bucket, as for a new customer; otherwise
// [share.refresh] applies it later.
func (a *account) applyDivision(d division, self mn.VMID, offset mn.Offset, now mn.Millis) {
	a.division = d
	a.setFraction(d.fraction(self), offset)
	if a.maxFractions == nil {
		return
	}
	sum := 0.0
	for _, m := range d.holders {
		a.maxFractions[m.VM] = max(a.maxFractions[m.VM], d.fraction(m.VM))
	}
	for _, f := range a.maxFractions {
		sum += f
	}
	if sum > 1+epsilon {
		return
	}
	if a.targetFraction > a.fraction {
		a.accrue(now)
	}
	a.applyTarget()
}

// settleDivision drops the fractions of earlier divisions from maxFractions once
// the latest division is settled.
func (a *account) settleDivision(settled mn.Offset) {
	if settled < a.divisionOffset {
		return
	}
	a.maxFractions = map[mn.VMID]float64{}
	for _, m := range a.division.holders {
		a.maxFractions[m.VM] = a.division.fraction(m.VM)
	}
}

// nextLender returns the next holder to ask for a loan, or false if every other
// holder has been asked too recently. Reachable holders come first.
func (a *account) nextLender(self mn.VMID, now mn.Millis) (mn.Member, bool) {
	count := len(a.division.holders)
	found := -1
	for i := range count {
		at := (a.lenderIndex + i) % count
		m := a.division.holders[at]
		p := a.holderStates[m.VM]
		if m.VM == self || p.nextAskAt > now || found >= 0 && p.unreachable {
			continue
		}
		found = at
		if !p.unreachable {
			break
		}
	}
	if found < 0 {
		return mn.Member{}, false
	}
	a.lenderIndex = found
	return a.division.holders[found], true
}

// recordAnswer sets when to ask a holder again: short means that it granted less
// than requested, down that it didn't answer.
func (a *account) recordAnswer(vm mn.VMID, short, down bool, now mn.Millis) {
	switch {
	case down:
		a.holderStates[vm] = holderState{nextAskAt: now + unreachableBackoff, unreachable: true}
	case short:
		a.holderStates[vm] = holderState{nextAskAt: now + a.askInterval()}
	default:
		delete(a.holderStates, vm)
	}
}

// askInterval returns the time in which one token accrues at the customer's
// rate, within [minAskInterval, maxAskInterval].
func (a *account) askInterval() mn.Millis {
	if a.rate <= 0 {
		return maxAskInterval
	}
	return max(minAskInterval, min(maxAskInterval, mn.Millis(1/a.rate)))
}

// expectedWait returns how long it takes for tokens for count requests to accrue
// at this process and, if lending is set, at the reachable holders.
func (a *account) expectedWait(count int, self mn.VMID, lending bool) mn.Millis {
	missing := float64(count) - a.available()
	if missing <= 0 {
		return 0
	}
	reachable := a.fraction
	for _, m := range a.division.holders {
		if lending && m.VM != self && !a.holderStates[m.VM].unreachable {
			reachable += 1 / float64(len(a.division.holders))
		}
	}
	if reachable <= 0 || a.rate <= 0 {
		return unreachableRetryAfter
	}
	return mn.Millis(math.Ceil(missing / (a.rate * reachable)))
}

// serveWaiters gives the available tokens to waiters in first-come order.
func (a *account) serveWaiters() {
	for len(a.waiters) > 0 && a.take() {
		a.waiters[0].result <- nil
		a.waiters = a.waiters[1:]
	}
}

// rejectWaiters removes the waiters for which check returns an error, which
// becomes their result. The index is the waiter's place among those that remain.
func (a *account) rejectWaiters(check func(index int, w *waiter) error) {
	remaining := a.waiters[:0]
	for _, w := range a.waiters {
		err := check(len(remaining), w)
		if err == nil {
			remaining = append(remaining, w)
			continue
		}
		w.result <- err
	}
	a.waiters = remaining
}

// removeWaiter removes w from the queue. It returns false if w already has a
// result.
func (a *account) removeWaiter(w *waiter) bool {
	for i, x := range a.waiters {
		if x == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}
