package entry

import (
	"context"

	mn "mustardnotch"
	"mustardnotch/core/calls"
	"mustardnotch/core/poison"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

const (
	// callTimeout bounds a call at the endpoint. It runs on after its caller's
	// deadline, so that its answer is there for a retry.
	callTimeout = 60 * mn.Second
	// retryDelay is how long an entry should wait before it sends a call again
	// whose earlier request was cancelled.
	retryDelay = 20 * mn.Millisecond
	// probeTimeout bounds the check whether the endpoint has crashed.
	probeTimeout = 300 * mn.Millisecond
)

// call runs a call, or waits for an earlier one with the same key, and sends
// the answer.
func (s *Server) call(ctx context.Context, r *meshpb.Request, out *sender) error {
	c, owner, err := s.Calls.Begin(tableRequest(r))
	if err != nil {
		return err
	}
	if owner {
		s.wg.Go(func() { s.runCall(ctx, r, c) })
	}
	answer, waitErr := c.Wait(ctx)
	if waitErr != nil && !owner && mn.AsError(waitErr).Outcome == mn.OutcomeNotRun {
		// The request that owned the call ended before it started; this one
		// may still run, under a new id.
		return mn.Errorf(mn.Barred, "earlier request with the key: %w", waitErr).WithOutcome(mn.OutcomeUnknown).WithRetryAfter(retryDelay)
	}
	if waitErr != nil {
		return waitErr
	}
	sum := newDigest("")
	sum.add(answer)
	if err := out.send(&meshpb.Frame{Sequence: 1, Body: answer}); err != nil {
		return err
	}
	end := sum.end(string(c.ID()))
	end.UsageId = r.UsageId
	return out.send(&meshpb.Frame{End: end})
}

func tableRequest(r *meshpb.Request) calls.Request {
	out := calls.Request{
		ID:               mn.RequestID(r.Id),
		Key:              mn.IdempotencyKey(r.IdempotencyKey),
		AgentIncarnation: mn.Incarnation(r.Agent),
		FirstUse:         r.First,
	}
	if r.Call != nil && r.IdempotencyKey != "" {
		out.Fingerprint = wire.Fingerprint(r)
	}
	return out
}

// runCall waits for the call's turn as long as ctx lasts. Once started, the
// call runs to its end whatever becomes of the connection it came by.
func (s *Server) runCall(ctx context.Context, r *meshpb.Request, c *calls.Call) {
	release, err := s.Scheduler.Acquire(ctx, s.work(r))
	if err != nil {
		c.Finish(nil, notStarted(err))
		return
	}
	defer release(0)
	admission, err := s.Quarantine.Admit(ctx, func() string { return fingerprint(r) })
	if err != nil {
		c.Finish(nil, notStarted(err))
		return
	}
	if err := s.mayRun(r); err != nil {
		admission.End(false)
		c.Finish(nil, notStarted(err))
		return
	}
	if err := c.Start(); err != nil {
		admission.End(false)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout.Duration())
	defer cancel()
	answer, err := s.Plain.Call(ctx, mn.PlainCall{
		ID:       mn.RequestID(r.Id),
		Customer: mn.CustomerID(r.Customer),
		Path:     r.Call.Path,
		Body:     r.Call.Body,
	})
	err = s.endAdmission(ctx, admission, err)
	if err == nil {
		s.recordUsage(r.UsageId, r.Customer, &meshpb.End{})
	}
	c.Finish(answer, mn.AsError(err))
}

// notStarted returns err with outcome "not run".
func notStarted(err error) *mn.Error {
	e := mn.AsError(err)
	if e.Code == mn.Internal {
		e = mn.Errorf(mn.Cancelled, "before it started: %w", err)
	}
	return e.WithOutcome(mn.OutcomeNotRun)
}

// fingerprint identifies the content of r, whoever sent it.
func fingerprint(r *meshpb.Request) string {
	if g := r.Generation; g != nil {
		return poison.Fingerprint(mn.PoolID(r.Pool), g.Prompt)
	}
	return poison.Fingerprint(mn.PoolID(r.Pool), r.Call.GetPath(), string(r.Call.GetBody()))
}

// endAdmission ends a stay at the endpoint whose result was err. If the endpoint
// crashed, it reports what ran there and returns an error that says so.
func (s *Server) endAdmission(ctx context.Context, admission *poison.Admission, err error) error {
	defer admission.End(err == nil)
	if err == nil || mn.AsError(err).Outcome == mn.OutcomeNotRun || ctx.Err() != nil {
		return err
	}
	probe, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	if s.EndpointAlive(probe) {
		return err
	}
	for _, f := range admission.ReportCrash() {
		p := mn.CrashRecord{Fingerprint: f, VM: s.VM, SeenAt: s.Clock.Wall()}
		s.Crashes.Add(p)
		s.ReportCrash(p)
	}
	return mn.Errorf(poison.EndpointCrashed, "%w", err)
}

// recordUsage notes what the request used before the end marker goes out, so that
// the caller never sees a whole answer that is not recorded.
func (s *Server) recordUsage(id, customer string, end *meshpb.End) {
	s.Recorder.Record(mn.RequestUsage{
		ID:           mn.RequestID(id),
		Customer:     mn.CustomerID(customer),
		Pool:         s.Pool,
		PromptTokens: end.PromptTokens,
		OutputTokens: end.OutputTokens,
	})
}

// Settle says what became of a request, and bars one that it never saw.
func (s *Server) Settle(_ context.Context, r *meshpb.SettleRequest) (*meshpb.SettleReply, error) {
	request := calls.Request{
		ID:               mn.RequestID(r.Id),
		Key:              mn.IdempotencyKey(r.IdempotencyKey),
		AgentIncarnation: mn.Incarnation(r.Agent),
		FirstUse:         r.First,
	}
	copy(request.Fingerprint[:], r.Fingerprint)
	var status calls.Status
	if r.WholeKey {
		status = s.Calls.SettleKey(request)
	} else {
		status = s.Calls.Settle(request)
	}
	reply := &meshpb.SettleReply{State: settleStates[status.Phase], Incarnation: string(s.Incarnation)}
	if status.Err != nil {
		reply.Failure = wire.EncodeError(status.Err)
	}
	if status.Phase == calls.Done && status.Err == nil {
		sum := newDigest("")
		sum.add(status.Answer)
		reply.Body, reply.End = status.Answer, sum.end(r.Id)
	}
	return reply, nil
}

var settleStates = map[calls.Phase]meshpb.SettleReply_State{
	calls.Registered:   meshpb.SettleReply_RUNNING,
	calls.Started:      meshpb.SettleReply_RUNNING,
	calls.Done:         meshpb.SettleReply_DONE,
	calls.NotRun:       meshpb.SettleReply_BARRED,
	calls.Unknown:      meshpb.SettleReply_FAILED,
	calls.AtFormerHome: meshpb.SettleReply_UNKNOWN,
}

// Handover takes in the memory of another agent of the pool.
func (s *Server) Handover(_ context.Context, r *meshpb.HandoverRequest) (*meshpb.HandoverReply, error) {
	m, err := wire.DecodeTransfer(r)
	if err == nil && mn.PoolID(r.Pool) != s.Pool {
		err = mn.Errorf(mn.BadRequest, "memory of pool %q reached an agent of pool %q", r.Pool, s.Pool)
	}
	if err != nil {
		return &meshpb.HandoverReply{Failure: wire.EncodeError(err)}, nil
	}
	if err := s.Calls.Import(m); err != nil {
		return &meshpb.HandoverReply{Failure: wire.EncodeError(err)}, nil
	}
	return &meshpb.HandoverReply{}, nil
}
