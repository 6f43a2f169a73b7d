package entry

import (
	"context"
	"errors"

	mn "mustardnotch"
	"mustardnotch/core/calls"
	"mustardnotch/core/fresh"
	"mustardnotch/core/replay"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// maxIdleTime is how long a generation continues while no stream reads it, so that
// its caller can resume it.
const maxIdleTime = 8 * mn.Second

// frameOverhead is the size in bytes that each stored frame counts in addition to its
// text.
const frameOverhead = 200

// generate starts a generation, which doesn't end with the stream, and sends its
// frames. The frames are stored, so that a later stream can attach to the answer.
func (s *Server) generate(ctx context.Context, r *meshpb.Request, out *sender) error {
	c, owner, err := s.Calls.Begin(tableRequest(r))
	if err != nil {
		return err
	}
	if !owner {
		return mn.Errorf(mn.BadRequest, "request %s was submitted before", r.Id)
	}
	first := mn.Sequence(r.Generation.PrefixSequence)
	answer, err := s.Answers.Open(mn.RequestID(r.Id), mn.CustomerID(r.Customer), first+1)
	if err != nil {
		return err
	}
	s.running.Add(1)
	s.wg.Go(func() {
		defer s.running.Add(-1)
		s.runGeneration(ctx, r, c, answer)
	})
	if r.Generation.PrefillOnly {
		return answer.Read(ctx, first, out.send) // the agent that generates the output records the usage
	}
	return answer.Read(ctx, first, s.recordAtEnd(r.Customer, out.send))
}

// recordAtEnd returns a function that calls send and, in front of an end marker,
// records the usage of the generation. So an answer that nobody reads to its end isn't
// billed, and every answer that its caller has received completely is.
func (s *Server) recordAtEnd(customer string, send func(*meshpb.Frame) error) func(*meshpb.Frame) error {
	return func(f *meshpb.Frame) error {
		if f.End != nil {
			s.recordUsage(f.End.UsageId, customer, f.End)
		}
		return send(f)
	}
}

// Attach streams the rest of the answer to a request that was submitted before.
func (s *Server) Attach(r *meshpb.AttachRequest, stream meshpb.DRPCAgent_AttachStream) error {
	s.wg.Add(1)
	defer s.wg.Done()
	ctx, span := s.Tracer.Start(stream.Context(), "agent.attach")
	defer span.End()
	out := newSender(stream, s.Clock)
	defer out.close()
	if err := s.attach(ctx, r, out); err != nil {
		return out.send(&meshpb.Frame{Failure: wire.EncodeError(err)})
	}
	return nil
}

func (s *Server) attach(ctx context.Context, r *meshpb.AttachRequest, out *sender) error {
	if err := s.authorize(r.Customer, r.KeyHash); err != nil {
		return mn.AsError(err).WithOutcome(mn.OutcomeUnknown)
	}
	answer, err := s.Answers.Find(mn.RequestID(r.Id), mn.CustomerID(r.Customer))
	if err != nil {
		return err
	}
	ctx, session := s.Guard.OpenSessionAllowStale(ctx, mn.KeyHash(r.KeyHash))
	defer session.Close()
	return fresh.SessionError(ctx, answer.Read(ctx, mn.Sequence(r.AfterSequence), s.recordAtEnd(r.Customer, out.send)))
}

type frames = replay.Answer[*meshpb.Frame]

func (s *Server) runGeneration(ctx context.Context, r *meshpb.Request, c *calls.Call, answer *frames) {
	defer answer.End()
	ctx, cancel := s.detach(ctx, r)
	defer cancel()
	ctx, session := s.Guard.OpenSessionAllowStale(ctx, mn.KeyHash(r.KeyHash))
	defer session.Close()
	go s.cancelIdle(ctx, cancel, answer)
	err := s.runAtEngine(ctx, r, c, answer)
	if err != nil {
		answer.Append(&meshpb.Frame{Failure: wire.EncodeError(err)}, frameOverhead)
		c.Finish(nil, mn.AsError(err))
		return
	}
	c.Finish(nil, nil)
}

// detach returns a context with the deadline of r that isn't cancelled when the
// stream ends.
func (s *Server) detach(ctx context.Context, r *meshpb.Request) (context.Context, context.CancelFunc) {
	return s.withDeadline(context.WithoutCancel(ctx), r)
}

// cancelIdle cancels a generation that no stream has read for maxIdleTime.
func (s *Server) cancelIdle(ctx context.Context, cancel func(), answer *frames) {
	for s.Clock.Sleep(ctx, maxIdleTime/4) == nil {
		if answer.Idle() >= maxIdleTime {
			cancel()
		}
	}
}

func (s *Server) runAtEngine(ctx context.Context, r *meshpb.Request, c *calls.Call, answer *frames) error {
	var tokens int64
	release, err := s.Scheduler.Acquire(ctx, s.work(r))
	if err != nil {
		return notStarted(fresh.SessionError(ctx, err))
	}
	defer func() { release(tokens) }()
	admission, err := s.Quarantine.Admit(ctx, func() string { return fingerprint(r) })
	if err != nil {
		return notStarted(err)
	}
	if err := s.checkRequest(r); err != nil {
		admission.End(false)
		return err
	}
	if err := c.Start(); err != nil {
		admission.End(false)
		return err
	}
	end, err := s.runEngine(ctx, r, answer, &tokens)
	err = s.endAdmission(ctx, admission, err)
	if err != nil {
		return contextError(ctx, fresh.SessionError(ctx, err))
	}
	answer.Append(&meshpb.Frame{End: end}, frameOverhead)
	return nil
}

// contextError returns err with the code that says why ctx ended, or unchanged if ctx
// is not done or the key was withdrawn.
func contextError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() == nil || mn.CodeOf(err) == mn.KeyWithdrawn:
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return mn.Errorf(mn.DeadlineExceeded, "generation ended: %w", err)
	}
	return mn.Errorf(mn.Cancelled, "generation ended: %w", err)
}

// runEngine runs the generation at the engine, stores its frames in answer, and
// returns the end marker. It keeps *tokens up to date for the caller that releases
// the request if the generation fails.
func (s *Server) runEngine(ctx context.Context, r *meshpb.Request, answer *frames, tokens *int64) (*meshpb.End, error) {
	g := r.Generation
	sum := newDigest(g.Prefix)
	seq := g.PrefixSequence
	*tokens = g.PrefixTokens
	var prompt, cached int64
	emit := func(p mn.OutputChunk) error {
		*tokens += p.Tokens
		sum.add([]byte(p.Text))
		prompt += p.PromptTokens
		cached += p.CachedTokens
		seq++
		answer.Append(&meshpb.Frame{Sequence: seq, Text: p.Text, Tokens: p.Tokens, CacheHandle: p.CacheHandle}, int64(len(p.Text))+frameOverhead)
		return nil
	}
	err := s.Engine.Generate(ctx, mn.Generation{
		ID:          mn.RequestID(r.Id),
		Prompt:      g.Prompt,
		Prefix:      g.Prefix,
		MaxTokens:   g.MaxTokens,
		Priority:    mn.Priority(g.Priority),
		CacheHandle: g.CacheHandle,
		PrefillOnly: g.PrefillOnly,
	}, emit)
	if err != nil {
		return nil, err
	}
	end := sum.end(r.Id)
	end.UsageId = r.UsageId
	end.PromptTokens, end.CachedTokens, end.OutputTokens = prompt, cached, *tokens
	return end, nil
}
