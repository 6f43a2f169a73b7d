// Package caller implements the Connect service Serving, which an entry provides to
// callers, and clients of it.
package caller

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	mn "mustardnotch"
	"mustardnotch/core/fresh"
	"mustardnotch/core/poison"
	"mustardnotch/core/retry"
	"mustardnotch/gen/apipb"
	"mustardnotch/gen/meshpb"
)

// minCompressBytes is the minimum size of an answer that is compressed.
const minCompressBytes = 16 << 10

// Agents sends requests to agents.
type Agents interface {
	// Submit runs a request at the agent at addr and calls sink with the frames
	// of the answer.
	Submit(ctx context.Context, addr string, r *meshpb.Request, sink func(*meshpb.Frame) error) error
	// Attach receives the rest of an answer; the argument received is the text
	// that has arrived so far.
	Attach(ctx context.Context, addr string, r *meshpb.AttachRequest, received string, sink func(*meshpb.Frame) error) error
	// Resume is like Attach for a caller that has not received the earlier text.
	Resume(ctx context.Context, addr string, r *meshpb.AttachRequest, sink func(*meshpb.Frame) error) error
	// Settle asks for the outcome of a request and bars one that was never
	// received.
	Settle(ctx context.Context, addr string, r *meshpb.SettleRequest) (*meshpb.SettleReply, error)
}

// Config holds the dependencies of a [Server].
type Config struct {
	VM        mn.VMID
	Clock     mn.Clock
	Views     mn.ViewSource
	Freshness mn.FreshnessChecker
	Guard     *fresh.Guard
	Limiter   mn.Limiter
	Router    mn.Router
	Recorder  mn.UsageRecorder
	Agents    Agents
	// RetryBudget limits the rate of retries.
	RetryBudget *retry.Budget
	// CrashTracker counts crashes by the content of the requests that ran.
	CrashTracker *poison.Tracker
	// NotifyCrash sends a crash notice to the other entries and returns once they
	// have answered or a timeout has passed.
	NotifyCrash func(ctx context.Context, crash mn.CrashRecord)
	Tracer      trace.Tracer
	Log         *logrus.Entry
	// MaxBodyBytes is the maximum size of a request message.
	MaxBodyBytes int64
	// Leaving reports whether the entry is leaving.
	Leaving func() bool
}

// Server implements the Connect service Serving.
type Server struct {
	Config
}

// New returns a server with the dependencies in c.
func New(c Config) *Server {
	return &Server{Config: c}
}

// Handler returns the path and the HTTP handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	return apipb.NewServingHandler(s, connect.WithReadMaxBytes(int(s.MaxBodyBytes)), connect.WithCompressMinBytes(minCompressBytes))
}

// Generate implements the service.
func (s *Server) Generate(ctx context.Context, req *connect.Request[apipb.GenerateRequest], out *connect.ServerStream[apipb.GenerateChunk]) error {
	ctx, span := s.Tracer.Start(withRemoteParent(ctx, req.Header()), "entry.generate")
	defer span.End()
	return s.recordResult(span, "generate_failed", req.Header(), s.generate(ctx, req, out))
}

// Call implements the service.
func (s *Server) Call(ctx context.Context, req *connect.Request[apipb.CallRequest]) (*connect.Response[apipb.CallResponse], error) {
	ctx, span := s.Tracer.Start(withRemoteParent(ctx, req.Header()), "entry.call")
	defer span.End()
	resp, err := s.call(ctx, req)
	if err := s.recordResult(span, "call_failed", req.Header(), err); err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// Resume implements the service.
func (s *Server) Resume(ctx context.Context, req *connect.Request[apipb.ResumeRequest], out *connect.ServerStream[apipb.GenerateChunk]) error {
	ctx, span := s.Tracer.Start(withRemoteParent(ctx, req.Header()), "entry.resume")
	defer span.End()
	return s.recordResult(span, "resume_failed", req.Header(), s.resume(ctx, req, out))
}

// reportCrash records here and at the other entries that the request with fingerprint
// crashed the endpoint on vm. It returns the crash for the next attempt to include.
func (s *Server) reportCrash(ctx context.Context, fingerprint string, vm mn.VMID) *meshpb.Crash {
	crash := mn.CrashRecord{Fingerprint: fingerprint, VM: vm, SeenAt: s.Clock.Wall()}
	s.CrashTracker.Add(crash)
	s.NotifyCrash(ctx, crash)
	return &meshpb.Crash{Vm: string(crash.VM), WallMs: int64(crash.SeenAt)}
}

// withRemoteParent returns ctx with the trace context of the caller.
func withRemoteParent(ctx context.Context, h http.Header) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(h))
}

// identity is the sender of a request according to its key.
type identity struct {
	customer mn.Customer
	hash     mn.KeyHash
}

// identify returns the identity of the customer whose key is in h. On an open route
// a request without a key has the zero identity.
func (s *Server) identify(h http.Header, open bool) (identity, error) {
	if s.Leaving() {
		return identity{}, mn.Errorf(mn.Draining, "entry %s is leaving", s.VM)
	}
	if err := s.Freshness.CheckCurrent(); err != nil {
		return identity{}, err
	}
	auth := h.Get("Authorization")
	if auth == "" && open {
		return identity{}, nil
	}
	key, ok := strings.CutPrefix(auth, "Bearer ")
	if !ok || key == "" {
		return identity{}, mn.Errorf(mn.Unauthenticated, "header authorization: want \"Bearer KEY\"")
	}
	k, err := s.Guard.CheckKey(mn.HashKey(key))
	if err != nil {
		return identity{}, err
	}
	c, ok := s.Views.View().Customer(k.Customer)
	if !ok {
		return identity{}, mn.Errorf(mn.Unauthenticated, "customer %q of key %q is not declared", k.Customer, k.Name)
	}
	return identity{customer: c, hash: k.Hash}, nil
}

// poolOf returns the pool that serves a model.
func poolOf(v *mn.View, model mn.ModelID) (mn.Pool, bool) {
	for _, r := range v.Resources {
		p := r.Resource.Pool
		if p != nil && p.Kind == mn.PoolModel && p.Model == model {
			return *p, true
		}
	}
	return mn.Pool{}, false
}

// deadline returns the instant ms milliseconds from now on the process's clock, or 0 for
// no deadline if ms is not positive.
func (s *Server) deadline(ms int64) mn.Millis {
	if ms <= 0 {
		return 0
	}
	return s.Clock.Now() + mn.Millis(ms)
}

func withDeadline(ctx context.Context, ms int64) (context.Context, context.CancelFunc) {
	if ms <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, mn.Millis(ms).Duration())
}

func checkDeadline(ms int64) error {
	if ms < 0 || mn.Millis(ms) > 24*mn.Hour {
		return mn.Errorf(mn.BadRequest, "deadline_ms %d: want 0 to %d", ms, int64(24*mn.Hour))
	}
	return nil
}
