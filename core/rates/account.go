package rates

import (
	"math"

	mn "mustardnotch"
)

const (
	// unreachableBackoff is how long a holder that didn't answer is not asked again.
	unreachableBackoff = mn.Second
	// minAskInterval and maxAskInterval bound how soon a holder that had too little is
	// asked again.
	minAskInterval = 10 * mn.Millisecond
	maxAskInterval = 100 * mn.Millisecond
	// pollInterval bounds how long a waiting request sleeps between tries.
	pollInterval = 10 * mn.Millisecond
	// unreachableRetryAfter is the retry hint where no holder can be reached.
	unreachableRetryAfter = mn.Second
)

// waiter is a request that waits for a token.
type waiter struct {
	// deadline is when the request stops waiting.
	deadline mn.Millis
	// result receives the verdict, once.
	result chan error
	// promoted is closed when the waiter has to run the account's loop.
	promoted chan struct{}
}

// holderState is what an account knows of another holder.
type holderState struct {
	// nextAskAt is the instant from which the holder may be asked again.
	nextAskAt mn.Millis
	// unreachable says that the holder didn't answer when last asked.
	unreachable bool
}

// account is a customer as seen by one process: the share it holds, and the
// requests that wait for a token. It is guarded by the Book's lock.
type account struct {
	share
	customer     mn.Customer
	division     division
	waiters      []*waiter
	holderStates map[mn.VMID]holderState
	// lenderIndex is the index in division.holders at which to look for a lender.
	lenderIndex int
	// maxFractions holds, for each VM, the largest fraction that a process there may
	// act on: that of the divisions since one that is settled. It is nil where
	// earlier divisions are not known.
	maxFractions map[mn.VMID]float64
	// borrowing says that a request for a loan is on its way.
	borrowing bool
}

func newAccount(c mn.Customer, now mn.Millis) *account {
	a := &account{customer: c, holderStates: map[mn.VMID]holderState{}, maxFractions: map[mn.VMID]float64{}}
	a.creditedAt = now
	a.setLimits(c.Rate, c.Burst)
	return a
}

// applyDivision takes a new division over. A share grows at once where no process
// can act on more than it has now, such as with a customer that is new.
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

// settleDivision forgets what processes acted on before the latest division, once it
// is in force.
func (a *account) settleDivision(settled mn.Offset) {
	if settled < a.divisionOffset {
		return
	}
	a.maxFractions = map[mn.VMID]float64{}
	for _, m := range a.division.holders {
		a.maxFractions[m.VM] = a.division.fraction(m.VM)
	}
}

// nextLender returns the next holder to ask at now, or false if each has been
// asked too recently. Holders that didn't answer come last.
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

// recordAnswer notes that a holder granted less than it was asked for, or didn't
// answer at all.
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

func (a *account) askInterval() mn.Millis {
	if a.rate <= 0 {
		return maxAskInterval
	}
	return max(minAskInterval, min(maxAskInterval, mn.Millis(1/a.rate)))
}

// expectedWait returns how long it takes until tokens for count requests have
// accrued at the holders that answer.
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

// serveWaiters gives tokens to waiters in order.
func (a *account) serveWaiters() {
	for len(a.waiters) > 0 && a.take() {
		a.waiters[0].result <- nil
		a.waiters = a.waiters[1:]
	}
}

// rejectWaiters ends the waiters for which keep returns an error.
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

// removeWaiter drops a waiter whose caller has gone. It returns false if the waiter
// was answered before.
func (a *account) removeWaiter(w *waiter) bool {
	for i, x := range a.waiters {
		if x == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}
