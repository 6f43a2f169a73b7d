package order

import (
	"context"
	"expvar"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
)

// counters holds orders given and refused, by result code.
var counters = expvar.NewMap("orders")

// Settings are the times of a gate.
type Settings struct {
	// PollInterval is the time between readings of the engine's state during a change.
	PollInterval mn.Millis
	// IdlePollInterval is the time between readings otherwise.
	IdlePollInterval mn.Millis
	// SettleTime is for how long the engine's state has to stay the same before a
	// change counts as ended; after an order with an unknown result, and when
	// the agent starts, it is Settle and Call together.
	SettleTime mn.Millis
	// CallTimeout bounds one call of the engine.
	CallTimeout mn.Millis
	// HoldTimeout is for how long a prepared endpoint takes no new work when no
	// further order comes.
	HoldTimeout mn.Millis
}

// DefaultSettings returns the settings of a production system.
func DefaultSettings() Settings {
	return Settings{
		PollInterval:     100 * mn.Millisecond,
		IdlePollInterval: 1 * mn.Second,
		SettleTime:       500 * mn.Millisecond,
		CallTimeout:      2 * mn.Second,
		HoldTimeout:      3 * mn.Second,
	}
}

// Gate is the one way by which orders reach an engine. Call Run to have it
// read the engine's state; until that has settled no order passes.
type Gate struct {
	incarnation mn.Incarnation
	settings    Settings
	clock       mn.Clock
	engine      mn.Engine
	work        mn.Admission
	fencing     func() bool
	log         logrus.FieldLogger
	kick        chan struct{}

	mu       sync.Mutex
	term     mn.Term
	sequence mn.Sequence
	state    mn.EngineState
	// busy is set from the moment that an order passes until the engine's
	// state has settled, and calling while the engine is being spoken to.
	busy    bool
	calling bool
	// stable is since when the state has been the same, 0 while it is not.
	stable mn.Millis
	// settle is for how long it has to be so.
	settle mn.Millis
	held   bool
	// holdEnd is when a hold without a further order ends.
	holdEnd mn.Millis
}

// New returns a gate for the agent incarnation. The engine is sent fencing
// numbers while fencing returns true.
func New(incarnation mn.Incarnation, settings Settings, clock mn.Clock, engine mn.Engine, work mn.Admission, fencing func() bool, log logrus.FieldLogger) *Gate {
	return &Gate{
		incarnation: incarnation,
		settings:    settings,
		clock:       clock,
		engine:      engine,
		work:        work,
		fencing:     fencing,
		log:         log,
		kick:        make(chan struct{}, 1),
		busy:        true,
		settle:      settings.SettleTime + settings.CallTimeout,
	}
}

// ObserveTerm makes term known to the gate.
func (g *Gate) ObserveTerm(term mn.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term > g.term {
		g.term = term
		g.sequence = 0
	}
}

// Stamp implements [mn.OrderTaker]. A term older than one seen before gets an
// Error with code OrderStale.
func (g *Gate) Stamp(_ context.Context, term mn.Term) (mn.AgentState, error) {
	g.ObserveTerm(term)
	running := g.work.Running()
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if term < g.term {
		return mn.AgentState{}, refuse(mn.OrderStale, "term %d, but the agent has seen term %d", term, g.term)
	}
	return mn.AgentState{
		Stamp:       now,
		Incarnation: g.incarnation,
		Term:        g.term,
		State:       g.state,
		Busy:        g.busy,
		Paused:      g.held,
		Running:     running,
	}, nil
}

// Order implements [mn.OrderTaker].
func (g *Gate) Order(ctx context.Context, o mn.Order) error {
	if o.PauseOnly {
		return g.prepare(o)
	}
	if err := g.enter(o); err != nil {
		return err
	}
	defer g.leave()
	if n := g.work.Running(); n > 0 {
		g.abandon()
		return refuse(NotDrained, "%d requests are running", n)
	}
	if err := g.recheck(o); err != nil {
		g.abandon()
		return err
	}
	err := g.call(ctx, o)
	switch {
	case err == nil:
		g.accepted()
	case mn.AsError(err).Outcome == mn.OutcomeNotRun:
		g.abandon()
	}
	g.note(o, err)
	return err
}

func (g *Gate) note(o mn.Order, err error) {
	entry := g.log.WithFields(logrus.Fields{
		"event": "engine_order", "term": o.Term, "sequence": o.Sequence, "role": o.Target.Role, "version": o.Target.Version,
	})
	if err != nil {
		entry.Warn(err)
		return
	}
	entry.Info()
}

// call speaks to the engine. The caller's context does not end the call: a
// call cut short would leave its result unknown.
func (g *Gate) call(ctx context.Context, o mn.Order) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.settings.CallTimeout.Duration())
	defer cancel()
	e := mn.EngineOrder{Role: o.Target.Role, Model: o.Target.Model, Version: o.Target.Version}
	if g.fencing() {
		e.FencingToken = int64(o.Term)
	}
	counters.Add("given", 1)
	return g.engine.Order(ctx, e)
}

// prepare stops new work at the endpoint.
func (g *Gate) prepare(o mn.Order) error {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(o, now); err != nil {
		return err
	}
	if g.busy {
		return refuse(mn.OrderBusy, "an order is in progress or the engine's state is not settled")
	}
	g.sequence = o.Sequence
	g.hold()
	return nil
}

// enter takes the order in as the only one, if nothing speaks against it.
func (g *Gate) enter(o mn.Order) error {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(o, now); err != nil {
		return err
	}
	if g.busy {
		return refuse(mn.OrderBusy, "an order is in progress or the engine's state is not settled")
	}
	g.hold()
	g.sequence = o.Sequence
	g.busy = true
	g.calling = true
	g.stable = 0
	g.settle = g.settings.SettleTime + g.settings.CallTimeout
	return nil
}

// recheck repeats the checks that time can change, just before the engine is
// spoken to.
func (g *Gate) recheck(o mn.Order) error {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Term < g.term {
		return refuse(mn.OrderStale, "term %d, but the agent has seen term %d", o.Term, g.term)
	}
	return checkLife(o, now)
}

func (g *Gate) check(o mn.Order, now mn.Millis) error {
	if o.Incarnation != g.incarnation {
		return refuse(WrongIncarnation, "stamped by incarnation %s, this is %s", o.Incarnation, g.incarnation)
	}
	if o.Term <= 0 || o.Term != g.term {
		return refuse(mn.OrderStale, "term %d, but the agent has seen term %d", o.Term, g.term)
	}
	if o.Sequence <= g.sequence {
		return refuse(mn.OrderStale, "sequence %d, but the agent has seen sequence %d", o.Sequence, g.sequence)
	}
	return checkLife(o, now)
}

func checkLife(o mn.Order, now mn.Millis) error {
	if now < o.Stamp || now-o.Stamp >= o.TTL {
		return refuse(mn.OrderExpired, "%d ms after the stamp, life %d ms", now-o.Stamp, o.TTL)
	}
	return nil
}

func refuse(code mn.Code, format string, args ...any) error {
	counters.Add("refused_"+code.String(), 1)
	return mn.Errorf(code, format, args...)
}

// leave ends the speaking to the engine and has its state read at once.
func (g *Gate) leave() {
	g.mu.Lock()
	g.calling = false
	g.mu.Unlock()
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// accepted notes that the engine has taken the order.
func (g *Gate) accepted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle = g.settings.SettleTime
}

// abandon ends an order that has not reached the engine, or that it refused.
func (g *Gate) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

// hold stops new work. The caller holds g.mu.
func (g *Gate) hold() {
	g.holdEnd = g.clock.Now() + g.settings.HoldTimeout
	if !g.held {
		g.held = true
		g.work.Pause()
	}
}

// resume lets new work in. The caller holds g.mu.
func (g *Gate) resume() {
	if g.held {
		g.held = false
		g.work.Resume()
	}
}

// Run reads the engine's state until ctx is done, and returns its error.
func (g *Gate) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		g.observe(g.read(ctx))
		g.wait(ctx)
	}
	return ctx.Err()
}

// reading is one answer of the engine about its state, which counts only if
// no order was given while the engine was asked.
type reading struct {
	state mn.EngineState
	err   error
	asked mn.Sequence
	term  mn.Term
}

func (g *Gate) read(ctx context.Context) reading {
	g.mu.Lock()
	r := reading{asked: g.sequence, term: g.term}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, g.settings.CallTimeout.Duration())
	defer cancel()
	r.state, r.err = g.engine.State(ctx)
	return r
}

// observe takes a reading of the engine's state in.
func (g *Gate) observe(r reading) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.err != nil {
		g.stable = 0
		return
	}
	if r.state.Changing {
		g.state = r.state
		g.busy = true
		g.stable = 0
		g.hold()
		return
	}
	if g.calling || r.asked != g.sequence || r.term != g.term {
		g.stable = 0
		return
	}
	if g.stable == 0 || r.state != g.state {
		g.state = r.state
		g.stable = now
	}
	if g.busy && now-g.stable >= g.settle {
		g.busy = false
		g.resume()
	}
	if !g.busy && now >= g.holdEnd {
		g.resume()
	}
}

// wait sleeps until the next reading is due or an order has been given.
func (g *Gate) wait(ctx context.Context) {
	g.mu.Lock()
	span := g.settings.IdlePollInterval
	if g.busy || g.held {
		span = g.settings.PollInterval
	}
	g.mu.Unlock()
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		select {
		case <-g.kick:
			return context.Canceled
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	tasks.Go(func() error {
		_ = g.clock.Sleep(ctx, span)
		return context.Canceled
	})
	_ = tasks.Wait()
}
