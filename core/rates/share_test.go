package rates

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// TestNarrowCases holds schedules that random ones seldom reach.
func TestNarrowCases(t *testing.T) {
	c := mn.Customer{ID: "c", Rate: 10, Burst: 6}
	read := func(w *world, ps ...int) {
		for _, i := range ps {
			w.procs[i].read(mn.Offset(len(w.views)), false)
		}
		w.settled = mn.Offset(len(w.views))
	}
	drain := func(w *world, o *naive, ps ...int) {
		for _, i := range ps {
			for w.procs[i].take(c.ID) {
				o.take(w.clock.Now())
			}
		}
	}
	tick := func(w *world, span mn.Millis) {
		w.clock.Advance(span)
		for _, p := range w.procs {
			p.book.Tick()
		}
	}
	cases := []struct {
		name string
		run  func(w *world, o *naive)
	}{
		{"a loan counts against the cap to its last instant", func(w *world, o *naive) {
			w.procs[0].book.Lend(Loan{ID: "1", Customer: c.ID, Amount: 2})
			w.clock.Advance(LoanTTL - 1)
			o.accrue(w.clock.Now())
			o.level -= 2 // spent by a process that is none of these
			w.clock.Advance(lifeMargin + 1)
		}},
		{"a smaller share applies to the span before it was read of", func(w *world, o *naive) {
			w.toggle(2)
			read(w, 0, 1, 2)
			for range 3 {
				tick(w, mn.Second)
			}
			drain(w, o, 0, 1)
			w.toggle(2)
			read(w, 1, 2)
			tick(w, 0)
			tick(w, LoanTTL+lifeMargin)
			tick(w, 340)
			drain(w, o, 1, 2)
			read(w, 0)
		}},
		{"a share grows only once loans of its former holder have ended", func(w *world, o *naive) {
			c := mn.Customer{ID: c.ID, Rate: 100, Burst: c.Burst}
			o.rate = c.Rate
			w.append(w.head(), c)
			read(w, 0, 1, 2)
			w.procs[2].book.Lend(Loan{ID: "1", Customer: c.ID, Amount: 2})
			w.toggle(2)
			read(w, 0, 1)
			for range 9 {
				tick(w, 11)
			}
			o.accrue(w.clock.Now())
			o.level -= 2 // spent by a process that is none of these
		}},
		{"a process that skips offsets gives its share up", func(w *world, o *naive) {
			w.procs[0].cut = true
			w.toggle(0)
			read(w, 1, 2)
			tick(w, 0)
			tick(w, LoanTTL+lifeMargin)
			tick(w, mn.Second)
			drain(w, o, 1, 2)
			w.toggle(0)
			w.procs[0].read(mn.Offset(len(w.views)), true)
			read(w, 1, 2)
			w.procs[0].cut = false
		}},
		{"a repeated loan is granted once", func(w *world, o *naive) {
			for range 2 {
				require.EqualValues(t, 1, w.procs[0].book.Lend(Loan{ID: "1", Customer: c.ID, Amount: 1}))
			}
			require.EqualValues(t, 1, w.procs[0].book.accounts[c.ID].available())
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(3, c)
			w.warm()
			o := newNaive(c.Rate, c.Burst, w.clock.Now())
			tc.run(w, o)
			w.checkAvailable(t, o)
		})
	}
}

// lenders connects books directly.
type lenders struct {
	books map[mn.VMID]*Ledger
	down  map[mn.VMID]bool
}

func (l *lenders) Borrow(_ context.Context, m mn.Member, loan Loan) (float64, error) {
	if l.down[m.VM] {
		return 0, errors.New("down")
	}
	return l.books[m.VM].Lend(loan), nil
}

func lendingWorld(c mn.Customer, count int) (*world, *lenders) {
	w := newWorld(count, c)
	l := &lenders{books: map[mn.VMID]*Ledger{}, down: map[mn.VMID]bool{}}
	for _, p := range w.procs {
		p.book.LoanClient = l
		l.books[p.vm] = p.book
	}
	w.warm()
	return w, l
}

// admit runs Admit while time goes on.
func (w *world) admit(t *testing.T, b *Ledger, c mn.Customer) error {
	done := make(chan error, 1)
	go func() { done <- b.Admit(t.Context(), c, 0) }()
	for {
		select {
		case err := <-done:
			return err
		case <-time.After(100 * time.Microsecond):
			w.clock.Advance(1)
		}
	}
}

func TestAdmitBorrowsBeforeItRefuses(t *testing.T) {
	c := mn.Customer{ID: "c", Rate: 1, Burst: 7}
	w, l := lendingWorld(c, 3)
	b := w.procs[0].book
	for range 7 {
		require.NoError(t, w.admit(t, b, c))
	}
	err := mn.AsError(w.admit(t, b, c))
	require.Equal(t, mn.RateExceeded, err.Code)
	require.Equal(t, mn.OutcomeNotRun, err.Outcome)
	require.InDelta(t, 1000, float64(err.RetryAfter), 150)
	w.clock.Advance(err.RetryAfter)
	require.NoError(t, w.admit(t, b, c), "the retry hint is true")

	l.down["vm-1"], l.down["vm-2"] = true, true
	w.clock.Advance(maxAskSpan) // so that both are asked again
	b.accounts["c"].reset(w.clock.Now())
	b.accounts["c"].grow()
	err = mn.AsError(w.admit(t, b, c))
	require.Equal(t, mn.RateExceeded, err.Code)
	require.InDelta(t, 3100, float64(err.RetryAfter), 150, "only a third of the bucket can be reached")
}

func TestAdmitRefusesWhileNotCurrent(t *testing.T) {
	c := mn.Customer{ID: "c", Rate: 1, Burst: 6}
	w, _ := lendingWorld(c, 2)
	w.procs[0].cut = true
	err := mn.AsError(w.procs[0].book.Admit(t.Context(), c, 0))
	require.Equal(t, mn.NotCurrent, err.Code)
	require.Zero(t, w.procs[0].book.Lend(Loan{ID: "1", Customer: "c", Amount: 1}))
}
