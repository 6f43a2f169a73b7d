package caller

import (
	"expvar"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	mn "mustardnotch"
	"mustardnotch/core/spans"
)

// requests counts requests by the result code that was sent to their callers.
var requests = expvar.NewMap("requests")

// debugLevelCodes are the result codes that a single caller can cause at any rate.
// They are logged only at debug level, so that no caller can flood the log, but are
// counted like the others.
var debugLevelCodes = map[mn.Code]bool{
	mn.RateExceeded:    true,
	mn.Unauthenticated: true,
	mn.BadRequest:      true,
	mn.Cancelled:       true,
}

// recordResult records the result of a request in the counters, its span and the log,
// and returns err as a Connect error.
func (s *Server) recordResult(span trace.Span, event string, h http.Header, err error) error {
	if err == nil {
		requests.Add(mn.OK.String(), 1)
		return nil
	}
	e := mn.AsError(err)
	requests.Add(e.Code.String(), 1)
	spans.RecordError(span, err)
	level := logrus.InfoLevel
	if debugLevelCodes[e.Code] {
		level = logrus.DebugLevel
	}
	if s.Log.Logger.IsLevelEnabled(level) {
		s.Log.WithFields(logrus.Fields{
			"event":    event,
			"customer": s.customerOf(h),
			"code":     e.Code.String(),
			"outcome":  e.Outcome.String(),
			"trace":    span.SpanContext().TraceID().String(),
		}).Log(level, e.Detail)
	}
	return ToConnect(err)
}

// customerOf returns the customer whose key is in h, or the empty id.
func (s *Server) customerOf(h http.Header) mn.CustomerID {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return s.Views.View().Keys[mn.HashKey(key)].Customer
}
