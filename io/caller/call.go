package caller

import (
	"context"
	"slices"

	mn "mustardnotch"
	"mustardnotch/core/calls"
	"mustardnotch/core/poison"
	"mustardnotch/core/rendez"
	"mustardnotch/core/retry"
	"mustardnotch/core/spans"
	"mustardnotch/gen/apipb"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

const (
	initialBackoff = 20 * mn.Millisecond
	maxBackoff     = 500 * mn.Millisecond
	// retryWindow is how long a generation without a deadline may be retried.
	retryWindow = 10 * mn.Second
	// settleTimeout limits the last settle request for a call that has failed or
	// whose deadline has passed.
	settleTimeout = 1 * mn.Second
)

// pendingCall is one call that has no answer yet.
type pendingCall struct {
	server     *Server
	request    *meshpb.Request
	repeatable bool
	backoff    retry.Backoff
	avoid      []mn.VMID
	body       []byte
	servedBy   string
}

func (s *Server) newPendingCall(r *meshpb.Request, repeatable bool) *pendingCall {
	return &pendingCall{server: s, request: r, repeatable: repeatable, backoff: newBackoff()}
}

func newBackoff() retry.Backoff { return retry.Backoff{Initial: initialBackoff, Max: maxBackoff} }

// hasKey reports whether the call has an idempotency key.
func (j *pendingCall) hasKey() bool { return j.request.IdempotencyKey != "" }

// answer returns the call's response, or err if that isn't nil.
func (j *pendingCall) answer(err error) (*apipb.CallResponse, error) {
	if err != nil {
		return nil, err
	}
	return &apipb.CallResponse{Body: j.body, RequestId: j.servedBy}, nil
}

// receiveFrame adds a frame to the answer.
func (j *pendingCall) receiveFrame(f *meshpb.Frame) error {
	j.body = append(j.body, f.Body...)
	if f.End == nil {
		return nil
	}
	j.servedBy = j.request.Id
	if f.End.RequestId != "" {
		j.servedBy = f.End.RequestId
	}
	j.server.record(j.request, f.End)
	return nil
}

// run attempts the call until it has an answer or an outcome that rules out a retry, or
// until ctx is done.
func (j *pendingCall) run(ctx context.Context) error {
	s := j.server
	s.RetryBudget.Deposit()
	for {
		if err := s.checkQuarantine(j.fingerprint); err != nil {
			return j.confirmOutcome(ctx, err)
		}
		m, done, err := j.chooseAgent(ctx)
		if err == nil {
			err = j.submit(ctx, m)
			done(err)
		}
		if err == nil {
			return nil
		}
		if !j.shouldRetry(mn.AsError(err)) || !s.waitBackoff(ctx, &j.backoff, err) {
			return j.confirmOutcome(ctx, err)
		}
	}
}

func (j *pendingCall) fingerprint() string {
	r := j.request
	return poison.Fingerprint(mn.PoolID(r.Pool), r.Call.Path, string(r.Call.Body))
}

// chooseAgent returns the home of the call's key, or the agent that the router chooses
// for a call without a key, and a function to call with the result.
func (j *pendingCall) chooseAgent(ctx context.Context) (mn.Member, func(error), error) {
	r := j.request
	if !j.hasKey() {
		m, done, err := j.server.Router.Route(ctx, mn.Work{
			ID:       mn.RequestID(r.Id),
			Customer: mn.CustomerID(r.Customer),
			Pool:     mn.PoolID(r.Pool),
			Weight:   r.Weight,
			Avoid:    j.avoid,
		})
		if err != nil {
			j.avoid = crashedVMs(r)
		}
		return m, done, err
	}
	m, err := j.home()
	return m, func(error) {}, err
}

// home returns the agent that is the home of the call's key.
func (j *pendingCall) home() (mn.Member, error) {
	v := j.server.Views.View()
	var vms []mn.VMID
	for _, m := range v.Agents(mn.PoolID(j.request.Pool)) {
		vms = append(vms, m.VM)
	}
	vm, ok := rendez.Home(j.request.IdempotencyKey, vms)
	if !ok {
		err := mn.Errorf(mn.NoEndpoint, "pool %q has no agent", j.request.Pool).WithRetryAfter(mn.Second)
		return mn.Member{}, err
	}
	return v.Roster[vm], nil
}

// submit submits the call to m. If the connection breaks, a call without a key is
// settled at m. A call with a key needs no settling, because it can be sent again.
func (j *pendingCall) submit(ctx context.Context, m mn.Member) error {
	s := j.server
	ctx, span := s.Tracer.Start(ctx, "entry.submit")
	defer span.End()
	r := j.request
	r.Id = string(mn.NewRequestID())
	if r.Agent != "" || len(j.avoid) == 0 {
		r.Agent = string(m.Incarnation)
	}
	r.Traceparent = spans.Inject(ctx)
	j.body = nil
	err := s.Agents.Submit(ctx, m.Addr, r, j.receiveFrame)
	if err != nil && wire.IsLinkError(err) && mn.CodeOf(err) != mn.NoEndpoint {
		r.First = false
		if !j.hasKey() {
			err = j.settle(ctx, m, err)
		}
	}
	if err != nil {
		spans.RecordError(span, err)
		j.recordFailure(ctx, m, mn.AsError(err))
	}
	return err
}

// recordFailure records the failure of the call at m for the next attempt.
func (j *pendingCall) recordFailure(ctx context.Context, m mn.Member, err *mn.Error) {
	if !slices.Contains(j.avoid, m.VM) {
		j.avoid = append(j.avoid, m.VM)
	}
	j.request.Agent = string(m.Incarnation)
	if err.Code == calls.OtherProcess {
		// The roster doesn't have the agent's present incarnation yet.
		j.request.Agent = ""
	}
	if err.Code == poison.EndpointCrashed {
		j.request.Crashes = append(j.request.Crashes, j.server.reportCrash(ctx, j.fingerprint(), m.VM))
	}
}

// resendCodes are failures after which a call with a key may be sent to its home again
// whatever their outcome, because the home has not run it for this request.
var resendCodes = []mn.Code{
	calls.NotHome, calls.HomeChanging, calls.OtherProcess, mn.Draining, mn.NotCurrent, mn.Barred, mn.Overloaded, mn.NoEndpoint,
}

// shouldRetry reports whether the call may be attempted again after err.
func (j *pendingCall) shouldRetry(err *mn.Error) bool {
	switch {
	case j.hasKey() && (wire.IsLinkError(err) || slices.Contains(resendCodes, err.Code)):
		return true
	case err.Outcome == mn.OutcomeNotRun || j.repeatable:
		return retry.Retryable(err) && j.server.RetryBudget.Withdraw()
	}
	return false
}

// settle asks m for the outcome of the call until the call is no longer running or ctx
// is done, and then once more. Without an outcome it returns linkErr.
func (j *pendingCall) settle(ctx context.Context, m mn.Member, linkErr error) error {
	for {
		reply, err := j.server.Agents.Settle(ctx, m.Addr, j.settleRequest())
		if err == nil && reply.State != meshpb.SettleReply_RUNNING {
			return j.settleResult(reply, linkErr)
		}
		if !j.server.waitBackoff(ctx, &j.backoff, linkErr) {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout.Duration())
	defer cancel()
	reply, err := j.server.Agents.Settle(ctx, m.Addr, j.settleRequest())
	if err != nil {
		return linkErr
	}
	return j.settleResult(reply, linkErr)
}

// settleRequest returns a request for the outcome of the last attempt.
func (j *pendingCall) settleRequest() *meshpb.SettleRequest {
	r := j.request
	out := &meshpb.SettleRequest{Id: r.Id, Agent: r.Agent, IdempotencyKey: r.IdempotencyKey, First: r.First}
	hash := wire.CallFingerprint(r)
	out.Fingerprint = hash[:]
	return out
}

// settleResult stores the answer in an agent's reply, or returns the error in it. It
// returns linkErr if the outcome is not known.
func (j *pendingCall) settleResult(reply *meshpb.SettleReply, linkErr error) error {
	switch reply.State {
	case meshpb.SettleReply_DONE:
		if reply.Failure != nil {
			return wire.DecodeError(reply.Failure)
		}
		j.body = nil
		return j.receiveFrame(&meshpb.Frame{Body: reply.Body, End: reply.End})
	case meshpb.SettleReply_BARRED:
		e := mn.AsError(wire.DecodeError(reply.Failure))
		return e.WithOutcome(mn.OutcomeNotRun)
	case meshpb.SettleReply_FAILED:
		return wire.DecodeError(reply.Failure)
	}
	return linkErr
}

// confirmOutcome corrects the outcome of the final error of a call whose key an earlier
// request may have used. It asks the key's home, and the outcome is "not run" only if
// the home reports that. It returns nil if the home has the answer.
func (j *pendingCall) confirmOutcome(ctx context.Context, lastErr error) error {
	e := mn.AsError(lastErr)
	if !j.hasKey() || j.request.First && e.Outcome == mn.OutcomeNotRun {
		return lastErr
	}
	if e.Outcome == mn.OutcomeRan || e.Code == mn.Duplicate || e.Code == mn.BadIdempotencyKey {
		return lastErr
	}
	m, err := j.home()
	if err != nil {
		return e.WithOutcome(mn.OutcomeUnknown)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout.Duration())
	defer cancel()
	q := j.settleRequest()
	q.Id, q.Agent, q.WholeKey = string(mn.NewRequestID()), string(m.Incarnation), true
	reply, err := j.server.Agents.Settle(ctx, m.Addr, q)
	if err != nil {
		return e.WithOutcome(mn.OutcomeUnknown)
	}
	switch reply.State {
	case meshpb.SettleReply_DONE:
		return j.settleResult(reply, lastErr)
	case meshpb.SettleReply_BARRED:
		return e.WithOutcome(mn.OutcomeNotRun)
	}
	return e.WithOutcome(mn.OutcomeUnknown)
}

// checkQuarantine returns an error if requests with the fingerprint are quarantined. It
// calls fingerprint only if any crash is tracked.
func (s *Server) checkQuarantine(fingerprint func() string) error {
	if !s.CrashTracker.HasSuspects() {
		return nil
	}
	if err := s.CrashTracker.Check(fingerprint()); err != nil {
		return err
	}
	return nil
}

// waitBackoff waits before a retry, and reports whether the wait was over before ctx was
// done.
func (s *Server) waitBackoff(ctx context.Context, b *retry.Backoff, err error) bool {
	return s.Clock.Sleep(ctx, b.Next(mn.AsError(err))) == nil
}
