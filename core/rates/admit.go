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
	w, err := b.enter(c.ID, deadline)
	if err == nil && w != nil {
		waitedFor.Add(1)
		err = b.wait(ctx, c.ID, w)
	}
	if err == nil {
		err = b.Freshness.CheckCurrent()
	}
	if err != nil {
		refused.Add(1)
		return err
	}
	admitted.Add(1)
	return nil
}

// enter takes a token, or returns a waiter that is queued for one.
func (b *Ledger) enter(id mn.CustomerID, deadline mn.Millis) (*waiter, error) {
	a, unlock, err := b.open(id)
	if err != nil {
		return nil, err
	}
	defer unlock()
	a.serve()
	if len(a.waiters) == 0 && a.take() {
		return nil, nil
	}
	now := b.Clock.Now()
	w := &waiter{until: now + b.MaxWait, done: make(chan error, 1), lead: make(chan struct{})}
	if deadline > 0 {
		w.until = min(w.until, deadline)
	}
	if b.exhausted(a, now) {
		if err := b.judge(a, len(a.waiters), w, now); err != nil {
			return nil, err
		}
	}
	a.waiters = append(a.waiters, w)
	if len(a.waiters) == 1 {
		close(w.lead)
	}
	return w, nil
}

// exhausted says that there is nobody left to ask for tokens, or that more
// requests wait than all holders together may admit in time.
func (b *Ledger) exhausted(a *account, now mn.Millis) bool {
	if float64(len(a.waiters)) >= a.burst+a.rate*float64(b.MaxWait) {
		return true
	}
	_, ok := b.lender(a, now)
	return !ok && !a.asking
}

func (b *Ledger) lender(a *account, now mn.Millis) (mn.Member, bool) {
	if b.LoanClient == nil {
		return mn.Member{}, false
	}
	return a.lender(b.VM, now)
}

// judge refuses the waiter at index of the queue if tokens can't accrue in time
// for it and those before it.
func (b *Ledger) judge(a *account, index int, w *waiter, now mn.Millis) error {
	span := a.expected(index+1, b.VM, b.LoanClient != nil)
	if now < w.until && now+span <= w.until {
		return nil
	}
	hint := span + LoanTTL + lifeMargin // loans still count against their lenders' caps
	return mn.Errorf(mn.RateExceeded, "customer %q: rate %g a second, burst %g", a.customer.ID, a.customer.Rate, a.customer.Burst).WithRetryAfter(hint)
}

// wait blocks until w is answered. One waiter at a time runs the account's
// loop for all.
func (b *Ledger) wait(ctx context.Context, id mn.CustomerID, w *waiter) error {
	defer b.pass(id, w)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return b.leave(ctx, id, w)
	case <-w.lead:
	case <-b.expiry(ctx, w):
		return b.giveUp(id, w)
	}
	for ctx.Err() == nil {
		select {
		case err := <-w.done:
			return err
		default:
		}
		b.step(ctx, id)
	}
	return b.leave(ctx, id, w)
}

// expiry returns a channel that is closed once w has waited for as long as it
// may, should whoever runs the loop be held up.
func (b *Ledger) expiry(ctx context.Context, w *waiter) <-chan struct{} {
	expired := make(chan struct{})
	go func() {
		defer close(expired)
		_ = b.Clock.Sleep(ctx, w.until-b.Clock.Now()+pollSpan)
	}()
	return expired
}

// giveUp refuses w unless it has been answered.
func (b *Ledger) giveUp(id mn.CustomerID, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.accounts[id]; ok && a.abandon(w) {
		return mn.Errorf(mn.RateExceeded, "customer %q: no token in time", id).WithRetryAfter(a.expected(1, b.VM, b.LoanClient != nil) + LoanTTL)
	}
	return <-w.done
}

// leave gives up waiting because the caller has gone.
func (b *Ledger) leave(ctx context.Context, id mn.CustomerID, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.accounts[id]; ok {
		a.abandon(w)
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return mn.Errorf(mn.DeadlineTooShort, "customer %q: no token before the deadline", id)
	}
	return mn.Errorf(mn.Cancelled, "cancelled while waiting for a token").WithOutcome(mn.OutcomeNotRun)
}

// pass hands the loop on to the first waiter, if it was w's to run.
func (b *Ledger) pass(id mn.CustomerID, w *waiter) {
	select {
	case <-w.lead:
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
	case <-a.waiters[0].lead:
	default:
		close(a.waiters[0].lead)
	}
}

// step serves the waiters of a customer as far as possible, and then borrows
// from one holder, or sleeps a little if there is none to ask.
func (b *Ledger) step(ctx context.Context, id mn.CustomerID) {
	a, unlock, err := b.open(id)
	if err != nil {
		b.refuseAll(id, err)
		return
	}
	now := b.Clock.Now()
	a.serve()
	m, ok := b.lender(a, now)
	a.refuse(func(i int, w *waiter) error {
		if ok && now < w.until {
			return nil
		}
		return b.judge(a, i, w, now)
	})
	need := float64(len(a.waiters)) - a.available()
	a.asking = ok && need > 0
	unlock()
	switch {
	case need <= 0:
	case ok:
		b.borrow(ctx, id, m, need)
	default:
		b.Clock.Sleep(ctx, pollSpan)
	}
}

func (b *Ledger) refuseAll(id mn.CustomerID, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.accounts[id]; ok {
		a.refuse(func(int, *waiter) error { return err })
	}
}

// borrow asks one holder for a loan and hands out what it granted.
func (b *Ledger) borrow(ctx context.Context, id mn.CustomerID, m mn.Member, amount float64) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout.Duration())
	defer cancel()
	loan := Loan{ID: uuid.NewString(), Customer: id, Amount: amount}
	asked := b.Clock.Now()
	borrowed.Add(1)
	granted, err := b.LoanClient.Borrow(ctx, m, loan)
	if err != nil {
		unserved.Add(1)
	}
	a, unlock, openErr := b.open(id)
	if openErr != nil {
		return
	}
	defer unlock()
	a.asking = false
	a.answered(m.VM, granted < amount-epsilon, err != nil, b.Clock.Now())
	if err == nil {
		a.hold(granted, asked)
	}
	a.serve()
}
