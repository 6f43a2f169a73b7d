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
	// borrowTimeout bounds one request for a loan.
	borrowTimeout = 50 * mn.Millisecond
	// tickInterval is the span between checks whether a division is settled.
	tickInterval = 50 * mn.Millisecond
)

// Counters of all books of the process.
var (
	admitted        = expvar.NewInt("rates_admitted")
	rejected        = expvar.NewInt("rates_refused")
	loansRequested  = expvar.NewInt("rates_loans_asked")
	loansUnanswered = expvar.NewInt("rates_loans_unanswered")
	waited          = expvar.NewInt("rates_waited")
)

// Freshness tells whether this process may act on what it read of the control
// stream, and what every other process that may act has read.
type Freshness interface {
	mn.FreshnessChecker
	// Settled returns an offset such that each process which is current, now
	// or later, has folded the control stream at least up to it.
	Settled() mn.Offset
}

// Loan asks a holder for tokens of a customer's bucket.
type Loan struct {
	// ID makes the loan idempotent.
	ID       string
	Customer mn.CustomerID
	// Amount is in requests.
	Amount float64
}

// LoanClient asks other holders for loans.
type LoanClient interface {
	// Borrow returns the amount that the holder granted. An error leaves it
	// unknown whether anything was granted; that is then lost.
	Borrow(ctx context.Context, holder mn.Member, loan Loan) (float64, error)
}

// Config has what a Book depends on.
type Config struct {
	VM          mn.VMID
	Incarnation mn.Incarnation
	Clock       mn.Clock
	Freshness   Freshness
	// LoanClient reaches other holders; nil leaves each entry to its own share.
	LoanClient LoanClient
	// MaxHolders bounds how many entries hold shares; 0 means [DefaultMaxHolders].
	MaxHolders int
	// MaxWait bounds how long a request waits; 0 means [DefaultMaxWait].
	MaxWait mn.Millis
}

// Ledger holds this process's shares of all customers' buckets. It implements
// [mn.Limiter] and is safe for concurrent use.
type Ledger struct {
	Config

	viewsMu      sync.Mutex
	pendingViews []*mn.View

	mu       sync.Mutex
	offset   mn.Offset
	accounts map[mn.CustomerID]*account
	// missedViews says that not every offset was seen, held which customers have ever
	// had a holder.
	missedViews bool
	everHeld    map[mn.CustomerID]bool
}

// New returns a book before the first view.
func New(c Config) *Ledger {
	if c.MaxHolders <= 0 {
		c.MaxHolders = DefaultMaxHolders
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	return &Ledger{Config: c, accounts: map[mn.CustomerID]*account{}, everHeld: map[mn.CustomerID]bool{}}
}

// Update takes the next view. It has to be called for every offset in order,
// before the view is in force for [Currency]; a gap gives up all shares until
// the view after it is settled. It never blocks.
func (b *Ledger) Update(v *mn.View) {
	b.viewsMu.Lock()
	defer b.viewsMu.Unlock()
	b.pendingViews = append(b.pendingViews, v)
}

// Run brings larger shares in force as they become due, until ctx is done.
func (b *Ledger) Run(ctx context.Context) error {
	for {
		b.Tick()
		if err := b.Clock.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

// Tick brings larger shares in force that are due.
func (b *Ledger) Tick() {
	settled := b.Freshness.Settled()
	if b.Freshness.CheckCurrent() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyPendingViews()
	now := b.Clock.Now()
	for _, a := range b.accounts {
		b.refreshAccount(a, now, settled)
		a.serveWaiters()
	}
}

func (b *Ledger) refreshAccount(a *account, now mn.Millis, settled mn.Offset) {
	a.refresh(now, settled)
	if !a.pending {
		a.settleDivision(settled)
	}
}

// Ready says whether every share that this process is to hold is in force.
func (b *Ledger) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.accounts {
		if a.pending {
			return false
		}
	}
	return b.offset > 0
}

// CanAdmit says whether tokens can be had: from this process's shares or, as
// far as ask returns something, from another holder's.
func (b *Ledger) CanAdmit(ask func(holder mn.Member, l Loan) float64) bool {
	b.mu.Lock()
	b.applyPendingViews()
	var holders []mn.Member
	var loan Loan
	for id, a := range b.accounts {
		if a.fraction > 0 {
			b.mu.Unlock()
			return true
		}
		holders, loan = a.division.holders, Loan{ID: uuid.NewString(), Customer: id, Amount: epsilon}
		break
	}
	b.mu.Unlock()
	for _, m := range holders {
		if m.VM != b.VM && ask(m, loan) > 0 {
			return true
		}
	}
	return len(holders) == 0
}

// applyPendingViews applies the queued views. The caller holds the lock.
func (b *Ledger) applyPendingViews() {
	b.viewsMu.Lock()
	views := b.pendingViews
	b.pendingViews = nil
	b.viewsMu.Unlock()
	for _, v := range views {
		b.applyView(v)
	}
}

func (b *Ledger) applyView(v *mn.View) {
	if v.Offset <= b.offset {
		return
	}
	now := b.Clock.Now()
	if v.Offset != b.offset+1 {
		b.resetAll(now)
	}
	b.offset = v.Offset
	candidates := candidatesOf(v)
	fresh := !b.missedViews && v.Roster[b.VM].Incarnation == b.Incarnation
	for id := range b.accounts {
		if _, ok := v.Customer(id); !ok {
			b.dropCustomer(id)
		}
	}
	for _, r := range v.Resources {
		if c := r.Resource.Customer; c != nil {
			b.applyCustomer(*c, candidates, fresh, now)
		}
	}
}

// resetAll gives all shares up, since divisions may have been missed.
func (b *Ledger) resetAll(now mn.Millis) {
	b.missedViews = true
	for _, a := range b.accounts {
		a.reset(now)
		a.maxFractions = nil
		a.division = division{}
	}
}

func (b *Ledger) dropCustomer(id mn.CustomerID) {
	b.accounts[id].rejectWaiters(func(int, *waiter) error {
		return mn.Errorf(mn.Unauthenticated, "customer %q is no longer declared", id)
	})
	delete(b.accounts, id)
}

// applyCustomer takes a customer and its division over. With fresh set, this
// process is on the roster and has seen all of the stream, so that the first
// holders of a customer's bucket may start full.
func (b *Ledger) applyCustomer(c mn.Customer, candidates candidateSet, fresh bool, now mn.Millis) {
	a, ok := b.accounts[c.ID]
	if !ok {
		a = newAccount(c, now)
		if b.missedViews || b.everHeld[c.ID] {
			a.maxFractions = nil
		}
		b.accounts[c.ID] = a
	}
	if a.customer != c {
		a.customer = c
		a.setLimits(c.Rate, c.Burst)
	}
	d := newDivision(c, candidates, b.MaxHolders)
	if ok && d.sameHolders(a.division) && len(d.holders) > 0 {
		a.division = d
		return
	}
	a.applyDivision(d, b.VM, b.offset, now)
	if len(d.holders) == 0 {
		return
	}
	if fresh && !b.everHeld[c.ID] {
		a.fill()
	}
	b.everHeld[c.ID] = true
}

// Lend grants a loan from this process's own share, or 0.
func (b *Ledger) Lend(l Loan) float64 {
	a, unlock, err := b.openAccount(l.Customer)
	if err != nil {
		return 0
	}
	defer unlock()
	a.serveWaiters()
	return a.lend(l.ID, l.Amount)
}

// openAccount returns a customer's account, up to date and locked, if this process
// is current.
func (b *Ledger) openAccount(id mn.CustomerID) (*account, func(), error) {
	settled := b.Freshness.Settled()
	if err := b.Freshness.CheckCurrent(); err != nil {
		return nil, nil, err
	}
	b.mu.Lock()
	b.applyPendingViews()
	a, ok := b.accounts[id]
	if !ok {
		b.mu.Unlock()
		return nil, nil, mn.Errorf(mn.NotCurrent, "customer %q is not known here yet", id)
	}
	b.refreshAccount(a, b.Clock.Now(), settled)
	return a, b.mu.Unlock, nil
}
