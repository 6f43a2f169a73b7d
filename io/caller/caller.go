// Package caller is the entry's side of its connections to callers: the
// Connect service Serving, and a client of it.
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

// minCompressBytes is the size in bytes from which answers are compressed.
const minCompressBytes = 16 << 10

// Agents hands requests to agents.
type Agents interface {
	// Submit runs a request at the agent at addr and passes its frames on.
	Submit(ctx context.Context, addr string, r *meshpb.Request, sink func(*meshpb.Frame) error) error
	// Attach goes on with an answer of which the text had was received.
	Attach(ctx context.Context, addr string, r *meshpb.AttachRequest, had string, sink func(*meshpb.Frame) error) error
	// Resume is like Attach for a reader that has not seen the earlier text.
	Resume(ctx context.Context, addr string, r *meshpb.AttachRequest, sink func(*meshpb.Frame) error) error
	// Settle asks what became of a request and bars one that was never seen.
	Settle(ctx context.Context, addr string, r *meshpb.SettleRequest) (*meshpb.SettleReply, error)
}

// Config has what a server depends on.
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
	// RetryBudget bounds the requests that are tried again.
	RetryBudget *retry.Budget
	// Crashes knows which requests crashed endpoints.
	Crashes *poison.Tracker
	// NotifyCrash tells the other entries of a crash and returns once they know.
	NotifyCrash func(ctx context.Context, p mn.CrashRecord)
	Tracer      trace.Tracer
	Log         *logrus.Entry
	// MaxBodyBytes bounds a request's size in bytes.
	MaxBodyBytes int64
	// Drain says whether the entry is leaving.
	Draining func() bool
}

// Server implements the Connect service Serving.
type Server struct {
	Config
}

// New returns a server with the given dependencies.
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

// reportCrash notes that the request with content crashed the endpoint on vm, here
// and at the other entries, and returns the crash as it goes with the request.
func (s *Server) reportCrash(ctx context.Context, content string, vm mn.VMID) *meshpb.Crash {
	p := mn.CrashRecord{Fingerprint: content, VM: vm, SeenAt: s.Clock.Wall()}
	s.Crashes.Add(p)
	s.NotifyCrash(ctx, p)
	return &meshpb.Crash{Vm: string(p.VM), WallMs: int64(p.SeenAt)}
}

func withRemoteParent(ctx context.Context, h http.Header) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(h))
}

// identity is who sent a request, as far as its key tells.
type identity struct {
	customer mn.Customer
	hash     mn.KeyHash
}

// identify finds the customer whose key came with the request. Without a key
// it is the zero identity, which is good only on open routes.
func (s *Server) identify(h http.Header, open bool) (identity, error) {
	if s.Draining() {
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

// poolOf finds the pool that serves a model.
func poolOf(v *mn.View, model mn.ModelID) (mn.Pool, bool) {
	for _, r := range v.Resources {
		p := r.Resource.Pool
		if p != nil && p.Kind == mn.PoolModel && p.Model == model {
			return *p, true
		}
	}
	return mn.Pool{}, false
}

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
