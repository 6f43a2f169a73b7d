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
	// settleDelay is how long after an offset was established a process that hasn't
	// applied it may still be current: the 3 s for which evidence is valid, and 1 %
	// for the drift between two clocks over that time.
	settleDelay = 3*mn.Second + 30*mn.Millisecond
	// establishTimeout limits one attempt to establish a division of the rates.
	establishTimeout = 1 * mn.Second
	// shareTimeout is how long an entry waits until it can get tokens. After that it
	// is ready without.
	shareTimeout = 8 * mn.Second
)

// establishedOffset is an offset and the time at which this process learnt that it is
// established.
type establishedOffset struct {
	offset mn.Offset
	at     mn.Millis
}

// rateLimits holds a process's shares of customers' rates. Entries admit requests from
// their shares and borrow from others; agents only lend.
type rateLimits struct {
	*fresh.Monitor
	base   *base
	ledger *rates.Ledger

	mu        sync.Mutex
	settled   mn.Offset
	unsettled []establishedOffset
}

func newRateLimits(b *base) *rateLimits {
	l := &rateLimits{Monitor: b.config.monitor, base: b}
	l.ledger = rates.New(rates.Config{
		VM:          b.self.VM,
		Incarnation: b.self.Incarnation,
		Clock:       b.clock,
		Freshness:   l,
		LoanClient:  b.config.peers,
	})
	b.controlState.OnView(l.ledger.Update)
	b.config.lender = peer.ShareLender{Lend: l.ledger.Lend}
	return l
}

// Settled implements [rates.Freshness].
func (l *rateLimits) Settled() mn.Offset {
	off := l.Established()
	now := l.base.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.unsettled); off > l.settled && (n == 0 || off > l.unsettled[n-1].offset) {
		l.unsettled = append(l.unsettled, establishedOffset{off, now})
	}
	for len(l.unsettled) > 0 && now-l.unsettled[0].at >= settleDelay {
		l.settled = l.unsettled[0].offset
		l.unsettled = l.unsettled[1:]
	}
	return l.settled
}

// run keeps the shares up to date until ctx is done. While a share has yet to grow to its
// fraction of the latest division, it also keeps establishing that division.
func (l *rateLimits) run(ctx context.Context) error {
	go l.establish(ctx)
	_ = l.ledger.Run(ctx)
	return nil
}

// establish establishes the newest offset whenever a share isn't ready.
func (l *rateLimits) establish(ctx context.Context) {
	for ctx.Err() == nil {
		off := l.base.controlState.View().Offset
		if !l.ledger.Ready() && l.Established() < off {
			limited, cancel := context.WithTimeout(ctx, establishTimeout.Duration())
			_ = l.Establish(limited, off)
			cancel()
		}
		_ = l.base.clock.Sleep(ctx, retryPause)
	}
}

// awaitShare waits until the entry has tokens of its own or can borrow some, but no longer
// than shareTimeout.
func (l *rateLimits) awaitShare(ctx context.Context) {
	giveUpAt := l.base.clock.Now() + shareTimeout
	for ctx.Err() == nil && l.base.clock.Now() < giveUpAt {
		if l.ledger.CanAdmit(func(m mn.Member, loan rates.Loan) float64 { return l.borrow(ctx, m, loan) }) {
			return
		}
		_ = l.base.clock.Sleep(ctx, 10*mn.Millisecond)
	}
}

// borrow asks m for a loan and returns the amount granted, 0 if m doesn't answer.
func (l *rateLimits) borrow(ctx context.Context, m mn.Member, loan rates.Loan) float64 {
	ctx, cancel := context.WithTimeout(ctx, (50 * mn.Millisecond).Duration())
	defer cancel()
	granted, _ := l.base.config.peers.Borrow(ctx, m, loan)
	return granted
}
