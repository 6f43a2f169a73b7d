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
	firstPause   = 20 * mn.Millisecond
	longestPause = 500 * mn.Millisecond
	// patience bounds the retries of a request without a deadline.
	patience = 10 * mn.Second
	// verdictLimit bounds the last question about a call whose time is up.
	verdictLimit = 1 * mn.Second
)

// job is one call on its way to an answer.
type job struct {
	server     *Server
	request    *meshpb.Request
	repeatable bool
	backoff    retry.Backoff
	avoid      []mn.VMID
	body       []byte
	servedBy   string
}

func (s *Server) newJob(r *meshpb.Request, repeatable bool) *job {
	return &job{server: s, request: r, repeatable: repeatable, backoff: newBackoff()}
}

func newBackoff() retry.Backoff { return retry.Backoff{Initial: firstPause, Max: longestPause} }

func (j *job) keyed() bool { return j.request.IdempotencyKey != "" }

// answer returns the call's response, given the error that it ended with.
func (j *job) answer(err error) (*apipb.CallResponse, error) {
	if err != nil {
		return nil, err
	}
	return &apipb.CallResponse{Body: j.body, RequestId: j.servedBy}, nil
}

// take is the sink of the answer's frames.
func (j *job) take(f *meshpb.Frame) error {
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

// run tries the call until it has an answer, or an outcome that forbids a
// retry, or its time is up.
func (j *job) run(ctx context.Context) error {
	s := j.server
	s.RetryBudget.Deposit()
	for {
		if err := s.quarantined(j.content); err != nil {
			return j.verdict(ctx, err)
		}
		m, done, err := j.target(ctx)
		if err == nil {
			err = j.submit(ctx, m)
			done(err)
		}
		if err == nil {
			return nil
		}
		if !j.again(mn.AsError(err)) || !s.pause(ctx, &j.backoff, err) {
			return j.verdict(ctx, err)
		}
	}
}

func (j *job) content() string {
	r := j.request
	return poison.Fingerprint(mn.PoolID(r.Pool), r.Call.Path, string(r.Call.Body))
}

// target chooses the agent: the home of the key, or any for a call without.
func (j *job) target(ctx context.Context) (mn.Member, func(error), error) {
	r := j.request
	if !j.keyed() {
		m, done, err := j.server.Router.Route(ctx, mn.Work{
			ID:       mn.RequestID(r.Id),
			Customer: mn.CustomerID(r.Customer),
			Pool:     mn.PoolID(r.Pool),
			Weight:   r.Weight,
			Avoid:    j.avoid,
		})
		if err != nil {
			j.avoid = crashedAt(r)
		}
		return m, done, err
	}
	m, err := j.home()
	return m, func(error) {}, err
}

func (j *job) home() (mn.Member, error) {
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

// submit hands the call to m. A call without a key whose connection broke is
// settled there; one with a key is simply sent again.
func (j *job) submit(ctx context.Context, m mn.Member) error {
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
	err := s.Agents.Submit(ctx, m.Addr, r, j.take)
	if err != nil && wire.IsLinkError(err) && mn.CodeOf(err) != mn.NoEndpoint {
		r.First = false
		if !j.keyed() {
			err = j.settle(ctx, m, err)
		}
	}
	if err != nil {
		spans.RecordError(span, err)
		j.learn(ctx, m, mn.AsError(err))
	}
	return err
}

// learn takes the failure of the call at m into account for the next try.
func (j *job) learn(ctx context.Context, m mn.Member, err *mn.Error) {
	if !slices.Contains(j.avoid, m.VM) {
		j.avoid = append(j.avoid, m.VM)
	}
	j.request.Agent = string(m.Incarnation)
	if err.Code == calls.OtherProcess {
		// The roster doesn't know the agent's present process yet.
		j.request.Agent = ""
	}
	if err.Code == poison.EndpointCrashed {
		j.request.Crashes = append(j.request.Crashes, j.server.crashed(ctx, j.content(), m.VM))
	}
}

// homeCodes are failures after which a call with a key may be sent to its home
// again whatever their outcome: the home did not run it on this request.
var homeCodes = []mn.Code{
	calls.NotHome, calls.HomeChanging, calls.OtherProcess, mn.Draining, mn.NotCurrent, mn.Barred, mn.Overloaded, mn.NoEndpoint,
}

// again says whether the call may be tried again after err.
func (j *job) again(err *mn.Error) bool {
	switch {
	case j.keyed() && (wire.IsLinkError(err) || slices.Contains(homeCodes, err.Code)):
		return true
	case err.Outcome == mn.OutcomeNotRun || j.repeatable:
		return retry.Retryable(err) && j.server.RetryBudget.Withdraw()
	}
	return false
}

// settle asks m what became of the call until it knows or the time is up.
func (j *job) settle(ctx context.Context, m mn.Member, lost error) error {
	for {
		reply, err := j.server.Agents.Settle(ctx, m.Addr, j.question())
		if err == nil && reply.State != meshpb.SettleReply_RUNNING {
			return j.settled(reply, lost)
		}
		if !j.server.pause(ctx, &j.backoff, lost) {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verdictLimit.Duration())
	defer cancel()
	reply, err := j.server.Agents.Settle(ctx, m.Addr, j.question())
	if err != nil {
		return lost
	}
	return j.settled(reply, lost)
}

func (j *job) question() *meshpb.SettleRequest {
	r := j.request
	q := &meshpb.SettleRequest{Id: r.Id, Agent: r.Agent, IdempotencyKey: r.IdempotencyKey, First: r.First}
	hash := wire.Fingerprint(r)
	q.Fingerprint = hash[:]
	return q
}

// settled turns an agent's reply into the call's answer or error.
func (j *job) settled(reply *meshpb.SettleReply, lost error) error {
	switch reply.State {
	case meshpb.SettleReply_DONE:
		if reply.Failure != nil {
			return wire.DecodeError(reply.Failure)
		}
		j.body = nil
		return j.take(&meshpb.Frame{Body: reply.Body, End: reply.End})
	case meshpb.SettleReply_BARRED:
		e := mn.AsError(wire.DecodeError(reply.Failure))
		return e.WithOutcome(mn.OutcomeNotRun)
	case meshpb.SettleReply_FAILED:
		return wire.DecodeError(reply.Failure)
	}
	return lost
}

// verdict makes the outcome of the final error true for a call whose key may
// have come with an earlier request: "not run" only if the key's home says so.
// It returns nil if the home has the answer.
func (j *job) verdict(ctx context.Context, last error) error {
	e := mn.AsError(last)
	if !j.keyed() || j.request.First && e.Outcome == mn.OutcomeNotRun {
		return last
	}
	if e.Outcome == mn.OutcomeRan || e.Code == mn.Duplicate || e.Code == mn.BadIdempotencyKey {
		return last
	}
	m, err := j.home()
	if err != nil {
		return e.WithOutcome(mn.OutcomeUnknown)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verdictLimit.Duration())
	defer cancel()
	q := j.question()
	q.Id, q.Agent, q.WholeKey = string(mn.NewRequestID()), string(m.Incarnation), true
	reply, err := j.server.Agents.Settle(ctx, m.Addr, q)
	if err != nil {
		return e.WithOutcome(mn.OutcomeUnknown)
	}
	switch reply.State {
	case meshpb.SettleReply_DONE:
		return j.settled(reply, last)
	case meshpb.SettleReply_BARRED:
		return e.WithOutcome(mn.OutcomeNotRun)
	}
	return e.WithOutcome(mn.OutcomeUnknown)
}

// quarantined returns an error if requests of that content are.
func (s *Server) quarantined(content func() string) error {
	if !s.Crashes.HasSuspects() {
		return nil
	}
	if err := s.Crashes.Check(content()); err != nil {
		return err
	}
	return nil
}

// pause waits before a retry. It returns false if the time would be up.
func (s *Server) pause(ctx context.Context, b *retry.Backoff, err error) bool {
	return s.Clock.Sleep(ctx, b.Next(mn.AsError(err))) == nil
}
