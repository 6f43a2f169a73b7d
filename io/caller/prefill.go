package caller

import (
	"context"

	mn "mustardnotch"
	"mustardnotch/core/spans"
	"mustardnotch/gen/meshpb"
)

// prefill has the prompt of r prefilled by another agent than the one that will
// generate the output, if the router expects that to be faster, and stores the handle
// of the exported KV cache in r. A failure costs only time, since the agent that
// generates the output then prefills the prompt itself.
func (s *Server) prefill(ctx context.Context, r *meshpb.Request) {
	router, ok := s.Router.(mn.PrefillRouter)
	if !ok {
		return
	}
	m, done, ok := router.RoutePrefill(ctx, mn.Work{
		ID:       mn.RequestID(r.Id),
		Customer: mn.CustomerID(r.Customer),
		Pool:     mn.PoolID(r.Pool),
		Prompt:   r.Generation.Prompt,
		Deadline: s.deadline(r.DeadlineMs),
		Weight:   r.Weight,
	})
	if !ok {
		return
	}
	ctx, span := s.Tracer.Start(ctx, "entry.prefill")
	defer span.End()
	p := &meshpb.Request{
		Id:          string(mn.NewRequestID()),
		Customer:    r.Customer,
		Weight:      r.Weight,
		KeyHash:     r.KeyHash,
		Pool:        r.Pool,
		DeadlineMs:  r.DeadlineMs,
		Offset:      r.Offset,
		Entry:       r.Entry,
		Agent:       string(m.Incarnation),
		Traceparent: spans.Inject(ctx),
		Generation:  &meshpb.GenerationBody{Prompt: r.Generation.Prompt, Priority: r.Generation.Priority, PrefillOnly: true},
	}
	err := s.Agents.Submit(ctx, m.Addr, p, func(f *meshpb.Frame) error {
		if f.CacheHandle != "" {
			r.Generation.CacheHandle = f.CacheHandle
		}
		return nil
	})
	done(err)
	if err != nil {
		spans.RecordError(span, err)
		s.Log.WithField("event", "prefill_failed").WithField("request", r.Id).WithField("vm", m.VM).Warn(err)
	}
}
