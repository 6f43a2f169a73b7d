package node

import (
	"context"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/fresh"
	"mustardnotch/core/rates"
	"mustardnotch/io/peer"
)

const (
	// settleSpan is how long after an offset was established the last process
	// without it has stopped being current: the life of its evidence, with a
	// margin for the drift between two clocks over that time.
	settleSpan = 3*mn.Second + 30*mn.Millisecond
	// establishTimeout bounds one try to have a division established.
	establishTimeout = 1 * mn.Second
	// sharesPatience is how long an entry waits for tokens before it counts as
	// ready all the same.
	sharesPatience = 8 * mn.Second
)

// established is an offset and when this process learnt that it is
// established.
type established struct {
	offset mn.Offset
	at     mn.Millis
}

// limits holds a process's shares of customers' rates. Agents only lend.
type limits struct {
	*fresh.Monitor
	base *base
	book *rates.Ledger

	mu      sync.Mutex
	settled mn.Offset
	recent  []established
}

func newLimits(b *base) *limits {
	l := &limits{Monitor: b.config.monitor, base: b}
	l.book = rates.New(rates.Config{
		VM:          b.self.VM,
		Incarnation: b.self.Incarnation,
		Clock:       b.clock,
		Freshness:   l,
		LoanClient:  b.config.peers,
	})
	b.fold.OnView(l.book.Update)
	b.config.borrower = peer.ShareLender{Lend: l.book.Lend}
	return l
}

// Settled implements [rates.Freshness].
func (l *limits) Settled() mn.Offset {
	off := l.Established()
	now := l.base.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.recent); off > l.settled && (n == 0 || off > l.recent[n-1].offset) {
		l.recent = append(l.recent, established{off, now})
	}
	for len(l.recent) > 0 && now-l.recent[0].at >= settleSpan {
		l.settled = l.recent[0].offset
		l.recent = l.recent[1:]
	}
	return l.settled
}

// run keeps the shares up to date until ctx is done. While a share is to grow,
// it has the division established.
func (l *limits) run(ctx context.Context) error {
	go l.establish(ctx)
	_ = l.book.Run(ctx)
	return nil
}

func (l *limits) establish(ctx context.Context) {
	for ctx.Err() == nil {
		off := l.base.fold.View().Offset
		if !l.book.Ready() && l.Established() < off {
			limited, cancel := context.WithTimeout(ctx, establishTimeout.Duration())
			_ = l.Establish(limited, off)
			cancel()
		}
		_ = l.base.clock.Sleep(ctx, retryPause)
	}
}

// await returns once the entry has a share in force, or a holder can lend it
// tokens.
func (l *limits) await(ctx context.Context) {
	limit := l.base.clock.Now() + sharesPatience
	for ctx.Err() == nil && l.base.clock.Now() < limit {
		if l.book.CanAdmit(func(m mn.Member, loan rates.Loan) float64 { return l.ask(ctx, m, loan) }) {
			return
		}
		_ = l.base.clock.Sleep(ctx, 10*mn.Millisecond)
	}
}

func (l *limits) ask(ctx context.Context, m mn.Member, loan rates.Loan) float64 {
	ctx, cancel := context.WithTimeout(ctx, (50 * mn.Millisecond).Duration())
	defer cancel()
	granted, _ := l.base.config.peers.Borrow(ctx, m, loan)
	return granted
}
