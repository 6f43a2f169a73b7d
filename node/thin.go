package node

import (
	"context"
	"sync/atomic"

	mn "mustardnotch"
)

// robin chooses agents in turn. It is the baseline for routing.
type robin struct {
	views mn.Views
	next  atomic.Uint64
}

func newRobin(views mn.Views) *robin { return &robin{views: views} }

// Route implements [mn.Router].
func (r *robin) Route(_ context.Context, w mn.Work) (mn.Member, func(error), error) {
	agents := r.views.View().Agents(w.Pool)
	if len(agents) == 0 {
		return mn.Member{}, nil, mn.Errorf(mn.NoEndpoint, "pool %q has no agent", w.Pool).WithRetry(mn.Second)
	}
	m := agents[r.next.Add(1)%uint64(len(agents))]
	return m, func(error) {}, nil
}

// alwaysCurrent takes every view for current.
type alwaysCurrent struct{}

// Current implements [mn.Currency].
func (alwaysCurrent) Current() error { return nil }

// unlimited admits every request.
type unlimited struct{}

// Admit implements [mn.Limiter].
func (unlimited) Admit(context.Context, mn.Customer, mn.Millis) error { return nil }

// unscheduled starts every request at once.
type unscheduled struct{}

// Acquire implements [mn.Scheduler].
func (unscheduled) Acquire(context.Context, mn.Work) (func(int64), error) {
	return func(int64) {}, nil
}

// unrecorded drops usage.
type unrecorded struct{}

// Record implements [mn.Recorder].
func (unrecorded) Record(mn.Served) {}
