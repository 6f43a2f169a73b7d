package caller

import (
	"context"
	"strings"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/calls"
	"mustardnotch/core/poison"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/wire"

	"google.golang.org/protobuf/proto"
)

const (
	// attemptTimeout limits one attempt of a call. If the call is still running,
	// the next attempt, through another entry, finds it by its key.
	attemptTimeout = 5 * mn.Second
	// chunkTimeout is how long a client waits for the next chunk of a generation
	// before it resumes on a new connection. firstChunkTimeout applies until the
	// first chunk of a new stream, which may wait in a queue and for the prefill.
	chunkTimeout      = 3 * mn.Second
	firstChunkTimeout = 15 * mn.Second
	// maxIdleAttempts is the maximum number of consecutive attempts without a new
	// chunk, or of attempts of one call.
	maxIdleAttempts = 40
	// maxResumeAttempts is the maximum number of consecutive attempts to resume a
	// generation without a new chunk. After them the client starts a new generation
	// that continues after the text received.
	maxResumeAttempts = 3
)

// RetryingClient is a client of several entries that retries calls and resumes
// generations. A call runs at most once, and a generation continues where its stream
// broke. It is safe for concurrent use.
type RetryingClient struct {
	clients []*Client
	clock   mn.Clock
}

// NewRetryingClient returns a client that uses the entries at bases in turn, one per
// attempt.
func NewRetryingClient(bases []string, key string, clock mn.Clock) *RetryingClient {
	s := &RetryingClient{clock: clock}
	for _, b := range bases {
		s.clients = append(s.clients, NewClient(b, key))
	}
	return s
}

// finalCodes are failures that a retry with the same key would return again.
var finalCodes = map[mn.Code]bool{
	mn.KeyTooOld:           true,
	mn.EndpointFailed:      true,
	poison.EndpointCrashed: true,
	calls.AnswerDropped:    true,
	calls.OutcomeLost:      true,
	mn.Cancelled:           true,
	mn.Quarantined:         true,
}

// isRetryable reports whether a call may succeed after err if it is sent again.
func isRetryable(err *mn.Error) bool {
	if finalCodes[err.Code] {
		return false
	}
	return err.Code.Doc().Severity == mn.SeverityRetry || err.Code == mn.OutcomeNotKnown || err.Code == mn.Internal
}

// Call sends one call until it has an answer, a failure is final, or ctx is done. It
// creates an idempotency key if m has none.
func (s *RetryingClient) Call(ctx context.Context, m *apipb.CallRequest) (*apipb.CallResponse, error) {
	m = proto.CloneOf(m)
	if m.IdempotencyKey == "" {
		m.IdempotencyKey = string(mn.NewRequestID())
		m.Attempt = 1
	}
	backoff := newBackoff()
	outcome := mn.OutcomeNotRun
	var last *mn.Error
	for attempt := 0; ; attempt++ {
		resp, err := s.attempt(ctx, s.clients[attempt%len(s.clients)], m)
		if err == nil {
			return resp, nil
		}
		e := mn.AsError(err)
		if e.Outcome != mn.OutcomeNotRun && !wire.NeverSent(err) {
			outcome = e.Outcome
			m.Attempt = int32(attempt + 2)
		} else if !wire.NeverSent(err) {
			outcome = mn.OutcomeNotRun
		}
		if ctx.Err() != nil && last != nil {
			return nil, last.WithOutcome(outcome)
		}
		last = e
		if !isRetryable(e) && !wire.NeverSent(err) || attempt >= maxIdleAttempts || s.clock.Sleep(ctx, backoff.Next(e)) != nil {
			return nil, e.WithOutcome(outcome)
		}
	}
}

// attempt sends the call once, through c.
func (s *RetryingClient) attempt(ctx context.Context, c *Client, m *apipb.CallRequest) (*apipb.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	return c.Call(ctx, m)
}

// resumingStream is one generation and the part of it that has arrived.
type resumingStream struct {
	client  *RetryingClient
	request *apipb.GenerateRequest
	sink    func(*apipb.GenerateChunk) error
	text    strings.Builder
	token   string
	after   int64
	tokens  int64
	sinkErr error
}

// Generate calls sink with the chunks of a generation and resumes it when its stream
// breaks. It returns nil only after an end marker that matches the complete text.
func (s *RetryingClient) Generate(ctx context.Context, m *apipb.GenerateRequest, sink func(*apipb.GenerateChunk) error) error {
	f := &resumingStream{client: s, request: m, sink: sink}
	backoff := newBackoff()
	idle := 0
	for attempt := 0; ; attempt++ {
		before := f.after
		err := f.attempt(ctx, s.clients[attempt%len(s.clients)])
		if err == nil || f.sinkErr != nil || ctx.Err() != nil {
			return err
		}
		e := mn.AsError(err)
		if e.Code == mn.UnknownRequest || e.Code == poison.EndpointCrashed || e.Code == mn.EndpointFailed || e.Code == mn.Cancelled {
			f.token = ""
		} else if !isRetryable(e) && !wire.NeverSent(err) {
			return err
		}
		idle++
		if f.after > before {
			idle, backoff = 0, newBackoff()
		}
		if idle >= maxResumeAttempts {
			f.token = ""
		}
		if idle >= maxIdleAttempts || s.clock.Sleep(ctx, backoff.Next(e)) != nil {
			return err
		}
	}
}

// attempt resumes the generation with its token, or without one starts a generation
// that continues after the text received.
func (f *resumingStream) attempt(ctx context.Context, c *Client) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := firstChunkTimeout
	if f.token != "" {
		timeout = chunkTimeout
	}
	watchdog := time.AfterFunc(timeout.Duration(), cancel)
	defer watchdog.Stop()
	receive := func(k *apipb.GenerateChunk) error {
		watchdog.Reset(chunkTimeout.Duration())
		return f.receive(k)
	}
	var err error
	if f.token != "" {
		err = c.Resume(ctx, &apipb.ResumeRequest{ResumeToken: f.token, AfterSequence: f.after}, f.text.String(), receive)
	} else {
		m := proto.CloneOf(f.request)
		m.Prefix, m.AfterSequence, m.PrefixTokens = f.text.String(), f.after, f.tokens
		err = c.Generate(ctx, m, receive)
	}
	if err != nil && ctx.Err() != nil && f.sinkErr == nil {
		return mn.Errorf(mn.OutcomeNotKnown, "stream broke, or no chunk arrived in time: %w", err)
	}
	return err
}

func (f *resumingStream) receive(k *apipb.GenerateChunk) error {
	if err := f.sink(k); err != nil {
		f.sinkErr = err
		return err
	}
	if k.End == nil {
		f.text.WriteString(k.Text)
		f.after = k.Sequence
		f.tokens += k.Tokens
		f.token = k.ResumeToken
	}
	return nil
}
