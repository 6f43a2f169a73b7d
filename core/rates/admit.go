package rates

import (
	"context"

	"github.com/google/uuid"

	mn "mustardnotch"
)

// Admit implements [mn.Limiter]. A request that finds no token waits for up to
// MaxWait while tokens accrue or are borrowed. It is rejected as soon as it's
// clear that neither can yield a token in time.
func (l *Ledger) Admit(ctx context.Context, c mn.Customer, deadline mn.Millis) error {
	w, err := l.takeOrEnqueue(c.ID, deadline)
	if err == nil && w != nil {
		waited.Add(1)
		err = l.wait(ctx, c.ID, w)
	}
	if err == nil {
		err = l.Freshness.CheckCurrent()
	}
	if err != nil {
		rejected.Add(1)
		return err
	}
	admitted.Add(1)
	return nil
}

// takeOrEnqueue takes a token and returns a nil waiter, or returns a waiter that
// it has queued.
func (l *Ledger) takeOrEnqueue(id mn.CustomerID, deadline mn.Millis) (*waiter, error) {
	a, unlock, err := l.openAccount(id)
	if err != nil {
		return nil, err
	}
	defer unlock()
	a.serveWaiters()
	if len(a.waiters) == 0 && a.take() {
		return nil, nil
	}
	now := l.Clock.Now()
	w := &waiter{deadline: now + l.MaxWait, result: make(chan error, 1), promoted: make(chan struct{})}
	if deadline > 0 {
		w.deadline = min(w.deadline, deadline)
	}
	if l.exhausted(a, now) {
		if err := l.checkWait(a, len(a.waiters), w, now); err != nil {
			return nil, err
		}
	}
	a.waiters = append(a.waiters, w)
	if len(a.waiters) == 1 {
		close(w.promoted)
	}
	return w, nil
}

// exhausted reports whether no holder is left to borrow from and no loan request
// is in flight, or more requests wait than all holders together can admit within
// MaxWait.
func (l *Ledger) exhausted(a *account, now mn.Millis) bool {
	if float64(len(a.waiters)) >= a.burst+a.rate*float64(l.MaxWait) {
		return true
	}
	_, ok := l.nextLender(a, now)
	return !ok && !a.borrowing
}

// nextLender returns the next holder to ask for a loan, if there is one.
func (l *Ledger) nextLender(a *account, now mn.Millis) (mn.Member, bool) {
	if l.LoanClient == nil {
		return mn.Member{}, false
	}
	return a.nextLender(l.VM, now)
}

// checkWait returns a rejection if tokens for w, the waiter at index of the queue,
// and for those in front of it can't accrue before w's deadline.
func (l *Ledger) checkWait(a *account, index int, w *waiter, now mn.Millis) error {
	wait := a.expectedWait(index+1, l.VM, l.LoanClient != nil)
	if now < w.deadline && now+wait <= w.deadline {
		return nil
	}
	hint := wait + LoanTTL + clockDriftMargin // Present loans count against their lenders' caps until they expire.
	return mn.Errorf(mn.RateExceeded, "customer %q exceeds its rate of %g requests per second with burst %g", a.customer.ID, a.customer.Rate, a.customer.Burst).WithRetryAfter(hint)
}

// wait blocks until w has a result, ctx is done or w's deadline has passed. One
// waiter at a time runs the borrow loop for all waiters of the account.
func (l *Ledger) wait(ctx context.Context, id mn.CustomerID, w *waiter) error {
	defer l.promoteNext(id, w)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return l.abandonWait(ctx, id, w)
	case <-w.promoted:
	case <-l.afterDeadline(ctx, w):
		return l.timeOut(id, w)
	}
	for ctx.Err() == nil {
		select {
		case err := <-w.result:
			return err
		default:
		}
		l.serveOrBorrow(ctx, id)
	}
	return l.abandonWait(ctx, id, w)
}

// afterDeadline returns a channel that is closed shortly after w's deadline. It
// ends the wait of w if the waiter that runs the loop is delayed.
func (l *Ledger) afterDeadline(ctx context.Context, w *waiter) <-chan struct{} {
	expired := make(chan struct{})
	go func() {
		defer close(expired)
		_ = l.Clock.Sleep(ctx, w.deadline-l.Clock.Now()+pollInterval)
	}()
	return expired
}

// timeOut rejects w unless it has a result, which it returns otherwise.
func (l *Ledger) timeOut(id mn.CustomerID, w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[id]; ok && a.removeWaiter(w) {
		return mn.Errorf(mn.RateExceeded, "customer %q: no token became available in time, maximum wait %d ms", id, l.MaxWait).WithRetryAfter(a.expectedWait(1, l.VM, l.LoanClient != nil) + LoanTTL)
	}
	return <-w.result
}

// abandonWait removes w from the queue because ctx is done.
func (l *Ledger) abandonWait(ctx context.Context, id mn.CustomerID, w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[id]; ok {
		a.removeWaiter(w)
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return mn.Errorf(mn.DeadlineTooShort, "customer %q: no token available before the request's deadline", id)
	}
	return mn.Errorf(mn.Cancelled, "customer %q: request cancelled while waiting for a token", id).WithOutcome(mn.OutcomeNotRun)
}

// promoteNext lets the first waiter run the borrow loop if w has been running
// it.
func (l *Ledger) promoteNext(id mn.CustomerID, w *waiter) {
	select {
	case <-w.promoted:
	default:
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[id]
	if !ok || len(a.waiters) == 0 {
		return
	}
	select {
	case <-a.waiters[0].promoted:
	default:
		close(a.waiters[0].promoted)
	}
}

// serveOrBorrow is one round of the borrow loop: it serves the waiters of a
// customer as far as possible, rejects those that can't be served in time, and
// borrows from one holder for the rest, or sleeps if there is none to ask.
func (l *Ledger) serveOrBorrow(ctx context.Context, id mn.CustomerID) {
	a, unlock, err := l.openAccount(id)
	if err != nil {
		l.rejectAll(id, err)
		return
	}
	now := l.Clock.Now()
	a.serveWaiters()
	m, ok := l.nextLender(a, now)
	a.rejectWaiters(func(i int, w *waiter) error {
		if ok && now < w.deadline {
			return nil
		}
		return l.checkWait(a, i, w, now)
	})
	need := float64(len(a.waiters)) - a.available()
	a.borrowing = ok && need > 0
	unlock()
	switch {
	case need <= 0:
	case ok:
		l.borrow(ctx, id, m, need)
	default:
		l.Clock.Sleep(ctx, pollInterval)
	}
}

// rejectAll ends all waiters of a customer with err.
func (l *Ledger) rejectAll(id mn.CustomerID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[id]; ok {
		a.rejectWaiters(func(int, *waiter) error { return err })
	}
}

// borrow requests a loan from one holder and serves waiters with the grant.
func (l *Ledger) borrow(ctx context.Context, id mn.CustomerID, m mn.Member, amount float64) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout.Duration())
	defer cancel()
	loan := Loan{ID: uuid.NewString(), Customer: id, Amount: amount}
	asked := l.Clock.Now()
	loansRequested.Add(1)
	granted, err := l.LoanClient.Borrow(ctx, m, loan)
	if err != nil {
		loansUnanswered.Add(1)
	}
	a, unlock, openErr := l.openAccount(id)
	if openErr != nil {
		return
	}
	defer unlock()
	a.borrowing = false
	a.recordAnswer(m.VM, granted < amount-epsilon, err != nil, l.Clock.Now())
	if err == nil {
		a.addBorrowed(granted, asked)
	}
	a.serveWaiters()
}
