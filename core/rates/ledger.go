package rates

import (
	"context"
	"expvar"
	"sync"

	"github.com/google/uuid"

	mn "mustardnotch"
)

const (
	// DefaultMaxWait is how long a request waits for a token by default.
	DefaultMaxWait = 200 * mn.Millisecond
	// borrowTimeout is the timeout of one loan request.
	borrowTimeout = 50 * mn.Millisecond
	// tickInterval is the interval at which Run calls Tick.
	tickInterval = 50 * mn.Millisecond
)

// Counters over all ledgers of the process.
var (
	admitted        = expvar.NewInt("rates_admitted")
	rejected        = expvar.NewInt("rates_refused")
	loansRequested  = expvar.NewInt("rates_loans_asked")
	loansUnanswered = expvar.NewInt("rates_loans_unanswered")
	waited          = expvar.NewInt("rates_waited")
)

// Freshness reports whether this process may act on what it has read of the
// control stream, and how far all other processes that may act have read.
type Freshness interface {
	mn.FreshnessChecker
	// Settled returns an offset such that every process that is current, now or
	// later, has applied the control stream at least up to it.
	Settled() mn.Offset
}

// Loan is a request to a holder for tokens of a customer's bucket.
type Loan struct {
	// ID makes the loan idempotent: a repeat gets the same grant.
	ID       string
	Customer mn.CustomerID
	// Amount is the number of requests to admit, which may be fractional.
	Amount float64
}

// LoanClient sends loan requests to other holders.
type LoanClient interface {
	// Borrow returns the amount that the holder granted. After an error it is
	// unknown whether the holder granted anything; tokens that it did grant are
	// lost.
	Borrow(ctx context.Context, holder mn.Member, loan Loan) (float64, error)
}

// Config configures a [Ledger].
type Config struct {
	VM          mn.VMID
	Incarnation mn.Incarnation
	Clock       mn.Clock
	Freshness   Freshness
	// LoanClient reaches other holders. If it is nil, this process admits from
	// its own share only.
	LoanClient LoanClient
	// MaxHolders is the maximum number of holders of a bucket; 0 means
	// [DefaultMaxHolders].
	MaxHolders int
	// MaxWait is the maximum time that a request waits for a token; 0 means
	// [DefaultMaxWait].
	MaxWait mn.Millis
}

// Ledger holds the shares of this process in all customers' buckets. It
// implements [mn.Limiter] and is safe for concurrent use.
type Ledger struct {
	Config

	// viewsMu guards pendingViews apart from mu, so that Update never waits for
	// the accounts.
	viewsMu      sync.Mutex
	pendingViews []*mn.View

	mu       sync.Mutex
	offset   mn.Offset
	accounts map[mn.CustomerID]*account
	// missedViews reports whether the view of some offset was never applied.
	missedViews bool
	// everHeld contains the customers whose bucket had a holder in some view.
	everHeld map[mn.CustomerID]bool
}

// New returns a ledger without accounts, to which no view has been applied.
func New(c Config) *Ledger {
	if c.MaxHolders <= 0 {
		c.MaxHolders = DefaultMaxHolders
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	return &Ledger{Config: c, accounts: map[mn.CustomerID]*account{}, everHeld: map[mn.CustomerID]bool{}}
}

// Update queues the next view, to be applied before the next use of an account.
// It must be called for every offset in order, before [Freshness] counts this
// process as having read the view. After a skipped offset all shares are empty
// until the view after it is settled. Update doesn't wait for requests in
// progress.
func (l *Ledger) Update(v *mn.View) {
	l.viewsMu.Lock()
	defer l.viewsMu.Unlock()
	l.pendingViews = append(l.pendingViews, v)
}

// Run calls [Ledger.Tick] periodically until ctx is done.
func (l *Ledger) Run(ctx context.Context) error {
	for {
		l.Tick()
		if err := l.Clock.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

// Tick applies pending views and the larger shares that are due, and serves
// waiters. It does nothing while this process is not current.
func (l *Ledger) Tick() {
	settled := l.Freshness.Settled()
	if l.Freshness.CheckCurrent() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPendingViews()
	now := l.Clock.Now()
	for _, a := range l.accounts {
		l.refreshAccount(a, now, settled)
		a.serveWaiters()
	}
}

// refreshAccount brings a's share up to date.
func (l *Ledger) refreshAccount(a *account, now mn.Millis, settled mn.Offset) {
	a.refresh(now, settled)
	if !a.pending {
		a.settleDivision(settled)
	}
}

// Ready reports whether a view has been applied and every share has the fraction
// of its latest division.
func (l *Ledger) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if a.pending {
			return false
		}
	}
	return l.offset > 0
}

// CanAdmit reports whether this process can get tokens: from a share of its own
// or, if ask returns a positive grant, from another holder. It checks only
// one arbitrary customer and asks for a negligible amount. Without customers or
// holders it returns true.
func (l *Ledger) CanAdmit(ask func(holder mn.Member, loan Loan) float64) bool {
	l.mu.Lock()
	l.applyPendingViews()
	var holders []mn.Member
	var loan Loan
	for id, a := range l.accounts {
		if a.fraction > 0 {
			l.mu.Unlock()
			return true
		}
		holders, loan = a.division.holders, Loan{ID: uuid.NewString(), Customer: id, Amount: epsilon}
		break
	}
	l.mu.Unlock()
	for _, m := range holders {
		if m.VM != l.VM && ask(m, loan) > 0 {
			return true
		}
	}
	return len(holders) == 0
}

// applyPendingViews applies the queued views in order. The caller must hold mu.
func (l *Ledger) applyPendingViews() {
	l.viewsMu.Lock()
	views := l.pendingViews
	l.pendingViews = nil
	l.viewsMu.Unlock()
	for _, v := range views {
		l.applyView(v)
	}
}

// applyView updates the accounts according to v. Views that were applied before
// are ignored.
func (l *Ledger) applyView(v *mn.View) {
	if v.Offset <= l.offset {
		return
	}
	now := l.Clock.Now()
	if v.Offset != l.offset+1 {
		l.resetAll(now)
	}
	l.offset = v.Offset
	candidates := candidatesOf(v)
	fresh := !l.missedViews && v.Roster[l.VM].Incarnation == l.Incarnation
	for id := range l.accounts {
		if _, ok := v.Customer(id); !ok {
			l.dropCustomer(id)
		}
	}
	for _, r := range v.Resources {
		if c := r.Resource.Customer; c != nil {
			l.applyCustomer(*c, candidates, fresh, now)
		}
	}
}

// resetAll gives up all shares, because divisions may have been missed.
func (l *Ledger) resetAll(now mn.Millis) {
	l.missedViews = true
	for _, a := range l.accounts {
		a.reset(now)
		a.maxFractions = nil
		a.division = division{}
	}
}

// dropCustomer removes the account of a deleted customer and rejects its waiters.
func (l *Ledger) dropCustomer(id mn.CustomerID) {
	l.accounts[id].rejectWaiters(func(int, *waiter) error {
		return mn.Errorf(mn.Unauthenticated, "customer %q is no longer declared", id)
	})
	delete(l.accounts, id)
}

// applyCustomer updates the limits and the division of c. fresh reports whether
// this process is on the roster and has read the whole stream; the first holders
// of a customer's bucket may then start with full shares.
func (l *Ledger) applyCustomer(c mn.Customer, candidates candidateSet, fresh bool, now mn.Millis) {
	a, ok := l.accounts[c.ID]
	if !ok {
		a = newAccount(c, now)
		if l.missedViews || l.everHeld[c.ID] {
			a.maxFractions = nil
		}
		l.accounts[c.ID] = a
	}
	if a.customer != c {
		a.customer = c
		a.setLimits(c.Rate, c.Burst)
	}
	d := newDivision(c, candidates, l.MaxHolders)
	if ok && d.sameHolders(a.division) && len(d.holders) > 0 {
		a.division = d
		return
	}
	a.applyDivision(d, l.VM, l.offset, now)
	if len(d.holders) == 0 {
		return
	}
	if fresh && !l.everHeld[c.ID] {
		a.fill()
	}
	l.everHeld[c.ID] = true
}

// Lend grants a loan from this process's own share and returns the amount, 0 if
// the share is empty or this process is not current. Waiters here come first.
func (l *Ledger) Lend(loan Loan) float64 {
	a, unlock, err := l.openAccount(loan.Customer)
	if err != nil {
		return 0
	}
	defer unlock()
	a.serveWaiters()
	return a.lend(loan.ID, loan.Amount)
}

// openAccount returns a customer's account, up to date and locked, and a function
// that unlocks it. It fails if this process is not current.
func (l *Ledger) openAccount(id mn.CustomerID) (*account, func(), error) {
	settled := l.Freshness.Settled()
	if err := l.Freshness.CheckCurrent(); err != nil {
		return nil, nil, err
	}
	l.mu.Lock()
	l.applyPendingViews()
	a, ok := l.accounts[id]
	if !ok {
		l.mu.Unlock()
		return nil, nil, mn.Errorf(mn.NotCurrent, "customer %q is not in the configuration that this process has applied", id)
	}
	l.refreshAccount(a, l.Clock.Now(), settled)
	return a, l.mu.Unlock, nil
}
