package front

import (
	"io"
	"math"
	"net/http"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/event"
	"mustardnotch/core/place"
	"mustardnotch/io/back"
)

const (
	// eventBuffer is the initial size of the buffer for a stream. It grows when an
	// event is longer.
	eventBuffer = 16 << 10
	// maxEvent bounds the size of an event. An endpoint in trouble may send bytes
	// without end that are no event.
	maxEvent = 1 << 20
)

// forwardStream forwards a stream event by event. An answer may end with its connection,
// so a stream that ends inside an event has been broken off, and so has one that ends with
// its connection before the first. After a run that ended inside an event, one without
// events is not the rest of the stream.
func (q *request) forwardStream(plan *place.Plan, x *exchange, sent mn.Millis) result {
	id := plan.Target.ID
	q.streamBegun(id, x.Answer)
	var buf []byte
	for {
		if len(buf) == cap(buf) && cap(buf) >= maxEvent {
			q.Balancer.ReportResult(id, true)
			return result{endpoint: id, err: mn.Errorf(mn.Truncated, "endpoint %s: an event is longer than %d bytes", id, maxEvent)}
		}
		var ok bool
		if buf, ok = x.Grow(buf, eventBuffer); !ok {
			q.Balancer.ReportResult(id, true)
			return result{endpoint: id, err: mn.Errorf(mn.Truncated, "endpoint %s: an event of more than %d bytes: %w", id, len(buf), back.ErrNoMemory)}
		}
		n, err := x.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := event.Whole(buf); end > 0 {
			now := q.Clock.Now()
			q.Balancer.EventReceived(plan, now-q.lastEventAt)
			q.longestPause = max(q.longestPause, now-q.lastEventAt)
			q.lastEventAt = now
			if fail := q.forwardEvents(plan, x, buf[:end], sent); fail != nil {
				return *fail
			}
			buf = append(buf[:0], buf[end:]...)
		}
		if err != nil && len(buf) > 0 {
			q.cutInside = true
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			err = nil
			if q.cutInside || q.lastEventAt == math.MaxInt64 && x.EndsWithConn() {
				err = io.ErrUnexpectedEOF
			}
		}
		err = x.end(err)
		q.Balancer.ReportResult(id, err != nil)
		if err != nil {
			q.streamBroken(id, err)
			return result{endpoint: id, err: mn.Errorf(mn.Truncated, "endpoint %s: %w", id, err)}
		}
		if !q.headSent { // For example, a resumed stream has no events left.
			q.sendHead(x.Status, x.Header)
		}
		return result{}
	}
}

// streamBegun logs that an answer goes on in a stream of which the caller has a part.
func (q *request) streamBegun(id mn.EndpointID, a *back.Answer) {
	q.framing = a.Framing()
	if !q.headSent && q.info.LastEvent == "" {
		return
	}
	q.Stats.Add("streams_resumed", 1)
	q.Log.WithFields(q.streamFields(id)).WithField("event", "stream_resumed").Info()
}

// streamBroken logs the end of a stream that is not its whole rest.
func (q *request) streamBroken(id mn.EndpointID, err error) {
	q.Stats.Add("streams_broken", 1)
	q.Log.WithFields(q.streamFields(id)).WithFields(logrus.Fields{"event": "stream_broken", "inside_event": q.cutInside}).Warn(err)
}

// streamFields returns the log fields that tell where a stream stands.
func (q *request) streamFields(id mn.EndpointID) logrus.Fields {
	return logrus.Fields{
		"request": q.info.ID, "endpoint": id, "route": q.route.Name, "try": q.attempts, "framing": q.framing,
		"events": q.events, "last_event": q.position.Last(),
	}
}

// forwardEvents sends complete events to the caller.
func (q *request) forwardEvents(plan *place.Plan, x *exchange, events []byte, sent mn.Millis) *result {
	before := q.events
	events, broken := q.advance(events)
	x.addEvents(q.events - before)
	if broken != nil {
		q.streamBroken(plan.Target.ID, broken)
		q.Balancer.ReportResult(plan.Target.ID, true)
		broken = mn.Errorf(mn.Truncated, "endpoint %s: %w", plan.Target.ID, broken)
	}
	if broken != nil && len(events) == 0 {
		return &result{endpoint: plan.Target.ID, err: broken}
	}
	q.cutInside = false
	if q.firstEventAt == 0 {
		q.firstEventAt = q.Clock.Now()
		if plan.Prefiller == nil {
			q.Balancer.PrefillDone(plan, q.firstEventAt-sent)
		} else {
			q.Balancer.OutputStarted(plan, q.firstEventAt-sent)
		}
	}
	if !q.headSent {
		q.sendHead(x.Status, x.Header)
	}
	_, err := q.w.Write(events)
	if err == nil {
		err = http.NewResponseController(q.w).Flush()
	}
	if err != nil {
		return &result{endpoint: plan.Target.ID, final: true, err: mn.Errorf(mn.Cancelled, "write to caller: %w", err)}
	}
	if broken != nil {
		return &result{endpoint: plan.Target.ID, err: broken}
	}
	return nil
}

// advance returns the first of the events that may follow what the caller has, and an
// error if the one after them may not.
func (q *request) advance(events []byte) (passed []byte, broken *mn.Error) {
	for sent := 0; sent < len(events); {
		end := sent + event.First(events[sent:])
		if err := q.checkEvent(events[sent:end]); err != nil {
			return events[:sent], mn.Errorf(mn.Truncated, "%w", err)
		}
		sent = end
	}
	return events, nil
}

// checkEvent moves past the next event, or returns an error if it can't be one of the stream.
func (q *request) checkEvent(e []byte) error {
	if err := event.Check(e); err != nil {
		q.Stats.Add("events_malformed", 1)
		return err
	}
	if event.IsComment(e) {
		return nil
	}
	if err := q.position.Advance(q.Dialect.EventID(e)); err != nil {
		q.Stats.Add("events_out_of_order", 1)
		return err
	}
	q.events++
	return nil
}

// checkContinues returns an error unless an answer may go on in the one whose head the
// caller has. It is the only place that decides this; the events in it are checked one by
// one.
func (q *request) checkContinues(a *back.Answer) *mn.Error {
	want, got := q.w.Header().Get("Content-Type"), a.Header.Get("Content-Type")
	if q.route.Kind == mn.RouteStream && a.Status == q.status && got == want {
		return nil
	}
	return mn.Errorf(mn.EndpointFailed, "the caller has a part of an answer with status %d and type %q, which one with status %d and type %q can't continue", q.status, want, a.Status, got)
}
