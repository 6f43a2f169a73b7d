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

// bubbleClock follows the time of a synctest bubble.
type bubbleClock struct {
	mn.SystemClock
	start time.Time
	// paused is until when readings of the clock block, as in a stopped process.
	paused atomic.Int64
}

func (c *bubbleClock) raw() mn.Millis { return mn.MillisOf(time.Since(c.start)) }

func (c *bubbleClock) Now() mn.Millis {
	time.Sleep((mn.Millis(c.paused.Load()) - c.raw()).Duration())
	return c.raw()
}

// engine is an engine that reports two orders at once as a fault.
type engine struct {
	mn.Engine
	clock   *bubbleClock
	fencing bool
	change  mn.Millis
	// lose has the next answers lost after the order took effect, refuse has
	// the next orders refused.
	lose, refuse atomic.Bool
	// late is how long an order is under way to the engine.
	late atomic.Int64

	mu     sync.Mutex
	state  mn.EngineState
	next   mn.EngineState
	until  mn.Millis
	orders []mn.EngineOrder
	faults []string
}

func (e *engine) settle() {
	if e.state.Changing && e.clock.raw() >= e.until {
		e.state = e.next
	}
}

func (e *engine) State(context.Context) (mn.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return e.state, nil
}

func (e *engine) Order(ctx context.Context, o mn.EngineOrder) error {
	if e.refuse.Swap(false) {
		return mn.Errorf(mn.OrderStale, "refused")
	}
	lost := e.lose.Swap(false)
	if lost {
		go e.take(o)
		<-ctx.Done()
		return mn.Errorf(mn.EndpointFailed, "answer lost")
	}
	return e.take(o)
}

func (e *engine) take(o mn.EngineOrder) error {
	time.Sleep(mn.Millis(e.late.Load()).Duration())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	if e.fencing && o.FencingToken < e.state.FencingToken {
		return mn.Errorf(mn.OrderStale, "fence %d", o.FencingToken)
	}
	if e.state.Changing {
		e.faults = append(e.faults, fmt.Sprintf("order %+v while changing", o))
	}
	e.orders = append(e.orders, o)
	e.next = mn.EngineState{Role: o.Role, Model: o.Model, Version: o.Version, FencingToken: max(o.FencingToken, e.state.FencingToken)}
	e.state.Changing = true
	e.until = e.clock.raw() + e.change
	return nil
}

func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// work counts requests that a test says are running.
type work struct {
	running atomic.Int64
	held    atomic.Bool
	onCount func()
}

func (w *work) Pause()  { w.held.Store(true) }
func (w *work) Resume() { w.held.Store(false) }
func (w *work) Running() int64 {
	if w.onCount != nil {
		w.onCount()
	}
	return w.running.Load()
}

// lease is an authority that a test sets.
type lease struct {
	clock *bubbleClock
	mu    sync.Mutex
	term  mn.Term
	until mn.Millis
}

func (l *lease) set(term mn.Term, until mn.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
	l.until = until
}

func (l *lease) Held() (mn.Term, mn.Millis, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.until, l.term != 0 && now < l.until
}

// rig is one engine with the gate before it.
type rig struct {
	clock  *bubbleClock
	engine *engine
	work   *work
	gate   *order.Gate
	log    logrus.FieldLogger
}

func newRig(fencing bool) *rig {
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := &bubbleClock{start: time.Now().Add(-time.Minute)}
	r := &rig{clock: clock, work: &work{}, log: log}
	r.engine = &engine{clock: clock, fencing: fencing, change: 2 * mn.Second}
	r.engine.state.Role = mn.EngineMixed
	return r
}

// start begins a run of the agent, as after a restart.
func (r *rig) start(ctx context.Context, t *testing.T, incarnation mn.Incarnation) {
	r.gate = order.New(incarnation, order.DefaultSettings(), r.clock, r.engine, r.work, func() bool { return r.engine.fencing }, r.log)
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
