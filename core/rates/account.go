package rates

import (
	"math"

	mn "mustardnotch"
)

const (
	// downSpan is how long a holder that didn't answer is not asked again.
	downSpan = mn.Second
	// minAskSpan and maxAskSpan bound how soon a holder that had too little is
	// asked again.
	minAskSpan = 10 * mn.Millisecond
	maxAskSpan = 100 * mn.Millisecond
	// pollSpan bounds how long a waiting request sleeps between tries.
	pollSpan = 10 * mn.Millisecond
	// blindRetry is the retry hint where no holder can be reached.
	blindRetry = mn.Second
)

// waiter is a request that waits for a token.
type waiter struct {
	// until is when the request stops waiting.
	until mn.Millis
	// done receives the verdict, once.
	done chan error
	// lead is closed when the waiter has to run the account's loop.
	lead chan struct{}
}

// peer is what an account knows of another holder.
type peer struct {
	// askAt is the instant from which the holder may be asked again.
	askAt mn.Millis
	// down says that the holder didn't answer when last asked.
	down bool
}

// account is a customer as seen by one process: the share it holds, and the
// requests that wait for a token. It is guarded by the Book's lock.
type account struct {
	share
	customer mn.Customer
	division division
	waiters  []*waiter
	peers    map[mn.VMID]peer
	// next is the index in division.holders at which to look for a lender.
	next int
	// most holds, for each VM, the largest fraction that a process there may
	// act on: that of the divisions since one that is settled. It is nil where
	// earlier divisions are not known.
	most map[mn.VMID]float64
	// asking says that a request for a loan is on its way.
	asking bool
}

func newAccount(c mn.Customer, now mn.Millis) *account {
	a := &account{customer: c, peers: map[mn.VMID]peer{}, most: map[mn.VMID]float64{}}
	a.at = now
	a.limit(c.Rate, c.Burst)
	return a
}

// divide takes a new division over. A share grows at once where no process
// can act on more than it has now, such as with a customer that is new.
func (a *account) divide(d division, self mn.VMID, off mn.Offset, now mn.Millis) {
	a.division = d
	a.divideAs(d.fraction(self), off)
	if a.most == nil {
		return
	}
	sum := 0.0
	for _, m := range d.holders {
		a.most[m.VM] = max(a.most[m.VM], d.fraction(m.VM))
	}
	for _, f := range a.most {
		sum += f
	}
	if sum > 1+epsilon {
		return
	}
	if a.wanted > a.fraction {
		a.accrue(now)
	}
	a.grow()
}

// settle forgets what processes acted on before the latest division, once it
// is in force.
func (a *account) settle(settled mn.Offset) {
	if settled < a.offset {
		return
	}
	a.most = map[mn.VMID]float64{}
	for _, m := range a.division.holders {
		a.most[m.VM] = a.division.fraction(m.VM)
	}
}

// lender returns the next holder to ask at now, or false if each has been
// asked too recently. Holders that didn't answer come last.
func (a *account) lender(self mn.VMID, now mn.Millis) (mn.Member, bool) {
	count := len(a.division.holders)
	found := -1
	for i := range count {
		at := (a.next + i) % count
		m := a.division.holders[at]
		p := a.peers[m.VM]
		if m.VM == self || p.askAt > now || found >= 0 && p.down {
			continue
		}
		found = at
		if !p.down {
			break
		}
	}
	if found < 0 {
		return mn.Member{}, false
	}
	a.next = found
	return a.division.holders[found], true
}

// answered notes that a holder granted less than it was asked for, or didn't
// answer at all.
func (a *account) answered(vm mn.VMID, short, down bool, now mn.Millis) {
	switch {
	case down:
		a.peers[vm] = peer{askAt: now + downSpan, down: true}
	case short:
		a.peers[vm] = peer{askAt: now + a.askSpan()}
	default:
		delete(a.peers, vm)
	}
}

func (a *account) askSpan() mn.Millis {
	if a.rate <= 0 {
		return maxAskSpan
	}
	return max(minAskSpan, min(maxAskSpan, mn.Millis(1/a.rate)))
}

// expected returns how long it takes until tokens for count requests have
// accrued at the holders that answer.
func (a *account) expected(count int, self mn.VMID, lending bool) mn.Millis {
	missing := float64(count) - a.available()
	if missing <= 0 {
		return 0
	}
	reachable := a.fraction
	for _, m := range a.division.holders {
		if lending && m.VM != self && !a.peers[m.VM].down {
			reachable += 1 / float64(len(a.division.holders))
		}
	}
	if reachable <= 0 || a.rate <= 0 {
		return blindRetry
	}
	return mn.Millis(math.Ceil(missing / (a.rate * reachable)))
}

// serve gives tokens to waiters in order.
func (a *account) serve() {
	for len(a.waiters) > 0 && a.take() {
		a.waiters[0].done <- nil
		a.waiters = a.waiters[1:]
	}
}

// refuse ends the waiters for which keep returns an error.
func (a *account) refuse(check func(index int, w *waiter) error) {
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		err := check(len(kept), w)
		if err == nil {
			kept = append(kept, w)
			continue
		}
		w.done <- err
	}
	a.waiters = kept
}

// abandon drops a waiter whose caller has gone. It returns false if the waiter
// was answered before.
func (a *account) abandon(w *waiter) bool {
	for i, x := range a.waiters {
		if x == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return true
		}
	}
	return false
}
