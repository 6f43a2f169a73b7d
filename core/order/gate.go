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
	// PauseTimeout is for how long a prepared endpoint takes no new work when no
	// further order comes.
	PauseTimeout mn.Millis
}

// DefaultSettings returns the settings of a production system.
func DefaultSettings() Settings {
	return Settings{
		PollInterval:     100 * mn.Millisecond,
		IdlePollInterval: 1 * mn.Second,
		SettleTime:       500 * mn.Millisecond,
		CallTimeout:      2 * mn.Second,
		PauseTimeout:     3 * mn.Second,
	}
}

// Gate is the one way by which orders reach an engine. Call Run to have it
// read the engine's state; until that has settled no order passes.
type Gate struct {
	incarnation mn.Incarnation
	settings    Settings
	clock       mn.Clock
	engine      mn.Engine
	admission   mn.Admission
	fencing     func() bool
	log         logrus.FieldLogger
	wake        chan struct{}

	mu       sync.Mutex
	term     mn.Term
	sequence mn.Sequence
	state    mn.EngineState
	// busy is set from the moment that an order passes until the engine's
	// state has settled, and calling while the engine is being spoken to.
	busy    bool
	calling bool
	// stableSince is since when the state has been the same, 0 while it is not.
	stableSince mn.Millis
	// settleTime is for how long it has to be so.
	settleTime mn.Millis
	paused     bool
	// pausedUntil is when a hold without a further order ends.
	pausedUntil mn.Millis
}

// New returns a gate for the agent incarnation. The engine is sent fencing
// numbers while fencing returns true.
func New(incarnation mn.Incarnation, settings Settings, clock mn.Clock, engine mn.Engine, admission mn.Admission, fencing func() bool, log logrus.FieldLogger) *Gate {
	return &Gate{
		incarnation: incarnation,
		settings:    settings,
		clock:       clock,
		engine:      engine,
		admission:   admission,
		fencing:     fencing,
		log:         log,
		wake:        make(chan struct{}, 1),
		busy:        true,
		settleTime:  settings.SettleTime + settings.CallTimeout,
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
	running := g.admission.Running()
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if term < g.term {
		return mn.AgentState{}, reject(mn.OrderStale, "term %d, but the agent has seen term %d", term, g.term)
	}
	return mn.AgentState{
		Stamp:       now,
		Incarnation: g.incarnation,
		Term:        g.term,
		State:       g.state,
		Busy:        g.busy,
		Paused:      g.paused,
		Running:     running,
	}, nil
}

// Order implements [mn.OrderTaker].
func (g *Gate) Order(ctx context.Context, o mn.Order) error {
	if o.PauseOnly {
		return g.orderPause(o)
	}
	if err := g.begin(o); err != nil {
		return err
	}
	defer g.endCall()
	if n := g.admission.Running(); n > 0 {
		g.abandon()
		return reject(NotDrained, "%d requests are running", n)
	}
	if err := g.recheck(o); err != nil {
		g.abandon()
		return err
	}
	err := g.callEngine(ctx, o)
	switch {
	case err == nil:
		g.markAccepted()
	case mn.AsError(err).Outcome == mn.OutcomeNotRun:
		g.abandon()
	}
	g.logOrder(o, err)
	return err
}

func (g *Gate) logOrder(o mn.Order, err error) {
	entry := g.log.WithFields(logrus.Fields{
		"event": "engine_order", "term": o.Term, "sequence": o.Sequence, "role": o.Target.Role, "version": o.Target.Version,
	})
	if err != nil {
		entry.Warn(err)
		return
	}
	entry.Info()
}

// callEngine speaks to the engine. The caller's context does not end the call: a
// call cut short would leave its result unknown.
func (g *Gate) callEngine(ctx context.Context, o mn.Order) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.settings.CallTimeout.Duration())
	defer cancel()
	e := mn.EngineOrder{Role: o.Target.Role, Model: o.Target.Model, Version: o.Target.Version}
	if g.fencing() {
		e.FencingToken = int64(o.Term)
	}
	counters.Add("given", 1)
	return g.engine.Order(ctx, e)
}

// orderPause stops new work at the endpoint.
func (g *Gate) orderPause(o mn.Order) error {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkOrder(o, now); err != nil {
		return err
	}
	if g.busy {
		return reject(mn.OrderBusy, "an order is in progress or the engine's state is not settled")
	}
	g.sequence = o.Sequence
	g.pause()
	return nil
}

// begin takes the order in as the only one, if nothing speaks against it.
func (g *Gate) begin(o mn.Order) error {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkOrder(o, now); err != nil {
		return err
	}
	if g.busy {
		return reject(mn.OrderBusy, "an order is in progress or the engine's state is not settled")
	}
	g.pause()
	g.sequence = o.Sequence
	g.busy = true
	g.calling = true
	g.stableSince = 0
	g.settleTime = g.settings.SettleTime + g.settings.CallTimeout
	return nil
}

// recheck repeats the checks that time can change, just before the engine is
// spoken to.
func (g *Gate) recheck(o mn.Order) error {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Term < g.term {
		return reject(mn.OrderStale, "term %d, but the agent has seen term %d", o.Term, g.term)
	}
	return checkExpiry(o, now)
}

func (g *Gate) checkOrder(o mn.Order, now mn.Millis) error {
	if o.Incarnation != g.incarnation {
		return reject(WrongIncarnation, "stamped by incarnation %s, this is %s", o.Incarnation, g.incarnation)
	}
	if o.Term <= 0 || o.Term != g.term {
		return reject(mn.OrderStale, "term %d, but the agent has seen term %d", o.Term, g.term)
	}
	if o.Sequence <= g.sequence {
		return reject(mn.OrderStale, "sequence %d, but the agent has seen sequence %d", o.Sequence, g.sequence)
	}
	return checkExpiry(o, now)
}

func checkExpiry(o mn.Order, now mn.Millis) error {
	if now < o.Stamp || now-o.Stamp >= o.TTL {
		return reject(mn.OrderExpired, "%d ms after the stamp, life %d ms", now-o.Stamp, o.TTL)
	}
	return nil
}

func reject(code mn.Code, format string, args ...any) error {
	counters.Add("refused_"+code.String(), 1)
	return mn.Errorf(code, format, args...)
}

// endCall ends the speaking to the engine and has its state read at once.
func (g *Gate) endCall() {
	g.mu.Lock()
	g.calling = false
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// markAccepted notes that the engine has taken the order.
func (g *Gate) markAccepted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settleTime = g.settings.SettleTime
}

// abandon ends an order that has not reached the engine, or that it refused.
func (g *Gate) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

// pause stops new work. The caller holds g.mu.
func (g *Gate) pause() {
	g.pausedUntil = g.clock.Now() + g.settings.PauseTimeout
	if !g.paused {
		g.paused = true
		g.admission.Pause()
	}
}

// resume lets new work in. The caller holds g.mu.
func (g *Gate) resume() {
	if g.paused {
		g.paused = false
		g.admission.Resume()
	}
}

// Run reads the engine's state until ctx is done, and returns its error.
func (g *Gate) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		g.observe(g.readState(ctx))
		g.wait(ctx)
	}
	return ctx.Err()
}

// stateReading is one answer of the engine about its state, which counts only if
// no order was given while the engine was asked.
type stateReading struct {
	state    mn.EngineState
	err      error
	sequence mn.Sequence
	term     mn.Term
}

func (g *Gate) readState(ctx context.Context) stateReading {
	g.mu.Lock()
	r := stateReading{sequence: g.sequence, term: g.term}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, g.settings.CallTimeout.Duration())
	defer cancel()
	r.state, r.err = g.engine.State(ctx)
	return r
}

// observe takes a reading of the engine's state in.
func (g *Gate) observe(r stateReading) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.err != nil {
		g.stableSince = 0
		return
	}
	if r.state.Changing {
		g.state = r.state
		g.busy = true
		g.stableSince = 0
		g.pause()
		return
	}
	if g.calling || r.sequence != g.sequence || r.term != g.term {
		g.stableSince = 0
		return
	}
	if g.stableSince == 0 || r.state != g.state {
		g.state = r.state
		g.stableSince = now
	}
	if g.busy && now-g.stableSince >= g.settleTime {
		g.busy = false
		g.resume()
	}
	if !g.busy && now >= g.pausedUntil {
		g.resume()
	}
}

// wait sleeps until the next reading is due or an order has been given.
func (g *Gate) wait(ctx context.Context) {
	g.mu.Lock()
	interval := g.settings.IdlePollInterval
	if g.busy || g.paused {
		interval = g.settings.PollInterval
	}
	g.mu.Unlock()
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		select {
		case <-g.wake:
			return context.Canceled
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	tasks.Go(func() error {
		_ = g.clock.Sleep(ctx, interval)
		return context.Canceled
	})
	_ = tasks.Wait()
}
