// Package entry is the agent's side of its connections to entries: the drpc
// service through which every request and order to the endpoint passes.
package entry

import (
	"context"
	"crypto/sha256"
	"hash"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	mn "mustardnotch"
	"mustardnotch/core/spans"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// Heartbeat is the span between heartbeats on a stream with nothing to send.
const Heartbeat = 500 * mn.Millisecond

// Config has what a server depends on.
type Config struct {
	VM          mn.VMID
	Incarnation mn.Incarnation
	Pool        mn.PoolID
	Clock       mn.Clock
	Views       mn.Views
	Currency    mn.Currency
	Scheduler   mn.Scheduler
	Recorder    mn.Recorder
	Loads       Loads
	Tracer      trace.Tracer
	Log         *logrus.Entry
	// Engine or Plain is the endpoint, the other is nil.
	Engine mn.Engine
	Plain  mn.PlainService
	// Gate takes orders to the engine. It is set after New, since it holds the
	// server's admission; nil for plain services.
	Gate mn.OrderTaker
}

// Server implements the drpc service Agent.
type Server struct {
	meshpb.DRPCAgentUnimplementedServer
	Config
	running  atomic.Int64
	draining atomic.Bool
	held     atomic.Bool
	wg       sync.WaitGroup
}

// New returns a server with the given dependencies.
func New(c Config) *Server {
	return &Server{Config: c}
}

// Drain refuses new work from now on and waits until requests have ended or
// ctx is done.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Submit runs one request and streams its answer. Every failure crosses in a
// frame, so that its code survives.
func (s *Server) Submit(r *meshpb.Request, stream meshpb.DRPCAgent_SubmitStream) error {
	s.wg.Add(1)
	defer s.wg.Done()
	s.running.Add(1)
	defer s.running.Add(-1)

	ctx, cancel := s.withDeadline(stream.Context(), r)
	defer cancel()
	ctx = spans.Extract(ctx, r.Traceparent)
	ctx, span := s.Tracer.Start(ctx, "agent.submit")
	defer span.End()

	out := newSender(stream, s.Clock)
	defer out.close()
	err := s.run(ctx, r, out)
	if err == nil {
		return nil
	}
	spans.Fail(span, err)
	return out.send(&meshpb.Frame{Failure: wire.FailureOf(err)})
}

func (s *Server) withDeadline(ctx context.Context, r *meshpb.Request) (context.Context, context.CancelFunc) {
	if r.DeadlineMs <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, mn.Millis(r.DeadlineMs).Duration())
}

func (s *Server) run(ctx context.Context, r *meshpb.Request, out *sender) error {
	if err := s.admit(r); err != nil {
		return err
	}
	work := s.work(r)
	release, err := s.Scheduler.Acquire(ctx, work)
	if err != nil {
		return err
	}
	var tokens int64
	defer func() { release(tokens) }()

	switch {
	case r.Generation != nil && s.Engine != nil:
		return s.generate(ctx, r, out, &tokens)
	case r.Call != nil && s.Plain != nil:
		return s.call(ctx, r, out)
	}
	return mn.Errorf(mn.BadRequest, "endpoint of pool %q does not serve this kind of request", s.Pool)
}

func (s *Server) admit(r *meshpb.Request) error {
	if s.draining.Load() {
		return mn.Errorf(mn.Draining, "agent %s is leaving", s.VM)
	}
	if s.held.Load() {
		return mn.Errorf(mn.Draining, "endpoint of agent %s is about to change", s.VM)
	}
	if r.Id == "" || mn.PoolID(r.Pool) != s.Pool {
		return mn.Errorf(mn.BadRequest, "request %q for pool %q reached an agent of pool %q", r.Id, r.Pool, s.Pool)
	}
	if err := s.Currency.Current(); err != nil {
		return err
	}
	return s.authorize(r)
}

// authorize checks the key again, in the agent's own view: a request runs only
// for the customer whose key came with it.
func (s *Server) authorize(r *meshpb.Request) error {
	v := s.Views.View()
	if r.KeyHash == "" {
		p, ok := v.Pool(s.Pool)
		if ok && p.Open && r.Customer == "" {
			return nil
		}
		return mn.Errorf(mn.Unauthenticated, "pool %q is not open", s.Pool)
	}
	k, ok := v.Keys[mn.KeyHash(r.KeyHash)]
	if !ok {
		return mn.Errorf(mn.Unauthenticated, "no such key")
	}
	if k.Withdrawn {
		return mn.Errorf(mn.KeyWithdrawn, "key %q", k.Name).WithOutcome(mn.OutcomeNotRun)
	}
	if string(k.Customer) != r.Customer {
		return mn.Errorf(mn.Unauthenticated, "key %q belongs to another customer", k.Name)
	}
	return nil
}

func (s *Server) work(r *meshpb.Request) mn.Work {
	w := mn.Work{
		ID:       mn.RequestID(r.Id),
		Customer: mn.CustomerID(r.Customer),
		Pool:     s.Pool,
		Key:      mn.IdempotencyKey(r.IdempotencyKey),
		Weight:   r.Weight,
	}
	if r.DeadlineMs > 0 {
		w.Deadline = s.Clock.Now() + mn.Millis(r.DeadlineMs)
	}
	if g := r.Generation; g != nil {
		w.Prompt = g.Prompt
		w.MaxTokens = g.MaxTokens
		w.Prefilled = g.KvHandle != ""
	}
	return w
}

func (s *Server) generate(ctx context.Context, r *meshpb.Request, out *sender, tokens *int64) error {
	g := r.Generation
	sum := newDigest(g.Prefix)
	seq := g.PrefixSequence
	*tokens = g.PrefixTokens
	end := &meshpb.End{}
	emit := func(p mn.Piece) error {
		*tokens += p.Tokens
		sum.add([]byte(p.Text))
		end.PromptTokens += p.PromptTokens
		end.CachedTokens += p.CachedTokens
		seq++
		return out.send(&meshpb.Frame{Sequence: seq, Text: p.Text, Tokens: p.Tokens, KvHandle: p.KVHandle})
	}
	err := s.Engine.Generate(ctx, mn.Generation{
		ID:        mn.RequestID(r.Id),
		Prompt:    g.Prompt,
		Prefix:    g.Prefix,
		MaxTokens: g.MaxTokens,
		Priority:  mn.Priority(g.Priority),
		KVHandle:  g.KvHandle,

		PrefillOnly: g.PrefillOnly,
	}, emit)
	if err != nil {
		return err
	}
	end.OutputTokens = *tokens
	return s.finish(r, out, end, sum)
}

func (s *Server) call(ctx context.Context, r *meshpb.Request, out *sender) error {
	body, err := s.Plain.Call(ctx, mn.PlainCall{
		ID:       mn.RequestID(r.Id),
		Customer: mn.CustomerID(r.Customer),
		Path:     r.Call.Path,
		Body:     r.Call.Body,
	})
	if err != nil {
		return err
	}
	sum := newDigest("")
	sum.add(body)
	if err := out.send(&meshpb.Frame{Sequence: 1, Body: body}); err != nil {
		return err
	}
	return s.finish(r, out, &meshpb.End{}, sum)
}

// finish records what the request used before the end marker goes out, so that
// the caller never sees a whole answer that is not recorded.
func (s *Server) finish(r *meshpb.Request, out *sender, end *meshpb.End, sum *digest) error {
	end.Length = sum.length
	end.Digest = sum.hash.Sum(nil)
	if r.Generation.GetPrefillOnly() {
		return out.send(&meshpb.Frame{End: end}) // the agent that generates records it
	}
	s.Recorder.Record(mn.Served{
		ID:           mn.RequestID(r.Id),
		Customer:     mn.CustomerID(r.Customer),
		Pool:         s.Pool,
		PromptTokens: end.PromptTokens,
		OutputTokens: end.OutputTokens,
	})
	return out.send(&meshpb.Frame{End: end})
}

// digest sums up the bytes of an answer.
type digest struct {
	hash   hash.Hash
	length int64
}

func newDigest(prefix string) *digest {
	d := &digest{hash: sha256.New()}
	d.add([]byte(prefix))
	return d
}

func (d *digest) add(b []byte) {
	d.hash.Write(b)
	d.length += int64(len(b))
}
