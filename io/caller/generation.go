package caller

import (
	"context"
	"errors"
	"strings"
	"time"

	"connectrpc.com/connect"

	mn "mustardnotch"
	"mustardnotch/core/fresh"
	"mustardnotch/core/poison"
	"mustardnotch/core/retry"
	"mustardnotch/core/spans"
	"mustardnotch/gen/apipb"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// maxAttachAttempts is how many times an entry attaches to an answer at the same agent
// before it continues the generation at another.
const maxAttachAttempts = 3

// maxFailures is the number of engine failures, detected as crashes or not, after which a
// generation is no longer retried.
const maxFailures = 2

// engineFailed reports whether err means that the engine failed while it ran the
// request, rather than the connection to the agent.
func engineFailed(err *mn.Error) bool {
	if wire.IsLinkError(err) || err.Outcome == mn.OutcomeNotRun {
		return false
	}
	return err.Code == poison.EndpointCrashed || err.Code == mn.EndpointFailed || err.Code == mn.Truncated
}

// generation is one caller's generation, which several agents may run in turn.
type generation struct {
	server  *Server
	request *meshpb.Request
	sink    func(mn.VMID, *meshpb.Frame) error
	text    strings.Builder
	backoff retry.Backoff
	avoid   []mn.VMID
	sinkErr error
	// failures counts the engines that failed while they ran the generation.
	failures  int
	sequence  int64
	tokens    int64
	startedAt mn.Millis
}

// runGeneration runs r and calls sink with its frames. When an agent or its engine
// fails, another agent continues after the text that was already sent.
func (s *Server) runGeneration(ctx context.Context, r *meshpb.Request, sink func(mn.VMID, *meshpb.Frame) error) error {
	g := &generation{server: s, request: r, sink: sink, backoff: newBackoff(), startedAt: s.Clock.Now()}
	g.text.WriteString(r.Generation.Prefix)
	g.sequence, g.tokens = r.Generation.PrefixSequence, r.Generation.PrefixTokens
	s.RetryBudget.Deposit()
	for {
		err := g.attempt(ctx)
		if err == nil || g.sinkErr != nil {
			return err
		}
		if !g.shouldRetry(ctx, mn.AsError(err)) {
			return g.finalError(err)
		}
	}
}

// finalError returns the error for the caller. An outcome "not run" becomes "unknown" if
// text was sent or an engine failed during the generation. After maxFailures the error
// is that of the quarantine, if the request has been quarantined.
func (g *generation) finalError(err error) error {
	if g.failures >= maxFailures {
		if q := g.server.checkQuarantine(g.fingerprint); q != nil {
			err = q
		}
	}
	e := mn.AsError(err)
	ran := g.failures > 0 || g.sequence > g.request.Generation.PrefixSequence
	if ran && e.Outcome == mn.OutcomeNotRun {
		return e.WithOutcome(mn.OutcomeUnknown)
	}
	return err
}

// shouldRetry reports whether the generation should be attempted again after err, and
// waits for the backoff before that.
func (g *generation) shouldRetry(ctx context.Context, err *mn.Error) bool {
	s := g.server
	if err.Code == mn.DeadlineTooShort && len(g.avoid) == 1 && ctx.Err() == nil {
		return s.RetryBudget.Withdraw() // another agent may have a shorter queue
	}
	if g.failures >= maxFailures || ctx.Err() != nil || !retry.Retryable(err) || s.Clock.Now()-g.startedAt > retryWindow && g.request.DeadlineMs == 0 {
		return false
	}
	return s.RetryBudget.Withdraw() && s.waitBackoff(ctx, &g.backoff, err)
}

// attempt runs the generation, or the rest of it, at one agent.
func (g *generation) attempt(ctx context.Context) error {
	s, r := g.server, g.request
	if err := s.checkQuarantine(g.fingerprint); err != nil {
		return err
	}
	r.Id = string(mn.NewRequestID())
	work := mn.Work{
		ID:        mn.RequestID(r.Id),
		Customer:  mn.CustomerID(r.Customer),
		Pool:      mn.PoolID(r.Pool),
		Weight:    r.Weight,
		Prompt:    r.Generation.Prompt,
		MaxTokens: r.Generation.MaxTokens,
		Prefilled: r.Generation.CacheHandle != "",
		Avoid:     g.avoid,
	}
	if d, ok := ctx.Deadline(); ok {
		work.Deadline = s.Clock.Now() + mn.MillisOf(time.Until(d))
	}
	m, done, err := s.Router.Route(ctx, work)
	if err != nil {
		g.avoid = crashedVMs(r)
		return err
	}
	err = g.submit(ctx, m)
	done(err)
	if err == nil {
		return nil
	}
	g.avoid = append(g.avoid, m.VM)
	if engineFailed(mn.AsError(err)) {
		g.failures++
	}
	if mn.CodeOf(err) == poison.EndpointCrashed {
		r.Crashes = append(r.Crashes, s.reportCrash(ctx, g.fingerprint(), m.VM))
	}
	return err
}

// crashedVMs returns the VMs whose endpoints r crashed. They remain excluded when no
// other agent is left; agents that failed otherwise may then be used again.
func crashedVMs(r *meshpb.Request) []mn.VMID {
	var vms []mn.VMID
	for _, c := range r.Crashes {
		vms = append(vms, mn.VMID(c.Vm))
	}
	return vms
}

func (g *generation) fingerprint() string {
	return poison.Fingerprint(mn.PoolID(g.request.Pool), g.request.Generation.Prompt)
}

// submit submits the generation to m, and attaches to its answer again if the
// connection breaks.
func (g *generation) submit(ctx context.Context, m mn.Member) error {
	s, r := g.server, g.request
	ctx, span := s.Tracer.Start(ctx, "entry.submit")
	defer span.End()
	r.Agent = string(m.Incarnation)
	r.Traceparent = spans.Inject(ctx)
	if d, ok := ctx.Deadline(); ok {
		r.DeadlineMs = max(int64(mn.MillisOf(time.Until(d))), 1)
	}
	body := r.Generation
	r.Generation = &meshpb.GenerationBody{
		Prompt:         body.Prompt,
		Prefix:         g.text.String(),
		PrefixSequence: g.sequence,
		PrefixTokens:   g.tokens,
		MaxTokens:      body.MaxTokens,
		Priority:       body.Priority,
		CacheHandle:    body.CacheHandle,
	}
	defer func() { r.Generation = body }()
	pass := func(f *meshpb.Frame) error { return g.forward(m.VM, f) }
	err := s.Agents.Submit(ctx, m.Addr, r, pass)
	for i := 0; i < maxAttachAttempts && g.connectionBroken(ctx, err); i++ {
		if s.Clock.Sleep(ctx, initialBackoff) != nil {
			break
		}
		attach := &meshpb.AttachRequest{Id: r.Id, Customer: r.Customer, KeyHash: r.KeyHash, AfterSequence: g.sequence}
		err = s.Agents.Attach(ctx, m.Addr, attach, g.text.String(), pass)
		if errors.Is(err, wire.ErrSilent) {
			break
		}
	}
	if err != nil {
		spans.RecordError(span, err)
	}
	return err
}

// connectionBroken reports whether err means that the connection to the agent broke
// while the generation may still be running.
func (g *generation) connectionBroken(ctx context.Context, err error) bool {
	return err != nil && g.sinkErr == nil && ctx.Err() == nil && wire.IsLinkError(err) && mn.CodeOf(err) != mn.NoEndpoint
}

// forward calls sink with f and records the progress of the generation.
func (g *generation) forward(vm mn.VMID, f *meshpb.Frame) error {
	if err := g.sink(vm, f); err != nil {
		g.sinkErr = err
		return err
	}
	if f.End == nil {
		g.text.WriteString(f.Text)
		g.sequence = f.Sequence
		g.tokens += f.Tokens
	}
	return nil
}

// resume continues a generation whose stream broke, also if that stream was at another
// entry.
func (s *Server) resume(ctx context.Context, req *connect.Request[apipb.ResumeRequest], out *connect.ServerStream[apipb.GenerateChunk]) error {
	m := req.Msg
	fields := strings.Split(m.ResumeToken, "/")
	if len(fields) != 3 || m.AfterSequence < 0 {
		return mn.Errorf(mn.BadRequest, "resume_token %q: want the resume_token of a chunk", m.ResumeToken).WithOutcome(mn.OutcomeUnknown)
	}
	v := s.Views.View()
	pool, found := v.Pool(mn.PoolID(fields[0]))
	id, err := s.identify(req.Header(), found && pool.Open)
	if err != nil {
		return mn.AsError(err).WithOutcome(mn.OutcomeUnknown)
	}
	ctx, session := s.Guard.OpenSession(ctx, id.hash)
	defer session.Close()
	member, ok := v.Roster[mn.VMID(fields[1])]
	if !ok {
		return mn.Errorf(mn.UnknownRequest, "VM %q of resume_token has no agent", fields[1])
	}
	r := s.newRequest(id, pool.ID, 0, v.Offset)
	r.Id = fields[2]
	after := m.AfterSequence
	sink := func(f *meshpb.Frame) error {
		if err := session.Err(); err != nil {
			return errors.Join(errSink, err)
		}
		if f.End != nil {
			s.record(r, f.End)
		}
		if err := out.Send(chunkOf(pool.ID, member.VM, r.Id, f)); err != nil {
			return errors.Join(errSink, err)
		}
		if f.End == nil {
			after = f.Sequence
		}
		return nil
	}
	for attempt := 0; ; attempt++ {
		attach := &meshpb.AttachRequest{Id: r.Id, Customer: r.Customer, KeyHash: r.KeyHash, AfterSequence: after}
		err := s.Agents.Resume(ctx, member.Addr, attach, sink)
		if err == nil || errors.Is(err, errSink) || !wire.IsLinkError(err) || attempt == maxAttachAttempts {
			return fresh.SessionError(ctx, err)
		}
		if s.Clock.Sleep(ctx, initialBackoff) != nil {
			return fresh.SessionError(ctx, err)
		}
	}
}

// errSink marks errors that are not from the agent: the stream to the caller failed or
// its session ended.
var errSink = errors.New("send to caller")
