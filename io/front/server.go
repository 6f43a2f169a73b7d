// Package front serves callers' HTTP requests: it resolves and admits them, sends
// them to endpoints, and forwards the endpoints' answers.
package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/alloc"
	"mustardnotch/core/duty"
	"mustardnotch/core/frame"
	"mustardnotch/core/leave"
	"mustardnotch/core/paths"
	"mustardnotch/core/place"
	"mustardnotch/core/poison"
	"mustardnotch/core/quota"
	"mustardnotch/core/reply"
	"mustardnotch/core/retry"
	"mustardnotch/core/shed"
	"mustardnotch/core/stats"
	"mustardnotch/io/back"
	"mustardnotch/io/logs"
	"mustardnotch/io/wire"
)

// NoRoute means that no declared route matches the request.
const NoRoute mn.Code = 109

func init() {
	mn.RegisterCode(mn.CodeDoc{Code: NoRoute, Title: "no route", Since: "0.2",
		Severity: mn.SeverityCaller, Outcome: mn.OutcomeNotRun,
		Text: "No declared route has the request's host and a prefix of its path."})
}

// statuses maps result codes to HTTP statuses. A code whose outcome is unknown has 502 or
// 504, which promise nothing.
var statuses = map[mn.Code]int{
	mn.BadRequest:           http.StatusBadRequest,
	mn.TooLarge:             http.StatusRequestEntityTooLarge,
	NoRoute:                 http.StatusNotFound,
	mn.Unauthenticated:      http.StatusUnauthorized,
	mn.RateExceeded:         http.StatusTooManyRequests,
	mn.NotCurrent:           http.StatusServiceUnavailable,
	mn.NoEndpoint:           http.StatusServiceUnavailable,
	mn.Overloaded:           http.StatusServiceUnavailable,
	mn.Quarantined:          http.StatusServiceUnavailable,
	poison.SuspectedSegment: http.StatusServiceUnavailable,
	mn.DeadlineTooShort:     http.StatusServiceUnavailable,
	mn.Cancelled:            http.StatusServiceUnavailable,
	mn.Draining:             http.StatusServiceUnavailable,
	mn.DeadlineExceeded:     http.StatusGatewayTimeout,
	mn.EndpointFailed:       http.StatusBadGateway,
	mn.OutcomeNotKnown:      http.StatusBadGateway,
	mn.Truncated:            http.StatusBadGateway,
}

// View is the configuration as the front knows it.
type View interface {
	// Table returns the current catalog and the age of the evidence that it is the
	// newest. The catalog is nil before the first one is known.
	Table() (*paths.Table, mn.Millis)
	// KeysFresh reports whether a catalog is recent enough to accept its keys. The age is
	// the one that Table returned with this catalog: the current catalog may be newer.
	KeysFresh(age mn.Millis) bool
	// ListAge returns the age of the evidence that the list of endpoints is the newest.
	ListAge() mn.Millis
	// ConfirmList makes sure that the list of endpoints is recent enough for a request
	// to be sent by it, or that nobody has a newer one. It returns an error if the
	// request must not be sent.
	ConfirmList(ctx context.Context) *mn.Error
}

// Config holds a server's dependencies and parameters.
type Config struct {
	Clock        mn.Clock
	Dialect      mn.Dialect
	View         View
	Queues       *place.Queues
	Balancer     *place.Balancer
	Limiter      *quota.Limiter
	RetryBudgets *retry.PoolBudgets
	CrashTracker *poison.Tracker
	// Segments finds prompt segments that crash engines. SegmentRank returns this front's
	// rank for trials of a segment.
	Segments    *poison.SegmentTracker
	SegmentRank func(segment string) int
	Runs        *duty.RunCounter
	Back        *back.Client
	Stats       *stats.Set
	Log         *logrus.Entry
	// ApplyWithin is how soon a new configuration must take effect. An older view is
	// no proof that a route or a key does not exist.
	ApplyWithin mn.Millis
	// Departure is the leaving of the process. Once it has begun, callers are asked to close
	// their connections.
	Departure *leave.Departure
	// RequestMemory bounds what the bodies of all requests take, by customer.
	RequestMemory *alloc.Budget
	// MaxIdleConns returns the maximum number of idle connections to an endpoint of a
	// pool.
	MaxIdleConns func(mn.PoolID) int
	// OnCrash is called for each endpoint that crashed while it ran a request.
	OnCrash func(mn.CrashRecord)
}

// Server is the HTTP handler of callers' requests.
type Server struct {
	Config
	answeredSampler *logs.Sampler
	watch           *crashWatch
}

// maxAnsweredLines bounds the log lines a second for requests that succeeded. Every
// other request is logged.
const maxAnsweredLines = 100

// New returns a Server.
func New(c Config) *Server {
	s := &Server{Config: c, answeredSampler: logs.NewSampler(maxAnsweredLines, c.Clock)}
	s.watch = newCrashWatch(s)
	return s
}

const (
	// maxBodyTime bounds the time in which a body must arrive, whatever its caller's deadline.
	maxBodyTime = mn.Minute
	// refusedBodyTime is how long what is left of a refused request is read, so that its caller
	// gets the refusal instead of a reset.
	refusedBodyTime = 500 * mn.Millisecond
)

// countedConn is a connection that is told what it does, and what a request on it takes.
type countedConn interface {
	Enter(p shed.Phase, owner string)
	// HoldHead notes what the head of the request takes until the request has ended, and returns
	// false if there is no memory for it.
	HoldHead(memory int64) bool
}

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// ConnContext adds the caller's connection to the context of its requests, for
// [http.Server.ConnContext]. Without it, a caller's leaving is noticed later.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// checkCaller returns an error if the caller has left.
//
// Load pattern: a front has more requests than it has processor time for, reads them
// seconds late, and their callers have given up meanwhile. net/http notices that only once
// another goroutine has run.
func (q *request) checkCaller() *mn.Error {
	c, ok := q.r.Context().Value(connKey{}).(net.Conn)
	if q.r.Context().Err() == nil && !(ok && wire.Peek(c) == wire.PeekClosed) {
		return nil
	}
	return mn.Errorf(mn.Cancelled, "the caller's connection was closed").WithOutcome(mn.OutcomeNotRun)
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Server: s, w: w, r: r, arrived: s.Clock.Now()}
	q.enter(shed.Running)
	if s.Departure.Leaving() {
		w.Header().Set("Connection", "close")
	}
	err := q.serve()
	q.logResult(err)
	if err == nil {
		return
	}
	if q.headSent {
		q.resetIfUnframed()
		// Aborting the connection shows the caller that the answer is truncated.
		panic(http.ErrAbortHandler)
	}
	// A caller that has closed only its sending side gets the error. Without one, net/http
	// would send a success.
	q.sendError(err)
}

// resetIfUnframed makes the end of the connection a reset if the caller sees nothing else of a
// truncated answer: HTTP/1.0 has no chunks.
func (q *request) resetIfUnframed() {
	if q.r.ProtoAtLeast(1, 1) {
		return
	}
	c, ok := q.r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	if err := c.SetLinger(0); err != nil {
		q.Log.WithField("event", "reset_failed").WithField("request", q.info.ID).Warn(err)
	}
}

// sendError sends an error of the front itself to the caller.
func (q *request) sendError(e *mn.Error) {
	if !q.bodyRead && q.r.ContentLength != 0 {
		q.enter(shed.Ended)
		q.limitReads(refusedBodyTime)
	}
	h := q.w.Header()
	status := statuses[e.Code]
	if status == 0 {
		status = http.StatusBadGateway
	}
	if reply.Promises(status) && e.Outcome != mn.OutcomeNotRun {
		status = http.StatusBadGateway
	}
	if e.RetryAfter > 0 && reply.Promises(status) {
		setRetryAfter(h, e)
	}
	if q.info.ID != "" {
		h.Set("X-Request-Id", string(q.info.ID))
	}
	h.Set("Content-Type", errorType)
	q.w.WriteHeader(status)
	// The caller may have left. The request has been logged already.
	_, _ = io.WriteString(q.w, errorText(e))
}

// errorType is the content type of an error of the front itself.
const errorType = "text/plain; charset=utf-8"

// errorText returns the body of an answer with an error of the front itself.
func errorText(e *mn.Error) string { return e.Code.String() + " " + e.Code.Doc().Title + "\n" }

func setRetryAfter(h http.Header, e *mn.Error) {
	h.Set("Retry-After", strconv.FormatFloat(float64(e.RetryAfter)/1000, 'f', 3, 64))
}

// logResult counts and logs the end of a request.
func (q *request) logResult(err *mn.Error) {
	took := q.Clock.Now() - q.arrived
	q.Stats.Observe("request_ms", took)
	if q.firstEventAt > 0 {
		q.Stats.Observe("first_event_ms", q.firstEventAt-q.arrived)
	}
	if q.longestPause > 0 {
		q.Stats.Observe("longest_pause_ms", q.longestPause)
	}
	if err == nil {
		q.Stats.Add("answered", 1)
		if skipped, ok := q.answeredSampler.Allow(); ok {
			f := q.logFields(took)
			if skipped > 0 {
				f["lines_left_out"] = skipped
			}
			q.Log.WithFields(f).WithField("status", q.status).Info("answered")
		}
		return
	}
	q.Stats.Add("failed_"+err.Code.String(), 1)
	f := q.logFields(took)
	f["code"], f["outcome"], f["reason"] = err.Code, err.Outcome, err.Detail
	if err.RetryAfter > 0 {
		f["retry_after_ms"] = err.RetryAfter
	}
	if q.headSent {
		f["broken_off"] = true
	}
	q.Log.WithFields(f).Warn("not answered")
}

// logFields returns the log fields that all requests have, however they ended.
func (q *request) logFields(took mn.Millis) logrus.Fields {
	f := logrus.Fields{
		"event": "request", "request": q.info.ID, "took_ms": took,
		"view_age_ms": q.viewAge, "config_version": q.version, "tries": q.attempts,
	}
	if q.route != nil {
		f["route"], f["pool"] = q.route.Name, q.job.Pool
	}
	if q.customer != "" {
		f["customer"] = q.customer
	}
	if q.firstEventAt > 0 {
		f["first_ms"] = q.firstEventAt - q.arrived
	}
	if q.framing != "" {
		f["framing"], f["events"], f["last_event"] = q.framing, q.events, q.position.Last()
	}
	if q.longestPause > 0 {
		f["pause_ms"] = q.longestPause
	}
	p := q.plan
	if p == nil {
		return f
	}
	f["list_age_ms"] = q.listAge
	f["endpoint"], f["expect_ms"], f["before_ms"], f["waited_ms"] = p.Target.ID, p.ExpectedFirst, p.Backlog, q.queueTime
	if prompt := q.info.Prompt; prompt != nil {
		f["prompt_tokens"], f["missing_tokens"] = prompt.Tokens, p.Uncached
		if len(prompt.Segments) > 0 {
			f["part"] = prompt.Segments[0].ID
		}
	}
	if p.CachedBy != nil {
		f["kept_by"] = p.CachedBy.ID
	}
	if p.Prefiller != nil {
		f["reader"], f["read_ms"], f["read_expect_ms"] = p.Prefiller.ID, q.prefillTook, p.ExpectedPrefill
	}
	return f
}

// readBody reads the complete body of the caller's request.
func (q *request) readBody(limit int64) ([][]byte, *mn.Error) {
	if q.r.Body == nil || q.r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if q.r.ContentLength > limit {
		return nil, mn.Errorf(mn.TooLarge, "body of %d bytes, limit %d", q.r.ContentLength, limit)
	}
	q.enter(shed.Body)
	defer q.enter(shed.Running)
	// The end of a leaving process ends the reading by itself, with a reason of its own.
	q.limitReads(min(q.ownDeadline-q.Clock.Now(), maxBodyTime))
	stop := context.AfterFunc(q.Departure.Ended(), func() { q.limitReads(0) })
	defer stop()
	pieces, whole, err := q.bodyMemory.ReadUpTo(http.MaxBytesReader(q.w, q.r.Body, limit), int(limit))
	var large *http.MaxBytesError
	switch {
	case err != nil && q.Departure.Ended().Err() != nil:
		return nil, mn.Errorf(mn.Draining, "the process ends before the body has arrived").WithRetryAfter(leave.RetryAfter)
	case errors.As(err, &large):
		return nil, mn.Errorf(mn.TooLarge, "body is longer than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, mn.Errorf(mn.DeadlineTooShort, "body has not arrived within %d ms", q.Clock.Now()-q.arrived)
	case err != nil:
		return nil, mn.Errorf(mn.BadRequest, "read body: %w", err)
	case !whole:
		return nil, mn.Errorf(mn.Overloaded, "bodies of requests take too much memory").WithRetryAfter(defaultRetryAfter)
	}
	q.bodyRead = true
	q.r.Trailer = nil // Its memory is not counted.
	q.unlimitReads()
	return pieces, nil
}

// limitReads ends the reading of the request after a time.
func (q *request) limitReads(within mn.Millis) { q.setReadDeadline(time.Now().Add(within.Duration())) }

// unlimitReads ends the limit. net/http goes on reading to notice when the caller leaves.
func (q *request) unlimitReads() { q.setReadDeadline(time.Time{}) }

func (q *request) setReadDeadline(t time.Time) {
	if err := http.NewResponseController(q.w).SetReadDeadline(t); err != nil {
		q.Log.WithField("event", "read_deadline").WithField("request", q.info.ID).Warn(err)
	}
}

// enter notes what the caller's connection does.
func (q *request) enter(p shed.Phase) {
	if c, ok := q.r.Context().Value(connKey{}).(countedConn); ok {
		c.Enter(p, string(q.customer))
	}
}

// segmentMemory is what a request keeps for a segment of its prompt beside its id, in bytes.
const segmentMemory = 96

// holdHead counts what the head of the request and what has been decoded from it take while the
// request is served.
func (q *request) holdHead() *mn.Error {
	c, ok := q.r.Context().Value(connKey{}).(countedConn)
	if !ok {
		return nil
	}
	memory := frame.SizeOf(q.r).Memory()
	if p := q.info.Prompt; p != nil {
		for _, s := range p.Segments {
			memory += segmentMemory + int64(len(s.ID))
		}
	}
	if !c.HoldHead(memory) {
		return headRefusal()
	}
	return nil
}

// headRefusal returns the error for a request whose head finds no memory.
func headRefusal() *mn.Error {
	return mn.Errorf(mn.Overloaded, "heads of requests take too much memory").WithRetryAfter(defaultRetryAfter)
}

// HeadRefusal returns the answer to a request whose head finds no memory before it has arrived.
func HeadRefusal() []byte {
	e := headRefusal()
	text := errorText(e)
	answer := http.Response{
		StatusCode: statuses[e.Code], ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header: http.Header{}, ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
	}
	setRetryAfter(answer.Header, e)
	answer.Header.Set("Content-Type", errorType)
	var out bytes.Buffer
	_ = answer.Write(&out) // A buffer takes all that is written.
	return out.Bytes()
}

// extendWrites sets the deadline for writes to the caller to end.
func (q *request) extendWrites(end time.Time) {
	if err := http.NewResponseController(q.w).SetWriteDeadline(end); err != nil {
		q.Log.WithField("event", "write_deadline").WithField("request", q.info.ID).Warn(err)
	}
}
