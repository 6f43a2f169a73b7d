package order_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/order"
)

// bubbleClock is a clock that follows the time of a synctest bubble.
type bubbleClock struct {
	mn.SystemClock
	start time.Time
	// paused is the time until which Now blocks, as in a paused process.
	paused atomic.Int64
}

func (c *bubbleClock) raw() mn.Millis { return mn.MillisOf(time.Since(c.start)) }

func (c *bubbleClock) Now() mn.Millis {
	time.Sleep((mn.Millis(c.paused.Load()) - c.raw()).Duration())
	return c.raw()
}

// fakeEngine is an engine that records an order received during a change as a
// fault.
type fakeEngine struct {
	mn.Engine
	clock      *bubbleClock
	fencing    bool
	changeTime mn.Millis
	// loseAnswer makes the next order take effect without an answer, rejectNext
	// makes the engine reject the next order.
	loseAnswer, rejectNext atomic.Bool
	// delay is how long an order takes to reach the engine.
	delay atomic.Int64

	mu     sync.Mutex
	state  mn.EngineState
	next   mn.EngineState
	until  mn.Millis
	orders []mn.EngineOrder
	faults []string
}

func (e *fakeEngine) finishChange() {
	if e.state.Changing && e.clock.raw() >= e.until {
		e.state = e.next
	}
}

func (e *fakeEngine) State(context.Context) (mn.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishChange()
	return e.state, nil
}

func (e *fakeEngine) Order(ctx context.Context, o mn.EngineOrder) error {
	if e.rejectNext.Swap(false) {
		return mn.Errorf(mn.OrderStale, "rejected")
	}
	lost := e.loseAnswer.Swap(false)
	if lost {
		go e.apply(o)
		<-ctx.Done()
		return mn.Errorf(mn.EndpointFailed, "answer lost")
	}
	return e.apply(o)
}

func (e *fakeEngine) apply(o mn.EngineOrder) error {
	time.Sleep(mn.Millis(e.delay.Load()).Duration())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishChange()
	if e.fencing && o.FencingToken < e.state.FencingToken {
		return mn.Errorf(mn.OrderStale, "fencing token %d, but the engine has seen %d", o.FencingToken, e.state.FencingToken)
	}
	if e.state.Changing {
		e.faults = append(e.faults, fmt.Sprintf("order %+v while changing", o))
	}
	e.orders = append(e.orders, o)
	e.next = mn.EngineState{Role: o.Role, Model: o.Model, Version: o.Version, FencingToken: max(o.FencingToken, e.state.FencingToken)}
	e.state.Changing = true
	e.until = e.clock.raw() + e.changeTime
	return nil
}

func (e *fakeEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// fakeAdmission is an [mn.AdmissionControl] whose number of running requests is set by
// tests. Running calls onCount first if it is set.
type fakeAdmission struct {
	running atomic.Int64
	paused  atomic.Bool
	onCount func()
}

func (a *fakeAdmission) Pause()  { a.paused.Store(true) }
func (a *fakeAdmission) Resume() { a.paused.Store(false) }
func (a *fakeAdmission) Running() int64 {
	if a.onCount != nil {
		a.onCount()
	}
	return a.running.Load()
}

// fakeLease is an [mn.LeaseChecker] whose term and end are set by tests.
type fakeLease struct {
	clock *bubbleClock
	mu    sync.Mutex
	term  mn.Term
	until mn.Millis
}

func (l *fakeLease) set(term mn.Term, until mn.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
	l.until = until
}

func (l *fakeLease) Held() (mn.Term, mn.Millis, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.until, l.term != 0 && now < l.until
}

// fixture is an engine with a gate in front of it.
type fixture struct {
	clock     *bubbleClock
	engine    *fakeEngine
	admission *fakeAdmission
	gate      *order.Gate
	log       logrus.FieldLogger
}

func newFixture(fencing bool) *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := &bubbleClock{start: time.Now().Add(-time.Minute)}
	r := &fixture{clock: clock, admission: &fakeAdmission{}, log: log}
	r.engine = &fakeEngine{clock: clock, fencing: fencing, changeTime: 2 * mn.Second}
	r.engine.state.Role = mn.EngineMixed
	return r
}

// start starts a run of the agent with a new gate, as after a restart.
func (r *fixture) start(ctx context.Context, t *testing.T, incarnation mn.Incarnation) {
	r.gate = order.New(incarnation, order.DefaultSettings(), r.clock, r.engine, r.admission, func() bool { return r.engine.fencing }, r.log)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	gate := r.gate
	go func() {
		defer close(done)
		if err := gate.Run(ctx); !errors.Is(err, context.Canceled) {
			t.Error("gate ended:", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}
