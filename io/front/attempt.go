package front

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/alloc"
	"mustardnotch/core/place"
	"mustardnotch/core/reply"
	"mustardnotch/io/back"
)

const (
	// maxIdleTimeRepeatable and maxIdleTimeOnce bound the idle time of connections
	// that are used again. If the endpoint closes the connection at the same moment,
	// a repeatable request needs another attempt, and any other request loses its
	// answer.
	maxIdleTimeRepeatable = 30 * mn.Second
	maxIdleTimeOnce       = 5 * mn.Second
	// maxAnswer bounds the size of an answer that is not a stream.
	maxAnswer = 16 << 20
	// maxHandle bounds the size of the answer to a prefill.
	maxHandle = 64 << 10
	// copyBuffer is the size of the buffer for a part of an answer that is passed on as it
	// arrives.
	copyBuffer = 16 << 10
	// releaseTimeout bounds the request that frees a prompt's KV cache.
	releaseTimeout = 1 * mn.Second
	// attemptTimeoutFactor is the attempt timeout of an idempotent request as a
	// multiple of the expected time to the first event. After it, another endpoint is
	// asked. The last attempt has no timeout other than the deadline.
	attemptTimeoutFactor = 8
	// minAttemptTimeout is the minimum attempt timeout. It is above the usual
	// variation of response times.
	minAttemptTimeout = 250 * mn.Millisecond
)

// result is the result of an attempt.
type result struct {
	endpoint mn.EndpointID
	// notRun reports whether the endpoint has not run the request and never will.
	notRun bool
	// final reports whether the request must not be sent again.
	final bool
	err   *mn.Error
}

// failure is an endpoint's own failure.
type failure struct {
	status int
	header http.Header
	body   [][]byte
	// memory is what the body takes.
	memory *alloc.Lease
}

// sendTo sends the endpoint's failure to the caller.
func (f *failure) sendTo(q *request) {
	q.sendHead(f.status, f.header)
	// The caller may have left. The request is logged in any case.
	_ = q.write(f.body)
}

// call returns the request as it is sent to an endpoint.
func (q *request) call(to mn.Endpoint, d mn.Dispatch) *back.Call {
	d.Endpoint, d.Customer = to.ID, q.customer
	d.Timeout = q.job.Deadline - q.Clock.Now()
	maxIdleTime := maxIdleTimeOnce
	if q.route.Repeatable() || d.PrefillOnly {
		maxIdleTime = maxIdleTimeRepeatable
	}
	return &back.Call{
		ID: q.info.ID, To: to, Method: q.r.Method, Target: requestTarget(q.r), Host: q.r.Host,
		Header: q.Dialect.OutgoingHeader(q.r.Header, d), Body: q.body, MaxIdleTime: maxIdleTime,
		MaxIdleConns: q.MaxIdleConns(q.job.Pool),
	}
}

// attempt sends the request according to a plan.
func (q *request) attempt(ctx context.Context, plan *place.Plan) result {
	d := mn.Dispatch{Rank: -1}
	if q.info.Prompt != nil {
		d.Rank = plan.Rank
	}
	d.LastEvent = q.info.LastEvent
	if q.route.Resumable {
		d.LastEvent = q.position.NextRun()
	}
	if plan.CachedBy != nil {
		d.CachedBy = plan.CachedBy.Addr
	}
	sent := q.Clock.Now()
	if plan.Prefiller != nil {
		handle, failed := q.prefill(ctx, plan, d)
		if failed != nil {
			return *failed
		}
		q.prefillTook = q.Clock.Now() - sent
		q.Balancer.PrefillDone(plan, q.prefillTook)
		d.CachedBy = ""
		d.KVSource = &mn.KVSource{Addr: plan.Prefiller.Addr, Handle: handle}
	}
	if failed := q.checkEndpoint(ctx, plan.Target.ID); failed != nil {
		q.release(plan, d.KVSource)
		return *failed
	}
	if q.route.Kind == mn.RouteIdempotent && q.attempts < q.route.Attempts {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		timeout := max(minAttemptTimeout, attemptTimeoutFactor*plan.ExpectedFirst)
		q.attemptTimer = time.AfterFunc(timeout.Duration(), func() { cancel(context.DeadlineExceeded) })
		defer q.attemptTimer.Stop()
	}
	q.listAge = q.View.ListAge()
	q.Stats.Observe("list_age_ms", q.listAge)
	sentToTarget := q.Clock.Now()
	q.lastEventAt = math.MaxInt64 // no event yet
	x, err := q.exchange(ctx, plan.Target, d)
	defer x.close()
	if err != nil {
		return q.noAnswer(plan, x, err, q.Clock.Now()-sentToTarget)
	}
	verdict := reply.Judge(x.Status, x.ReplyInfo, x.Header.Get("Content-Encoding"))
	if verdict.Action == reply.Refuse {
		return q.notRun(plan, x, d)
	}
	q.mayHaveRun = true
	q.countRun()
	if verdict.Action == reply.Withhold {
		return q.withhold(x, verdict, sent)
	}
	if q.headSent {
		if err := q.checkContinues(x.Answer); err != nil {
			q.Balancer.ReportResult(plan.Target.ID, true)
			return result{endpoint: plan.Target.ID, err: err}
		}
	}
	if q.route.Kind == mn.RouteStream && x.Status < 300 {
		return q.forwardStream(plan, x, sentToTarget)
	}
	return q.forwardComplete(x, verdict, sent)
}

// withhold returns the result of an attempt whose answer must not reach the caller.
func (q *request) withhold(x *exchange, v reply.Verdict, sent mn.Millis) result {
	id := x.to.ID
	q.Stats.Add("answers_withheld", 1)
	q.Log.WithFields(logrus.Fields{
		"event": "answer_withheld", "request": q.info.ID, "endpoint": id, "try": q.attempts,
		"status": x.Status, "signed": x.Signed, "reason": v.Reason,
	}).Warn()
	if x.end(x.Discard()) == nil {
		q.Balancer.ObserveResponseTime(id, q.Clock.Now()-sent)
	}
	q.Balancer.ReportResult(id, true)
	return endpointFailed(id, x.Answer, v)
}

// endpointFailed returns the result of an attempt whose answer is not the caller's.
func endpointFailed(id mn.EndpointID, a *back.Answer, v reply.Verdict) result {
	return result{endpoint: id, err: mn.Errorf(mn.EndpointFailed, "endpoint %s answered %d: %s", id, a.Status, v.Reason)}
}

// checkEndpoint returns a result if the request must not be sent to the endpoint: the caller
// has left, the endpoint is leaving, gone from the list or wants no requests, the list may be
// too old to tell, or the content may crash it. It is called right before each send.
func (q *request) checkEndpoint(ctx context.Context, id mn.EndpointID) *result {
	if err := q.checkCaller(); err != nil {
		return &result{endpoint: id, notRun: true, final: true, err: err}
	}
	if err := q.View.ConfirmList(ctx); err != nil {
		return &result{endpoint: id, notRun: true, final: true, err: err}
	}
	if err := q.admitContent(); err != nil {
		return &result{endpoint: id, notRun: true, final: true, err: err}
	}
	if err := q.Balancer.CheckSend(id); err != nil {
		return &result{endpoint: id, notRun: true, err: err}
	}
	return nil
}

// prefill has the plan's prefill endpoint prefill the prompt, and returns the
// handle of the KV cache.
func (q *request) prefill(ctx context.Context, plan *place.Plan, d mn.Dispatch) (string, *result) {
	if failed := q.checkEndpoint(ctx, plan.Prefiller.ID); failed != nil {
		return "", failed
	}
	d.PrefillOnly, d.LastEvent, d.Rank = true, "", plan.PrefillRank
	x, err := q.exchange(ctx, *plan.Prefiller, d)
	defer x.close()
	if err != nil {
		q.reportUnreachable(plan.Prefiller.ID, err)
		_ = x.end(err)
		return "", &result{endpoint: plan.Prefiller.ID, notRun: true, err: mn.Errorf(mn.EndpointFailed, "prefill at endpoint %s: %w", plan.Prefiller.ID, err)}
	}
	x.refused = x.NotRun
	handle, err := q.readHandle(x)
	q.Balancer.ReportResult(plan.Prefiller.ID, err != nil)
	if err != nil {
		return "", &result{endpoint: plan.Prefiller.ID, notRun: true, err: mn.Errorf(mn.EndpointFailed, "prefill at endpoint %s: %w", plan.Prefiller.ID, err)}
	}
	return handle, nil
}

// readHandle returns the KV cache handle in a prefill endpoint's answer.
func (q *request) readHandle(x *exchange) (string, error) {
	body, err := x.ReadResult(maxHandle)
	if !x.Complete() {
		return "", x.end(err)
	}
	if err := errors.Join(err, x.end(nil)); err != nil {
		return "", err
	}
	return q.Dialect.ParseHandle(body)
}

// release frees a prompt's KV cache that no endpoint fetched, unless the endpoint that
// holds it wants no requests. It lapses by itself.
func (q *request) release(plan *place.Plan, source *mn.KVSource) {
	if source == nil || q.Balancer.AsksPause(plan.Prefiller.ID) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
		defer cancel()
		a, err := q.Back.Do(ctx, q.Dialect, &back.Call{
			To: *plan.Prefiller, Method: http.MethodDelete, Target: q.Dialect.ReleasePath(source.Handle),
			Host: source.Addr, Header: http.Header{}, MaxIdleTime: maxIdleTimeRepeatable,
		})
		if err != nil {
			q.Log.WithField("event", "release_failed").WithField("request", q.info.ID).Debug(err)
			return
		}
		defer a.Close()
		if err := a.Discard(); err != nil {
			q.Log.WithField("event", "release_failed").WithField("request", q.info.ID).Debug(err)
		}
	}()
}

// noAnswer returns the result of an attempt that ended without an answer after
// took.
func (q *request) noAnswer(plan *place.Plan, x *exchange, err error, took mn.Millis) result {
	to := plan.Target
	q.reportUnreachable(to.ID, err)
	var e *back.Error
	if errors.As(err, &e) && !e.Sent {
		_ = x.end(err)
		return result{endpoint: to.ID, notRun: true, err: mn.Errorf(mn.NoEndpoint, "endpoint %s: %w", to.ID, err)}
	}
	q.mayHaveRun = true
	if took >= q.startDelay(plan) {
		q.countRun()
	}
	_ = x.end(err)
	return result{endpoint: to.ID, err: mn.Errorf(mn.OutcomeNotKnown, "endpoint %s: %w", to.ID, err)}
}

// reportUnreachable reports to the balancer that an endpoint did not answer, unless
// the caller left or the deadline passed.
func (q *request) reportUnreachable(id mn.EndpointID, err error) {
	if q.r.Context().Err() != nil || q.Clock.Now() >= q.job.Deadline {
		return
	}
	q.Log.WithField("event", "endpoint_silent").WithField("request", q.info.ID).WithField("endpoint", id).Warn(err)
	q.Balancer.ReportUnreachable(id)
}

// notRun returns the result of an attempt whose answer states that the request has
// not run.
func (q *request) notRun(plan *place.Plan, x *exchange, d mn.Dispatch) result {
	x.refused = true
	if err := x.end(x.Discard()); err != nil {
		q.Log.WithField("event", "answer_broken").WithField("request", q.info.ID).Debug(err)
	}
	q.Balancer.ReportResult(plan.Target.ID, true)
	if x.Status == http.StatusMisdirectedRequest {
		q.Balancer.ReportUnreachable(plan.Target.ID)
	}
	q.release(plan, d.KVSource)
	return result{endpoint: plan.Target.ID, notRun: true,
		err: mn.Errorf(mn.NoEndpoint, "endpoint %s answered %d without running the request", plan.Target.ID, x.Status)}
}

// startDelay returns the time after sending at which an endpoint has most likely
// started to run a request. If the caller leaves or the answer is lost later than
// that, the request counts as run although the front has not seen it start, since
// the endpoint has worked on it.
func (q *request) startDelay(plan *place.Plan) mn.Millis {
	switch {
	case q.info.Prompt == nil:
		return 0 // Plain endpoints get no more requests than they run at a time.
	case plan.Prefiller != nil:
		return plan.ExpectedFirst - plan.ExpectedPrefill
	}
	return plan.ExpectedFirst
}

// countRun counts the run for usage, once for each request.
func (q *request) countRun() {
	if q.counted {
		return
	}
	q.counted = true
	q.Runs.CountStart(q.customer)
}

// hopHeaders lists the headers of an answer that apply to the endpoint's connection
// only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Content-Length"}

// sendHead sends the status and the headers of an endpoint's answer to the caller.
func (q *request) sendHead(status int, from http.Header) {
	h := q.w.Header()
	for name, vs := range from {
		h[name] = vs
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if q.Departure.Leaving() {
		h.Set("Connection", "close")
	}
	if len(from["Content-Type"]) == 0 {
		h["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	q.headSent, q.status = true, status
	q.w.WriteHeader(status)
}

// forwardComplete reads a complete answer that is not a stream, and then forwards or keeps it
// according to the verdict. One that may be forwarded but finds no memory is forwarded as it
// arrives.
func (q *request) forwardComplete(x *exchange, v reply.Verdict, sent mn.Millis) result {
	body, whole, err := x.ReadUpTo(maxAnswer)
	id := x.to.ID
	if whole || err != nil {
		err = x.end(err)
	}
	if err != nil {
		q.Balancer.ReportResult(id, true)
		return result{endpoint: id, err: mn.Errorf(mn.Truncated, "endpoint %s: %w", id, err)}
	}
	if !whole && v.Action == reply.Forward && size(body) <= maxAnswer {
		return q.forwardAsItArrives(x, body)
	}
	if !whole {
		q.Balancer.ReportResult(id, true)
		return result{endpoint: id, err: mn.Errorf(mn.Truncated, "endpoint %s answered %d without an end in %d bytes", id, x.Status, size(body))}
	}
	q.Balancer.ObserveResponseTime(id, q.Clock.Now()-sent)
	q.Balancer.ReportResult(id, x.Status >= 300)
	if v.Action == reply.Keep {
		q.dropFallback()
		q.fallback = &failure{x.Status, x.Header, body, x.TakeMemory()}
		return endpointFailed(id, x.Answer, v)
	}
	q.firstEventAt = q.Clock.Now()
	q.sendHead(x.Status, x.Header)
	if err := q.write(body); err != nil {
		return result{endpoint: id, final: true, err: mn.Errorf(mn.Cancelled, "write to caller: %w", err)}
	}
	return result{}
}

// write sends the pieces of a body to the caller.
func (q *request) write(pieces [][]byte) error {
	for _, p := range pieces {
		if _, err := q.w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// size returns the number of bytes in the pieces of a body.
func size(pieces [][]byte) int {
	n := 0
	for _, p := range pieces {
		n += len(p)
	}
	return n
}

// forwardAsItArrives forwards an answer of which the first pieces have been read.
//
// Load pattern: answers without end have taken the memory for answers, and sound ones still
// have to pass.
func (q *request) forwardAsItArrives(x *exchange, first [][]byte) result {
	id := x.to.ID
	if q.attemptTimer != nil {
		q.attemptTimer.Stop() // No other endpoint can be asked any more.
	}
	q.Stats.Add("answers_not_buffered", 1)
	q.Log.WithFields(logrus.Fields{"event": "answer_not_buffered", "request": q.info.ID, "endpoint": id, "pieces": len(first)}).Info()
	q.firstEventAt = q.Clock.Now()
	q.sendHead(x.Status, x.Header)
	if err := q.write(first); err != nil {
		return result{endpoint: id, final: true, err: mn.Errorf(mn.Cancelled, "write to caller: %w", err)}
	}
	x.TakeMemory().End()
	for buf, total := make([]byte, copyBuffer), size(first); total <= maxAnswer; {
		n, err := x.Read(buf)
		total += n
		if err := q.write([][]byte{buf[:n]}); err != nil {
			return result{endpoint: id, final: true, err: mn.Errorf(mn.Cancelled, "write to caller: %w", err)}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			err = nil
		}
		err = x.end(err)
		q.Balancer.ReportResult(id, err != nil)
		if err != nil {
			return result{endpoint: id, final: true, err: mn.Errorf(mn.Truncated, "endpoint %s: %w", id, err)}
		}
		return result{}
	}
	q.Balancer.ReportResult(id, true)
	return result{endpoint: id, final: true, err: mn.Errorf(mn.Truncated, "endpoint %s: the answer exceeds %d bytes", id, maxAnswer)}
}

// dropFallback gives the memory of an endpoint's own failure back.
func (q *request) dropFallback() {
	if q.fallback != nil {
		q.fallback.memory.End()
		q.fallback = nil
	}
}

// requestTarget returns the request's target as the caller sent it. A target in
// absolute form, which is meant for proxies, is reduced to its path and query.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
