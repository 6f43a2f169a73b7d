package order

import (
	"context"
	"expvar"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
)

// counters counts the orders sent to the engine ("given") and, by result code,
// those rejected by the gate.
var counters = expvar.NewMap("orders")

// Settings are the intervals and timeouts of a gate.
type Settings struct {
	// PollInterval is the interval at which the engine's state is read during a
	// change or a pause.
	PollInterval mn.Millis
	// IdlePollInterval is the interval at which it is read otherwise.
	IdlePollInterval mn.Millis
	// SettleTime is how long the engine's state has to stay the same before a
	// change counts as complete. After an order with an unknown result, and when
	// the agent starts, CallTimeout is added to it, because an earlier call may
	// still reach the engine.
	SettleTime mn.Millis
	// CallTimeout bounds one call to the engine.
	CallTimeout mn.Millis
	// PauseTimeout is how long admission of new requests stays paused if no
	// further order arrives.
	PauseTimeout mn.Millis
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		PollInterval:     100 * mn.Millisecond,
		IdlePollInterval: 1 * mn.Second,
		SettleTime:       500 * mn.Millisecond,
		CallTimeout:      2 * mn.Second,
		PauseTimeout:     3 * mn.Second,
	}
}

// Gate checks orders and forwards them to an engine, which gets orders in no other
// way. Run has to be called to read the engine's state; until that has settled,
// every order is rejected.
type Gate struct {
	incarnation mn.Incarnation
	settings    Settings
	clock       mn.Clock
	engine      mn.Engine
	admission   mn.AdmissionControl
	fencing     func() bool
	log         logrus.FieldLogger
	wake        chan struct{}

	mu       sync.Mutex
	term     mn.Term
	sequence mn.Sequence
	state    mn.EngineState
	// busy is set from when an order passes the checks, or the engine is seen to
	// change, until the engine's state has settled. It is set initially.
	busy bool
	// calling is set while an order is checked against running requests and sent
	// to the engine.
	calling bool
	// stableSince is the time since which the state has been unchanged, 0 if it
	// is not known to be.
	stableSince mn.Millis
	// settleTime is how long the state has to be unchanged for busy to end.
	settleTime mn.Millis
	paused     bool
	// pausedUntil is when a pause ends if no further order arrives.
	pausedUntil mn.Millis
}

// New returns a gate for the agent with that incarnation. Orders to the engine
// carry the term as a fencing token if fencing returns true.
func New(incarnation mn.Incarnation, settings Settings, clock mn.Clock, engine mn.Engine, admission mn.AdmissionControl, fencing func() bool, log logrus.FieldLogger) *Gate {
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

// ObserveTerm raises the gate's term to term if that is higher, and restarts the
// sequence then. Orders of older terms are rejected from then on.
func (g *Gate) ObserveTerm(term mn.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term > g.term {
		g.term = term
		g.sequence = 0
	}
}

// Stamp implements [mn.OrderReceiver]. It returns an error with code
// [mn.OrderStale] if the gate has seen a newer term.
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

// Order implements [mn.OrderReceiver].
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
		return reject(NotDrained, "%d requests are running at the endpoint", n)
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

// callEngine sends the order to the engine. The end of the caller's context does
// not cancel the call, because the result of a cancelled call is unknown.
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

// orderPause applies an order that only pauses the admission of new requests.
func (g *Gate) orderPause(o mn.Order) error {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkOrder(o, now); err != nil {
		return err
	}
	if g.busy {
		return reject(mn.OrderBusy, "an order is in progress or the engine's state has not settled")
	}
	g.sequence = o.Sequence
	g.pause()
	return nil
}

// begin checks the order and makes it the one in progress.
func (g *Gate) begin(o mn.Order) error {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkOrder(o, now); err != nil {
		return err
	}
	if g.busy {
		return reject(mn.OrderBusy, "an order is in progress or the engine's state has not settled")
	}
	g.pause()
	g.sequence = o.Sequence
	g.busy = true
	g.calling = true
	g.stableSince = 0
	g.settleTime = g.settings.SettleTime + g.settings.CallTimeout
	return nil
}

// recheck repeats, just before the call to the engine, the checks whose result may
// have changed since begin.
func (g *Gate) recheck(o mn.Order) error {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Term < g.term {
		return reject(mn.OrderStale, "term %d, but the agent has seen term %d", o.Term, g.term)
	}
	return checkExpiry(o, now)
}

// checkOrder returns an error if the order's stamp, term or sequence is not valid.
func (g *Gate) checkOrder(o mn.Order, now mn.Millis) error {
	if o.Incarnation != g.incarnation {
		return reject(WrongIncarnation, "order stamped by incarnation %s, this agent is incarnation %s", o.Incarnation, g.incarnation)
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
		return reject(mn.OrderExpired, "%d ms since the order's stamp, TTL %d ms", now-o.Stamp, o.TTL)
	}
	return nil
}

// reject counts a rejection and returns the error.
func reject(code mn.Code, format string, args ...any) error {
	counters.Add("refused_"+code.String(), 1)
	return mn.Errorf(code, format, args...)
}

// endCall clears calling and wakes up Run to read the engine's state.
func (g *Gate) endCall() {
	g.mu.Lock()
	g.calling = false
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// markAccepted shortens the settle time, because the engine has accepted the order
// and the call has ended.
func (g *Gate) markAccepted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settleTime = g.settings.SettleTime
}

// abandon ends an order that didn't reach the engine or that the engine rejected.
func (g *Gate) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

// pause stops the admission of new requests, or extends the pause. The caller must
// hold g.mu.
func (g *Gate) pause() {
	g.pausedUntil = g.clock.Now() + g.settings.PauseTimeout
	if !g.paused {
		g.paused = true
		g.admission.Pause()
	}
}

// resume ends a pause. The caller must hold g.mu.
func (g *Gate) resume() {
	if g.paused {
		g.paused = false
		g.admission.Resume()
	}
}

// Run reads the engine's state repeatedly until ctx is done, and returns the
// error of ctx.
func (g *Gate) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		g.observe(g.readState(ctx))
		g.wait(ctx)
	}
	return ctx.Err()
}

// stateReading is an engine state read by the gate.
type stateReading struct {
	state mn.EngineState
	err   error
	// sequence and term are those of the gate before the read. If they have
	// changed, the state may date from before an order.
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

// observe applies a reading of the engine's state. It pauses admission while
// the engine changes, and ends the change once the state has settled.
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

// wait sleeps until the next reading is due or a call to the engine has ended.
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
