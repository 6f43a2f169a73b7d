package order

import (
	"context"
	"sync/atomic"

	mn "mustardnotch"
)

// Issuer sends orders to agents while the process holds the control lease. Orders
// to one agent must be issued one at a time; orders to different agents may be
// issued concurrently.
type Issuer struct {
	lease    mn.LeaseChecker
	clock    mn.Clock
	poll     mn.Millis
	sequence atomic.Int64
}

// NewIssuer returns an issuer that polls the state of an agent at the interval
// poll during a change.
func NewIssuer(lease mn.LeaseChecker, clock mn.Clock, poll mn.Millis) *Issuer {
	return &Issuer{lease: lease, clock: clock, poll: poll}
}

// State returns the agent's state. The call also makes the holder's term
// known to the agent.
func (i *Issuer) State(ctx context.Context, agent mn.OrderReceiver) (mn.AgentState, error) {
	term, _, ok := i.lease.Held()
	if !ok {
		return mn.AgentState{}, mn.Errorf(mn.LeaseLost, "the process does not hold the control lease")
	}
	return agent.Stamp(ctx, term)
}

// Issue sends one order. The order's TTL is the rest of the lease and counts
// from the agent's stamp. Since the agent issued the stamp before the holder
// determined the rest, the order expires no later than the lease.
func (i *Issuer) Issue(ctx context.Context, agent mn.OrderReceiver, target mn.EngineTarget, pauseOnly bool) error {
	term, _, ok := i.lease.Held()
	if !ok {
		return mn.Errorf(mn.LeaseLost, "the process does not hold the control lease")
	}
	s, err := agent.Stamp(ctx, term)
	if err != nil {
		return err
	}
	received := i.clock.Now()
	now, until, ok := i.lease.Held()
	if !ok || now != term || until <= received {
		return mn.Errorf(mn.LeaseLost, "lease of term %d ended while waiting for a stamp from the agent", term)
	}
	ttl := until - received
	ctx, cancel := context.WithTimeout(ctx, ttl.Duration())
	defer cancel()
	return agent.Order(ctx, mn.Order{
		Term:        term,
		Sequence:    mn.Sequence(i.sequence.Add(1)),
		Stamp:       s.Stamp,
		TTL:         ttl,
		Incarnation: s.Incarnation,
		Target:      target,
		PauseOnly:   pauseOnly,
	})
}

// Change stops new requests at the agent's endpoint, waits until those running
// have ended, issues the order and waits until the engine has reached target. It
// interrupts no request: if the endpoint doesn't drain before ctx is done, it
// keeps its role and admits new requests again after [Settings.PauseTimeout].
func (i *Issuer) Change(ctx context.Context, agent mn.OrderReceiver, target mn.EngineTarget) error {
	if err := i.drain(ctx, agent, target); err != nil {
		return err
	}
	issueErr := i.Issue(ctx, agent, target, false)
	if issueErr != nil && mn.AsError(issueErr).Outcome == mn.OutcomeNotRun {
		return issueErr
	}
	for {
		s, err := i.State(ctx, agent)
		switch {
		case err == nil && s.Busy:
		case err == nil && target.Reached(s.State):
			return nil
		case err == nil && issueErr != nil:
			return issueErr
		case err == nil:
			return mn.Errorf(mn.EndpointFailed, "engine accepted the order but has role %q, model %q, version %q", s.State.Role, s.State.Model, s.State.Version)
		case mn.CodeOf(err) == mn.LeaseLost || mn.CodeOf(err) == mn.OrderStale:
			return err
		}
		if err := i.clock.Sleep(ctx, i.poll); err != nil {
			return err
		}
	}
}

// drain keeps admission at the endpoint paused until no requests are running.
func (i *Issuer) drain(ctx context.Context, agent mn.OrderReceiver, target mn.EngineTarget) error {
	for {
		if err := i.Issue(ctx, agent, target, true); err != nil {
			return err
		}
		s, err := i.State(ctx, agent)
		if err != nil {
			return err
		}
		if s.Paused && s.Running == 0 {
			return nil
		}
		if err := i.clock.Sleep(ctx, i.poll); err != nil {
			return err
		}
	}
}
