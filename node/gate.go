package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	mn "mustardnotch"
	"mustardnotch/core/order"
)

// installGate puts a gate for orders in front of the agent's engine, if it has one.
func (a *Agent) installGate() {
	if a.server.Engine == nil {
		return
	}
	a.gate = order.New(a.self.Incarnation, order.DefaultSettings(), a.clock, a.server.Engine, a.server, a.fencing, a.log)
	a.server.Gate = a.gate
}

// fencing reports whether the pool's engines check fencing tokens.
func (a *Agent) fencing() bool {
	p, ok := a.controlState.View().Pool(a.self.Pool)
	return ok && p.Fencing
}

// runGate runs the gate until ctx is done, and notifies it of each new term in the control
// stream.
func (a *Agent) runGate(ctx context.Context) error {
	if a.gate == nil {
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		_ = a.gate.Run(ctx)
		return nil
	})
	g.Go(func() error {
		for ctx.Err() == nil {
			changed := a.controlState.Changed()
			a.gate.ObserveTerm(a.controlState.View().Lease.Term)
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		return nil
	})
	return g.Wait()
}

var _ mn.OrderReceiver = (*order.Gate)(nil)
