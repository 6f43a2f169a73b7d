package rates

import (
	"context"

	"github.com/google/uuid"

	mn "mustardnotch"
)

// Admit implements [mn.Limiter]. A request that finds no token here waits up
// to the Book's patience while tokens are borrowed or accrue; it is refused at
// once if that can't be enough.
func (b *Ledger) Admit(ctx context.Context, c mn.Customer, deadline mn.Millis) error {
	w, err := b.takeOrEnqueue(c.ID, deadline)
	if err == nil && w != nil {
		waited.Add(1)
		err = b.wait(ctx, c.ID, w)
	}
	if err == nil {
		err = b.Freshness.CheckCurrent()
	}
	if err != nil {
		rejected.Add(1)
		return err
	}
	admitted.Add(1)
	return nil
}

// takeOrEnqueue takes a token, or returns a waiter that is queued for one.
func (b *Ledger) takeOrEnqueue(id mn.CustomerID, deadline mn.Millis) (*waiter, error) {
	a, unlock, err := b.openAccount(id)
	if err != nil {
		return nil, err
	}
	defer unlock()
	a.serveWaiters()
	if len(a.waiters) == 0 && a.take() {
		return nil, nil
	}
	now := b.Clock.Now()
	w := &waiter{deadline: now + b.MaxWait, result: make(chan error, 1), promoted: make(chan struct{})}
	if deadline > 0 {
		w.deadline = min(w.deadline, deadline)
	}
	if b.exhausted(a, now) {
		if err := b.checkWait(a, len(a.waiters), w, now); err != nil {
			return nil, err
		}
	}
	a.waiters = append(a.waiters, w)
	if len(a.waiters) == 1 {
		close(w.promoted)
	}
	return w, nil
}

// exhausted says that there is nobody left to ask for tokens, or that more
// requests wait than all holders together may admit in time.
func (b *Ledger) exhausted(a *account, now mn.Millis) bool {
	if float64(len(a.waiters)) >= a.burst+a.rate*float64(b.MaxWait) {
		return true
	}
	_, ok := b.nextLender(a, now)
	return !ok && !a.borrowing
}

func (b *Ledger) nextLender(a *account, now mn.Millis) (mn.Member, bool) {
	if b.LoanClient == nil {
		return mn.Member{}, false
	}
	return a.nextLender(b.VM, now)
}

// checkWait refuses the waiter at index of the queue if tokens can't accrue in time
// for it and those before it.
func (b *Ledger) checkWait(a *account, index int, w *waiter, now mn.Millis) error {
	wait := a.expectedWait(index+1, b.VM, b.LoanClient != nil)
	if now < w.deadline && now+wait <= w.deadline {
		return nil
	}
	hint := wait + LoanTTL + clockDriftMargin // loans still count against their lenders' caps
	return mn.Errorf(mn.RateExceeded, "customer %q: rate %g a second, burst %g", a.customer.ID, a.customer.Rate, a.customer.Burst).WithRetryAfter(hint)
}

// wait blocks until w is answered. One waiter at a time runs the account's
// loop for all.
func (b *Ledger) wait(ctx context.Context, id mn.CustomerID, w *waiter) error {
	defer b.promoteNext(id, w)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return b.abandonWait(ctx, id, w)
	case <-w.promoted:
	case <-b.afterDeadline(ctx, w):
		return b.timeOut(id, w)
	}
	for ctx.Err() == nil {
		select {
		case err := <-w.result:
			return err
		default:
		}
		b.serveOrBorrow(ctx, id)
	}
	return b.abandonWait(ctx, id, w)
}

// afterDeadline returns a channel that is closed once w has waited for as long as it
// may, should whoever runs the loop be held up.
func (b *Ledger) afterDeadline(ctx context.Context, w *waiter) <-chan struct{} {
	expired := make(chan struct{})
	go func() {
		defer close(expired)
		_ = b.Clock.Sleep(ctx, w.deadline-b.Clock.Now()+pollInterval)
	}()
	return expired
}

// timeOut refuses w unless it has been answered.
func (b *Ledger) timeOut(id mn.CustomerID, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.accounts[id]; ok && a.removeWaiter(w) {
		return mn.Errorf(mn.RateExceeded, "customer %q: no token in time", id).WithRetryAfter(a.expectedWait(1, b.VM, b.LoanClient != nil) + LoanTTL)
	}
	return <-w.result
}

// abandonWait gives up waiting because the caller has gone.
func (b *Ledger) abandonWait(ctx context.Context, id mn.CustomerID, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.accounts[id]; ok {
		a.removeWaiter(w)
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return mn.Errorf(mn.DeadlineTooShort, "customer %q: no token before the deadline", id)
	}
	return mn.Errorf(mn.Cancelled, "cancelled while waiting for a token").WithOutcome(mn.OutcomeNotRun)
}

// promoteNext hands the loop on to the first waiter, if it was w's to run.
func (b *Ledger) promoteNext(id mn.CustomerID, w *waiter) {
	select {
	case <-w.promoted:
	default:
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.accounts[id]
	if !ok || len(a.waiters) == 0 {
		return
	}
	select {
	case <-a.waiters[0].promoted:
	default:
		close(a.waiters[0].promoted)
	}
}

// serveOrBorrow serves the waiters of a customer as far as possible, and then borrows
// from one holder, or sleeps a little if there is none to ask.
func (b *Ledger) serveOrBorrow(ctx context.Context, id mn.CustomerID) {
	a, unlock, err := b.openAccount(id)
	if err != nil {
		b.rejectAll(id, err)
		return
	}
	now := b.Clock.Now()
	a.serveWaiters()
	m, ok := b.nextLender(a, now)
	a.rejectWaiters(func(i int, w *waiter) error {
		if ok && now < w.deadline {
			return nil
		}
		return b.checkWait(a, i, w, now)
	})
	need := float64(len(a.waiters)) - a.available()
	a.borrowing = ok && need > 0
	unlock()
	switch {
	case need <= 0:
	case ok:
		b.borrow(ctx, id, m, need)
	default:
		b.Clock.Sleep(ctx, pollInterval)
	}
}

func (b *Ledger) rejectAll(id mn.CustomerID, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.accounts[id]; ok {
		a.rejectWaiters(func(int, *waiter) error { return err })
	}
}

// borrow asks one holder for a loan and hands out what it granted.
func (b *Ledger) borrow(ctx context.Context, id mn.CustomerID, m mn.Member, amount float64) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout.Duration())
	defer cancel()
	loan := Loan{ID: uuid.NewString(), Customer: id, Amount: amount}
	asked := b.Clock.Now()
	loansRequested.Add(1)
	granted, err := b.LoanClient.Borrow(ctx, m, loan)
	if err != nil {
		loansUnanswered.Add(1)
	}
	a, unlock, openErr := b.openAccount(id)
	if openErr != nil {
		return
	}
	defer unlock()
	a.borrowing = false
	a.recordAnswer(m.VM, granted < amount-epsilon, err != nil, b.Clock.Now())
	if err == nil {
		a.addBorrowed(granted, asked)
	}
	a.serveWaiters()
}
