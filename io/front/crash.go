package front

import (
	"context"

	"github.com/sirupsen/logrus"

	mn "mustardnotch"
	"mustardnotch/core/poison"
)

const (
	// crashCheckDelay is the time from a failed attempt to the check whether the
	// endpoint still accepts connections. A process that crashes closes all its
	// sockets at once.
	crashCheckDelay = 20 * mn.Millisecond
	// crashCheckTimeout bounds the check.
	crashCheckTimeout = 500 * mn.Millisecond
)

// fingerprint returns the fingerprint of the request's content. It is the same for all pools among
// which a route is split.
func (q *request) fingerprint() string {
	if q.cachedFingerprint == "" {
		q.cachedFingerprint = poison.FingerprintOfPieces(q.body, string(q.customer), q.r.Method, q.r.Host, q.r.URL.RequestURI())
	}
	return q.cachedFingerprint
}

// admitContent returns an error if the request must not be sent because its content has
// crashed endpoints, as a whole or by segments of its prompt.
func (q *request) admitContent() *mn.Error {
	if q.CrashTracker.HasSuspects() {
		if e := q.CrashTracker.Check(q.fingerprint()); e != nil {
			return e.WithRetryAfter(0)
		}
	}
	return q.admitSegments()
}

// admitSegments returns an error if the request must not be sent because segments of its
// prompt crash engines, or may do so and are being tried by another request.
func (q *request) admitSegments() *mn.Error {
	if len(q.segments) == 0 {
		return nil
	}
	trial, err := q.Segments.Admit(q.trial, q.segments, q.SegmentRank)
	if q.trial == nil && trial != nil {
		q.Log.WithFields(logrus.Fields{"event": "segment_trial", "request": q.info.ID, "segments": trial.Segments()}).Info()
	}
	q.trial = trial
	return err
}

// endTrial ends the request's trial unless it is left to a crash check.
func (q *request) endTrial() {
	q.trial.End()
	q.trial = nil
}

// suspect is a request that may have crashed an endpoint.
type suspect struct {
	log         *logrus.Entry
	fingerprint string
	// segments holds the prompt segments that may be the cause, and tried those of them
	// for which the request was a trial.
	segments, tried []string
	// until is when the endpoint stops working on the request at the latest.
	until mn.Millis
}

// runCrashCheck checks whether an endpoint has crashed that did not complete its answer to a
// request, and counts the crash. If it has not, it is watched for one.
func (s *Server) runCrashCheck(to mn.Endpoint, broken suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout.Duration())
	defer cancel()
	if s.crashed(ctx, to) {
		s.countCrash(to, append(s.watch.take(to.ID), broken))
		return
	}
	s.watch.add(to, broken)
}

// crashed reports whether an endpoint refuses connections after crashCheckDelay.
func (s *Server) crashed(ctx context.Context, to mn.Endpoint) bool {
	if s.Clock.Sleep(ctx, crashCheckDelay) != nil {
		return false
	}
	refused, err := s.Back.ConnRefused(ctx, to.Addr)
	s.logUnclear(to.ID, err)
	return refused
}

// logUnclear logs that a look at an endpoint did not tell whether it has crashed, unless err is nil.
func (s *Server) logUnclear(id mn.EndpointID, err error) {
	if err != nil {
		s.Log.WithFields(logrus.Fields{"event": "crash_unclear", "endpoint": id}).Debug(err)
	}
}

// countCrash counts an endpoint's crash against the requests that it may have been working on.
func (s *Server) countCrash(to mn.Endpoint, suspects []suspect) {
	urgent := false
	for _, c := range suspects {
		crash := mn.CrashRecord{Fingerprint: c.fingerprint, VM: mn.VMID(to.ID), SeenAt: s.Clock.Wall()}
		s.CrashTracker.Add(crash)
		s.OnCrash(crash)
		fields := logrus.Fields{"event": "endpoint_crashed", "endpoint": to.ID, "fingerprint": c.fingerprint, "crashes": s.CrashTracker.Crashes(c.fingerprint)}
		if s.Segments.AddCrash(mn.EngineCrash{Endpoint: to.ID, Segments: c.segments, Tried: c.tried}) {
			urgent = true
			status := s.Segments.Status()
			fields["segments"], fields["tried"], fields["suspects"], fields["quarantined"] = c.segments, c.tried, status.Suspects, status.Quarantined
		}
		c.log.WithFields(fields).Warn()
	}
	if urgent {
		s.Balancer.RequestUrgentUpdate()
	}
}

// clearCrashes deletes the crashes that were counted against the request's content and
// the segments of its prompt, since the request has now run to its end.
func (q *request) clearCrashes() {
	if q.CrashTracker.HasSuspects() {
		q.CrashTracker.Clear(q.fingerprint())
	}
	q.clearSegments()
}

// clearSegments deletes the crashes that were counted against the segments of the request's
// prompt.
func (q *request) clearSegments() {
	if len(q.segments) > 0 && q.Segments.Succeeded(q.segments) {
		q.Balancer.RequestUrgentUpdate()
	}
}
