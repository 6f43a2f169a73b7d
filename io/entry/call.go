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
	// callTimeout limits a call at the endpoint. It replaces the caller's deadline,
	// so that a retry after that deadline finds the answer.
	callTimeout = 60 * mn.Second
	// retryDelay is the time after which an entry should resend a call if the
	// earlier request with its key was cancelled before it started.
	retryDelay = 20 * mn.Millisecond
	// probeTimeout limits the check whether the endpoint has crashed.
	probeTimeout = 300 * mn.Millisecond
)

// call runs a call, or waits for an earlier call with the same key, and sends the
// answer.
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
		// The request that owned the call was cancelled before the call started.
		// The entry may send this request again, under a new id.
		return mn.Errorf(mn.Barred, "earlier request with the same key did not run: %w", waitErr).WithOutcome(mn.OutcomeUnknown).WithRetryAfter(retryDelay)
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
		out.Fingerprint = wire.CallFingerprint(r)
	}
	return out
}

// runCall runs the call when the scheduler and the quarantine admit it, unless ctx is
// done before that. A call that has started continues to its end or to callTimeout,
// even if the connection to the entry breaks.
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
	if err := s.checkRequest(r); err != nil {
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
		e = mn.Errorf(mn.Cancelled, "request ended before it started: %w", err)
	}
	return e.WithOutcome(mn.OutcomeNotRun)
}

// fingerprint returns a hash of the content of r, which doesn't depend on the
// customer.
func fingerprint(r *meshpb.Request) string {
	if g := r.Generation; g != nil {
		return poison.Fingerprint(mn.PoolID(r.Pool), g.Prompt)
	}
	return poison.Fingerprint(mn.PoolID(r.Pool), r.Call.GetPath(), string(r.Call.GetBody()))
}

// endAdmission ends the admission of a request whose result at the endpoint was err.
// If the endpoint has crashed, it reports the crash for every request that was
// running there and returns an error with code [poison.EndpointCrashed].
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
	for _, f := range admission.TakeSuspects() {
		crash := mn.CrashRecord{Fingerprint: f, VM: s.VM, SeenAt: s.Clock.Wall()}
		s.CrashTracker.Add(crash)
		s.ReportCrash(crash)
	}
	return mn.Errorf(poison.EndpointCrashed, "%w", err)
}

// recordUsage records the usage of a request. It must be called before the end marker
// is sent, so that no caller receives a complete answer that is not recorded.
func (s *Server) recordUsage(id, customer string, end *meshpb.End) {
	s.Recorder.Record(mn.RequestUsage{
		ID:           mn.RequestID(id),
		Customer:     mn.CustomerID(customer),
		Pool:         s.Pool,
		PromptTokens: end.PromptTokens,
		OutputTokens: end.OutputTokens,
	})
}

// Settle returns the outcome of a request. It bars a request that was never received
// or has not started.
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

// Handover imports the state of calls that another agent of the pool transfers.
func (s *Server) Handover(_ context.Context, r *meshpb.HandoverRequest) (*meshpb.HandoverReply, error) {
	m, err := wire.DecodeTransfer(r)
	if err == nil && mn.PoolID(r.Pool) != s.Pool {
		err = mn.Errorf(mn.BadRequest, "transfer for pool %q sent to an agent of pool %q", r.Pool, s.Pool)
	}
	if err != nil {
		return &meshpb.HandoverReply{Failure: wire.EncodeError(err)}, nil
	}
	if err := s.Calls.Import(m); err != nil {
		return &meshpb.HandoverReply{Failure: wire.EncodeError(err)}, nil
	}
	return &meshpb.HandoverReply{}, nil
}
