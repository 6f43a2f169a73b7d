package rates

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
)

// TestNarrowCases runs schedules that the random test seldom reaches.
func TestNarrowCases(t *testing.T) {
	c := mn.Customer{ID: "c", Rate: 10, Burst: 6}
	readAll := func(w *cluster, ps ...int) {
		for _, i := range ps {
			w.processes[i].readUpTo(mn.Offset(len(w.views)), false)
		}
		w.settled = mn.Offset(len(w.views))
	}
	drain := func(w *cluster, oracle *singleBucket, ps ...int) {
		for _, i := range ps {
			for w.processes[i].take(c.ID) {
				oracle.take(w.clock.Now())
			}
		}
	}
	tick := func(w *cluster, duration mn.Millis) {
		w.clock.Advance(duration)
		for _, p := range w.processes {
			p.ledger.Tick()
		}
	}
	cases := []struct {
		name string
		run  func(w *cluster, oracle *singleBucket)
	}{
		{"a loan counts against the cap until it expires", func(w *cluster, oracle *singleBucket) {
			w.processes[0].ledger.Lend(Loan{ID: "1", Customer: c.ID, Amount: 2})
			w.clock.Advance(LoanTTL - 1)
			oracle.accrue(w.clock.Now())
			oracle.level -= 2 // Spent by a process outside the cluster.
			w.clock.Advance(clockDriftMargin + 1)
		}},
		{"a smaller share applies to the time before its change was read", func(w *cluster, oracle *singleBucket) {
			w.toggleMember(2)
			readAll(w, 0, 1, 2)
			for range 3 {
				tick(w, mn.Second)
			}
			drain(w, oracle, 0, 1)
			w.toggleMember(2)
			readAll(w, 1, 2)
			tick(w, 0)
			tick(w, LoanTTL+clockDriftMargin)
			tick(w, 340)
			drain(w, oracle, 1, 2)
			readAll(w, 0)
		}},
		{"a share grows only after loans of its former holder have expired", func(w *cluster, oracle *singleBucket) {
			c := mn.Customer{ID: c.ID, Rate: 100, Burst: c.Burst}
			oracle.rate = c.Rate
			w.appendView(w.lastView(), c)
			readAll(w, 0, 1, 2)
			w.processes[2].ledger.Lend(Loan{ID: "1", Customer: c.ID, Amount: 2})
			w.toggleMember(2)
			readAll(w, 0, 1)
			for range 9 {
				tick(w, 11)
			}
			oracle.accrue(w.clock.Now())
			oracle.level -= 2 // Spent by a process outside the cluster.
		}},
		{"a process that skips offsets gives up its share", func(w *cluster, oracle *singleBucket) {
			w.processes[0].partitioned = true
			w.toggleMember(0)
			readAll(w, 1, 2)
			tick(w, 0)
			tick(w, LoanTTL+clockDriftMargin)
			tick(w, mn.Second)
			drain(w, oracle, 1, 2)
			w.toggleMember(0)
			w.processes[0].readUpTo(mn.Offset(len(w.views)), true)
			readAll(w, 1, 2)
			w.processes[0].partitioned = false
		}},
		{"a repeated loan is granted once", func(w *cluster, oracle *singleBucket) {
			for range 2 {
				require.EqualValues(t, 1, w.processes[0].ledger.Lend(Loan{ID: "1", Customer: c.ID, Amount: 1}))
			}
			require.EqualValues(t, 1, w.processes[0].ledger.accounts[c.ID].available())
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newCluster(3, c)
			w.warmUp()
			oracle := newSingleBucket(c.Rate, c.Burst, w.clock.Now())
			tc.run(w, oracle)
			w.checkAvailable(t, oracle)
		})
	}
}

// directClient passes loan requests to ledgers in the same process.
type directClient struct {
	ledgers map[mn.VMID]*Ledger
	down    map[mn.VMID]bool
}

func (l *directClient) Borrow(_ context.Context, m mn.Member, loan Loan) (float64, error) {
	if l.down[m.VM] {
		return 0, errors.New("down")
	}
	return l.ledgers[m.VM].Lend(loan), nil
}

func newLendingCluster(c mn.Customer, count int) (*cluster, *directClient) {
	w := newCluster(count, c)
	client := &directClient{ledgers: map[mn.VMID]*Ledger{}, down: map[mn.VMID]bool{}}
	for _, p := range w.processes {
		p.ledger.LoanClient = client
		client.ledgers[p.vm] = p.ledger
	}
	w.warmUp()
	return w, client
}

// admit runs Admit while it advances the clock.
func (w *cluster) admit(t *testing.T, ledger *Ledger, c mn.Customer) error {
	done := make(chan error, 1)
	go func() { done <- ledger.Admit(t.Context(), c, 0) }()
	for {
		select {
		case err := <-done:
			return err
		case <-time.After(100 * time.Microsecond):
			w.clock.Advance(1)
		}
	}
}

func TestAdmitBorrowsBeforeRejecting(t *testing.T) {
	c := mn.Customer{ID: "c", Rate: 1, Burst: 7}
	w, client := newLendingCluster(c, 3)
	ledger := w.processes[0].ledger
	for range 7 {
		require.NoError(t, w.admit(t, ledger, c))
	}
	err := mn.AsError(w.admit(t, ledger, c))
	require.Equal(t, mn.RateExceeded, err.Code)
	require.Equal(t, mn.OutcomeNotRun, err.Outcome)
	require.InDelta(t, 1000, float64(err.RetryAfter), 150)
	w.clock.Advance(err.RetryAfter)
	require.NoError(t, w.admit(t, ledger, c), "a token is available after the retry hint")

	client.down["vm-1"], client.down["vm-2"] = true, true
	w.clock.Advance(maxAskInterval) // Now both are asked again.
	ledger.accounts["c"].reset(w.clock.Now())
	ledger.accounts["c"].applyTarget()
	err = mn.AsError(w.admit(t, ledger, c))
	require.Equal(t, mn.RateExceeded, err.Code)
	require.InDelta(t, 3100, float64(err.RetryAfter), 150, "only a third of the bucket is reachable")
}

func TestAdmitRejectsWhileNotCurrent(t *testing.T) {
	c := mn.Customer{ID: "c", Rate: 1, Burst: 6}
	w, _ := newLendingCluster(c, 2)
	w.processes[0].partitioned = true
	err := mn.AsError(w.processes[0].ledger.Admit(t.Context(), c, 0))
	require.Equal(t, mn.NotCurrent, err.Code)
	require.Zero(t, w.processes[0].ledger.Lend(Loan{ID: "1", Customer: "c", Amount: 1}))
}
