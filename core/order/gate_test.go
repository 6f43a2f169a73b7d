package order_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	mn "mustardnotch"
	"mustardnotch/core/order"
)

const (
	firstRun  mn.Incarnation = "first"
	secondRun mn.Incarnation = "second"
)

var (
	toPrefill = mn.EngineTarget{Role: mn.EnginePrefill}
	toDecode  = mn.EngineTarget{Role: mn.EngineDecode}
)

// runInBubble runs f in a synctest bubble with a settled gate, once for an engine
// that checks fencing tokens and once for one that doesn't.
func runInBubble(t *testing.T, f func(t *testing.T, ctx context.Context, r *fixture)) {
	for _, fencing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			r := newFixture(fencing)
			r.start(ctx, t, firstRun)
			t.Cleanup(cancel)
			time.Sleep(4 * time.Second)
			f(t, ctx, r)
			require.Empty(t, r.engine.faults)
		})
	}
}

func requireCode(t *testing.T, code mn.Code, err error, msg ...any) {
	t.Helper()
	require.Error(t, err, msg...)
	require.Equal(t, code, mn.CodeOf(err), msg...)
}

func (r *fixture) stampedOrder(t *testing.T, term mn.Term, target mn.EngineTarget) mn.Order {
	s, err := r.gate.Stamp(context.Background(), term)
	require.NoError(t, err)
	return mn.Order{Term: term, Sequence: 1, Stamp: s.Stamp, TTL: mn.Second, Incarnation: s.Incarnation, Target: target}
}

func TestGateRejects(t *testing.T) {
	cases := []struct {
		name   string
		code   mn.Code
		modify func(r *fixture, o *mn.Order)
	}{
		{"expired", mn.OrderExpired, func(*fixture, *mn.Order) { time.Sleep(time.Second) }},
		{"stamp in the future", mn.OrderExpired, func(_ *fixture, o *mn.Order) { o.Stamp += mn.Second }},
		{"older term", mn.OrderStale, func(r *fixture, _ *mn.Order) { r.gate.ObserveTerm(8) }},
		{"term not seen by the agent", mn.OrderStale, func(_ *fixture, o *mn.Order) { o.Term = 8 }},
		{"no term", mn.OrderStale, func(_ *fixture, o *mn.Order) { o.Term = 0 }},
		{"sequence not above the last", mn.OrderStale, func(_ *fixture, o *mn.Order) { o.Sequence = 0 }},
		{"other run of the agent", order.WrongIncarnation, func(_ *fixture, o *mn.Order) { o.Incarnation = secondRun }},
		{"requests running", order.NotDrained, func(r *fixture, _ *mn.Order) { r.admission.running.Store(1) }},
		{"expires between check and call", mn.OrderExpired, func(r *fixture, _ *mn.Order) {
			r.admission.onCount = func() { time.Sleep(time.Second) }
		}},
		{"term raised between check and call", mn.OrderStale, func(r *fixture, _ *mn.Order) {
			r.admission.onCount = func() { r.gate.ObserveTerm(8) }
		}},
		{"engine rejects", mn.OrderStale, func(r *fixture, _ *mn.Order) { r.engine.rejectNext.Store(true) }},
	}
	for _, c := range cases {
		runInBubble(t, func(t *testing.T, ctx context.Context, r *fixture) {
			o := r.stampedOrder(t, 7, toPrefill)
			c.modify(r, &o)
			requireCode(t, c.code, r.gate.Order(ctx, o), c.name)
			require.Zero(t, r.engine.orderCount(), c.name)
			r.admission.onCount = nil
			time.Sleep(4 * time.Second)
			require.False(t, r.admission.paused.Load(), "%s: new requests are admitted again", c.name)
		})
	}
}

func TestGateOneOrderAtATime(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, r *fixture) {
		o := r.stampedOrder(t, 7, toPrefill)
		require.NoError(t, r.gate.Order(ctx, o))
		require.True(t, r.admission.paused.Load())
		for range 20 {
			again := r.stampedOrder(t, 7, toDecode)
			again.Sequence = 2
			requireCode(t, mn.OrderBusy, r.gate.Order(ctx, again))
			again.PauseOnly = true
			requireCode(t, mn.OrderBusy, r.gate.Order(ctx, again))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		require.False(t, r.admission.paused.Load())
		requireCode(t, mn.OrderStale, r.gate.Order(ctx, o), "a repeat has no effect")
		next := r.stampedOrder(t, 7, toDecode)
		next.Sequence = 2
		require.NoError(t, r.gate.Order(ctx, next))
		require.Equal(t, 2, r.engine.orderCount())
	})
}

// TestGateLostAnswer checks that an order whose answer is lost blocks others until
// the engine has settled, even if it reaches the engine when the call is about to
// time out or has timed out.
func TestGateLostAnswer(t *testing.T) {
	for _, late := range []mn.Millis{0, 1900, 3500} {
		runInBubble(t, func(t *testing.T, ctx context.Context, r *fixture) {
			r.engine.loseAnswer.Store(true)
			r.engine.delay.Store(int64(late))
			require.Equal(t, mn.OutcomeUnknown, mn.AsError(r.gate.Order(ctx, r.stampedOrder(t, 7, toPrefill))).Outcome)
			r.engine.delay.Store(0)
			for r.engine.orderCount() < 2 {
				o := r.stampedOrder(t, 8, toDecode)
				if err := r.gate.Order(ctx, o); err != nil {
					requireCode(t, mn.OrderBusy, err)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// TestGateRestartMidOrder guards against a second order during a change after a
// restart of the agent. An order of the earlier run, even one that has not
// reached the engine yet, has to settle first.
func TestGateRestartMidOrder(t *testing.T) {
	for _, late := range []mn.Millis{0, 1000} {
		runInBubble(t, func(t *testing.T, ctx context.Context, r *fixture) {
			r.engine.delay.Store(int64(late))
			o := r.stampedOrder(t, 7, toPrefill)
			old := r.gate
			go func() { _ = old.Order(ctx, o) }()
			time.Sleep(10 * time.Millisecond)
			r.admission = &fakeAdmission{}
			r.start(ctx, t, secondRun)
			paused := false
			requireCode(t, order.WrongIncarnation, r.gate.Order(ctx, o))
			for r.engine.orderCount() < 2 {
				if err := r.gate.Order(ctx, r.stampedOrder(t, 7, toDecode)); err != nil {
					requireCode(t, mn.OrderBusy, err)
				}
				r.engine.delay.Store(0)
				paused = paused || r.admission.paused.Load()
				time.Sleep(50 * time.Millisecond)
			}
			require.True(t, paused, "no new requests are admitted while the engine changes")
		})
	}
}

// TestIssuerPausedPastItsLease guards against orders of a former holder. A process
// that is paused until its lease has expired, or whose order is delayed for that
// long, has its order rejected.
func TestIssuerPausedPastItsLease(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, r *fixture) {
		own := &bubbleClock{start: r.clock.start}
		old := &fakeLease{clock: own}
		old.set(7, own.raw()+3*mn.Second)
		i := order.NewIssuer(old, own, 100)
		for _, stop := range []bool{false, true} {
			slow := &delayedReceiver{gate: r.gate, afterStamp: func() {
				if !stop {
					own.paused.Store(int64(own.raw() + 5*mn.Second))
				}
			}, beforeOrder: func() {
				if stop {
					time.Sleep(5 * time.Second)
				}
			}}
			old.set(7, own.raw()+3*mn.Second)
			require.Error(t, i.Issue(ctx, slow, toPrefill, false))
			require.Zero(t, r.engine.orderCount())
		}
	})
}

// TestIssuerChangeDrains checks that Change waits for running requests before it
// changes the engine, and gives up if they don't end in time.
func TestIssuerChangeDrains(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, r *fixture) {
		l := &fakeLease{clock: r.clock}
		l.set(7, r.clock.raw()+mn.Hour)
		r.admission.running.Store(3)
		go func() {
			time.Sleep(8 * time.Second)
			if !r.admission.paused.Load() || r.engine.orderCount() != 0 {
				t.Error("got an order or new requests admitted while requests run, want neither")
			}
			r.admission.running.Store(0)
		}()
		i := order.NewIssuer(l, r.clock, 100)
		require.NoError(t, i.Change(ctx, r.gate, toDecode))
		require.Equal(t, 1, r.engine.orderCount())
		require.False(t, r.admission.paused.Load())

		r.admission.running.Store(1)
		short, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		require.Error(t, i.Change(short, r.gate, toPrefill))
		time.Sleep(4 * time.Second)
		require.False(t, r.admission.paused.Load(), "the pause ends after a drain that took too long")
		require.Equal(t, 1, r.engine.orderCount())
	})
}

// delayedReceiver calls afterStamp when it has received a stamp, and beforeOrder
// before it sends an order.
type delayedReceiver struct {
	gate                    mn.OrderReceiver
	afterStamp, beforeOrder func()
}

func (d *delayedReceiver) Stamp(ctx context.Context, term mn.Term) (mn.AgentState, error) {
	s, err := d.gate.Stamp(ctx, term)
	d.afterStamp()
	return s, err
}

func (d *delayedReceiver) Order(_ context.Context, o mn.Order) error {
	d.beforeOrder()
	return d.gate.Order(context.Background(), o)
}
