// Package entry implements the drpc service Agent, which an agent provides to the
// entries. Every request and order for the agent's endpoint passes through it.
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
	"mustardnotch/core/calls"
	"mustardnotch/core/fresh"
	"mustardnotch/core/poison"
	"mustardnotch/core/replay"
	"mustardnotch/core/spans"
	"mustardnotch/gen/meshpb"
	"mustardnotch/io/wire"
)

// HeartbeatInterval is the time between heartbeats on a stream without other frames.
const HeartbeatInterval = 500 * mn.Millisecond

// Config holds the dependencies of a [Server].
type Config struct {
	VM           mn.VMID
	Incarnation  mn.Incarnation
	Pool         mn.PoolID
	Clock        mn.Clock
	Views        mn.ViewSource
	Freshness    mn.FreshnessChecker
	Guard        *fresh.Guard
	Scheduler    mn.Scheduler
	Recorder     mn.UsageRecorder
	LoadReporter LoadReporter
	Tracer       trace.Tracer
	Log          *logrus.Entry
	// Engine or Plain is the client of the endpoint; the other one is nil.
	Engine mn.Engine
	Plain  mn.PlainService
	// Gate receives orders for the engine. It is nil for plain services. It must
	// be set after New, because it uses the server as its [mn.AdmissionControl].
	Gate mn.OrderReceiver
	// EndpointAlive reports whether the endpoint's process accepts connections.
	EndpointAlive func(ctx context.Context) bool
	// Calls remembers requests and idempotency keys.
	Calls *calls.Table
	// Answers stores generations for callers that resume them.
	Answers *replay.Store[*meshpb.Frame]
	// CrashTracker counts crashes by the content of the requests that ran.
	CrashTracker *poison.Tracker
	// Quarantine admits requests to the endpoint, suspects one at a time.
	Quarantine *poison.Quarantine
	// ReportCrash appends a record to the control stream, in the background: a
	// request was running when the endpoint crashed.
	ReportCrash func(crash mn.CrashRecord)
}

// Server implements the drpc service Agent.
type Server struct {
	meshpb.DRPCAgentUnimplementedServer
	Config
	running  atomic.Int64
	draining atomic.Bool
	paused   atomic.Bool
	wg       sync.WaitGroup
}

// New returns a server with the dependencies in c.
func New(c Config) *Server {
	return &Server{Config: c}
}

// StopAccepting makes the server reject new requests, except those with an
// idempotency key, which the table of calls accepts or rejects.
func (s *Server) StopAccepting() { s.draining.Store(true) }

// Drain rejects new requests as StopAccepting does, and waits until all requests have
// ended. If ctx is done first, it returns the error of ctx.
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

// Submit runs one request and streams its answer. It sends a failure as a frame
// instead of a drpc error, which would lose the result code.
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
	spans.RecordError(span, err)
	return out.send(&meshpb.Frame{Failure: wire.EncodeError(err)})
}

func (s *Server) withDeadline(ctx context.Context, r *meshpb.Request) (context.Context, context.CancelFunc) {
	if r.DeadlineMs <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, mn.Millis(r.DeadlineMs).Duration())
}

func (s *Server) run(ctx context.Context, r *meshpb.Request, out *sender) error {
	if err := s.admit(ctx, r); err != nil {
		return err
	}
	for _, c := range r.Crashes {
		s.CrashTracker.Add(mn.CrashRecord{Fingerprint: fingerprint(r), VM: mn.VMID(c.Vm), SeenAt: mn.Millis(c.WallMs)})
	}
	switch {
	case r.Generation != nil && s.Engine != nil:
		return s.generate(ctx, r, out)
	case r.Call != nil && s.Plain != nil:
		return s.call(ctx, r, out)
	}
	return mn.Errorf(mn.BadRequest, "endpoint of pool %q does not serve this type of request", s.Pool)
}

func (s *Server) admit(ctx context.Context, r *meshpb.Request) error {
	if s.draining.Load() && r.IdempotencyKey == "" {
		return mn.Errorf(mn.Draining, "agent %s is leaving", s.VM)
	}
	if s.paused.Load() {
		return mn.Errorf(mn.Draining, "endpoint of agent %s is about to change", s.VM)
	}
	if r.Id == "" || mn.PoolID(r.Pool) != s.Pool {
		return mn.Errorf(mn.BadRequest, "request %q for pool %q reached an agent of pool %q", r.Id, r.Pool, s.Pool)
	}
	if err := fresh.AwaitOffset(ctx, s.Views, mn.Offset(r.Offset)); err != nil {
		return err
	}
	return s.checkRequest(r)
}

// checkRequest returns an error unless this process is current and the request's key
// may be used.
func (s *Server) checkRequest(r *meshpb.Request) error {
	if err := s.Freshness.CheckCurrent(); err != nil {
		return err
	}
	return s.authorize(r.Customer, r.KeyHash)
}

// authorize checks the key against the agent's own view, although the entry has
// checked it too. A request runs only for the customer to whom its key belongs.
func (s *Server) authorize(customer, hash string) error {
	v := s.Views.View()
	if hash == "" {
		p, ok := v.Pool(s.Pool)
		if ok && p.Open && customer == "" {
			return nil
		}
		return mn.Errorf(mn.Unauthenticated, "request of customer %q has no key; pool %q is open to requests without one: %t", customer, s.Pool, p.Open)
	}
	k, ok := v.Keys[mn.KeyHash(hash)]
	if !ok {
		return mn.Errorf(mn.Unauthenticated, "the key belongs to no customer")
	}
	if k.Withdrawn {
		return mn.Errorf(mn.KeyWithdrawn, "key %q was withdrawn", k.Name).WithOutcome(mn.OutcomeNotRun)
	}
	if string(k.Customer) != customer {
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
		w.Prefilled = g.CacheHandle != ""
	}
	return w
}

// digest computes the length and hash of an answer.
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

// end returns the end marker of the answer to request id.
func (d *digest) end(id string) *meshpb.End {
	return &meshpb.End{Length: d.length, Digest: d.hash.Sum(nil), RequestId: id}
}
