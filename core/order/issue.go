package order

import (
	"context"
	"sync/atomic"

	mn "mustardnotch"
)

// Issuer gives orders to agents while the process holds the control lease.
// One order at a time goes to an agent; orders to different agents may be
// given at once.
type Issuer struct {
	authority mn.LeaseChecker
	clock     mn.Clock
	poll      mn.Millis
	sequence  atomic.Int64
}

// NewIssuer returns an issuer that looks at an agent's state every poll
// milliseconds during a change.
func NewIssuer(authority mn.LeaseChecker, clock mn.Clock, poll mn.Millis) *Issuer {
	return &Issuer{authority: authority, clock: clock, poll: poll}
}

// State returns the agent's state. It makes the holder's term known there.
func (i *Issuer) State(ctx context.Context, agent mn.OrderReceiver) (mn.AgentState, error) {
	term, _, ok := i.authority.Held()
	if !ok {
		return mn.AgentState{}, mn.Errorf(mn.LeaseLost, "no lease to give orders under")
	}
	return agent.Stamp(ctx, term)
}

// Issue gives one order. Its life ends with the lease, counted on the agent's
// clock from a stamp that the agent gave out before the holder looked at what
// was left of the lease.
func (i *Issuer) Issue(ctx context.Context, agent mn.OrderReceiver, target mn.EngineTarget, pauseOnly bool) error {
	term, _, ok := i.authority.Held()
	if !ok {
		return mn.Errorf(mn.LeaseLost, "no lease to give orders under")
	}
	s, err := agent.Stamp(ctx, term)
	if err != nil {
		return err
	}
	received := i.clock.Now()
	now, until, ok := i.authority.Held()
	if !ok || now != term || until <= received {
		return mn.Errorf(mn.LeaseLost, "lease of term %d ended while the agent was asked for a stamp", term)
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

// Change has the agent's endpoint stop new work, waits until what runs there
// has ended, gives the order, and waits until the engine is what target says.
// It cuts no request: if the endpoint does not drain before ctx is done, it
// takes new work again and keeps its role.
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
			return mn.Errorf(mn.EndpointFailed, "engine took the order but is %s %s %s", s.State.Role, s.State.Model, s.State.Version)
		case mn.CodeOf(err) == mn.LeaseLost || mn.CodeOf(err) == mn.OrderStale:
			return err
		}
		if err := i.clock.Sleep(ctx, i.poll); err != nil {
			return err
		}
	}
}

// drain keeps the endpoint from new work until nothing runs there.
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
