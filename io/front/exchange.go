package front

import (
	"context"
	"errors"
	"io"

	mn "mustardnotch"
	"mustardnotch/core/poison"
	"mustardnotch/io/back"
)

// exchange is one sending of a request to an endpoint, until its answer ends or is given up. All
// that is sent for a caller goes through one, and its end is the only place that decides whether
// the endpoint may have crashed with the request.
type exchange struct {
	// Answer is nil if there was none.
	*back.Answer
	request *request
	to      mn.Endpoint
	// prefill reports whether the endpoint was asked for the KV cache of the prompt only.
	prefill bool
	// sent reports whether the endpoint may have got the request.
	sent bool
	// refused is set if the endpoint has not run the request and never will.
	refused bool
	// events is how many events of a stream have arrived.
	events int
	ended  bool
}

// errGivenUp is the end of an exchange whose answer was not read to its end.
var errGivenUp = errors.New("the answer was not read to its end")

// exchange sends the request to an endpoint. Its caller must close the result also if there was no
// answer.
func (q *request) exchange(ctx context.Context, to mn.Endpoint, d mn.Dispatch) (*exchange, error) {
	a, err := q.Back.Do(ctx, q.Dialect, q.call(to, d))
	x := &exchange{Answer: a, request: q, to: to, prefill: d.PrefillOnly, sent: true}
	var e *back.Error
	if errors.As(err, &e) {
		x.sent = e.Sent
	}
	return x, err
}

// end notes that the exchange has ended: with a complete answer if err is nil, and otherwise
// without one. It returns err, or an error of its own if the answer only looks complete. Later
// calls change nothing.
func (x *exchange) end(err error) error {
	if x.ended {
		return err
	}
	x.ended = true
	if err == nil && x.connEndedByCrash() {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case !x.sent || x.refused:
	case err != nil:
		x.checkCrash()
	case !x.prefill:
		x.request.clearCrashes()
	}
	return err
}

// close ends the exchange, if that has not been done, and gives its answer back.
func (x *exchange) close() {
	_ = x.end(errGivenUp)
	if x.Answer != nil {
		x.Answer.Close()
	}
}

// addEvents notes that n more events of a stream have arrived.
func (x *exchange) addEvents(n int) {
	wasBeginning := poison.IsBeginning(x.events)
	x.events += n
	if wasBeginning && !poison.IsBeginning(x.events) {
		x.request.clearSegments()
	}
}

// connEndedByCrash reports whether an answer has ended because its endpoint crashed. Where only the
// end of the connection marks the end of the answer, the two look alike. An endpoint that
// leaves may end right after its last answer.
func (x *exchange) connEndedByCrash() bool {
	q := x.request
	if !x.EndsWithConn() || x.Leaving || !q.isReady(x.to.ID) {
		return false
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), crashCheckTimeout.Duration())
	defer cancel()
	return q.crashed(ctx, x.to)
}

// isReady reports whether an endpoint is listed and is not about to end.
func (s *Server) isReady(id mn.EndpointID) bool {
	listed, ok := s.Balancer.Endpoint(id)
	return ok && listed.State == mn.EndpointReady
}

// checkCrash checks whether the endpoint of an exchange that ended without a complete answer has
// crashed, or does so as long as it may work on the request. A crash counts against the request's
// content, and against the segments of its prompt unless the answer was past its beginning. A
// request that may be sent again waits for the first result if the front should know it by then:
// whether segments of its prompt are suspects, or whether its content is in quarantine.
func (x *exchange) checkCrash() {
	q := x.request
	now := q.Clock.Now()
	s := suspect{
		log: q.Log.WithField("request", q.info.ID), fingerprint: q.fingerprint(), tried: q.trial.Segments(),
		until: min(q.job.Deadline, now+maxWatch) + watchGrace,
	}
	if poison.IsBeginning(x.events) {
		s.segments = q.segments
	}
	if q.r.Context().Err() != nil || now >= q.job.Deadline {
		q.watch.add(x.to, s)
		return
	}
	if (q.route.Repeatable() || x.prefill) && (len(s.segments) > 0 || q.CrashTracker.NearQuarantine(s.fingerprint)) {
		checked := make(chan struct{})
		q.crashChecked = checked
		go func() {
			defer close(checked)
			q.runCrashCheck(x.to, s)
		}()
		return
	}
	trial := q.trial
	q.trial = nil
	go func() {
		defer trial.End()
		q.runCrashCheck(x.to, s)
	}()
}

// awaitCrashCheck waits until a crash that counts before the next send is known.
func (q *request) awaitCrashCheck() {
	if q.crashChecked != nil {
		<-q.crashChecked
		q.crashChecked = nil
	}
}
