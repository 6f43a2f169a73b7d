// Package reply decides what becomes of an endpoint's answer.
//
// Load pattern: an endpoint in trouble fails a part of its requests after it has run them, with
// any status. Some statuses promise a caller that its request has not run and never will, so
// that it sends a booking again. Passed on, they have the booking run twice.
package reply

import (
	"fmt"
	"net/http"

	mn "mustardnotch"
)

// Action is what becomes of an answer.
type Action int

// Actions.
const (
	// Withhold means that the answer must not reach the caller. The request may have run.
	Withhold Action = iota
	// Refuse means that the endpoint has not run the request and never will.
	Refuse
	// Forward means that the answer goes to the caller.
	Forward
	// Keep means that the answer is a failure of the endpoint, which goes to the caller if no
	// other attempt ends better.
	Keep
)

// Verdict is an action with its reason.
type Verdict struct {
	Action Action
	Reason string
}

// promises holds the statuses that promise a caller that its request has not run and never
// will.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// Promises reports whether a status promises a caller that its request has not run and never
// will.
func Promises(status int) bool { return promises[status] }

// Judge returns the verdict on an answer with a status, the fields of its headers and a content
// encoding.
func Judge(status int, info mn.ReplyInfo, encoding string) Verdict {
	switch {
	case info.NotRun:
		return Verdict{Refuse, "the endpoint has not run the request"}
	case !info.Signed:
		return Verdict{Withhold, "it is not signed"}
	case Promises(status):
		return Verdict{Withhold, "its status promises that the request has not run, which the endpoint doesn't say"}
	case status < http.StatusOK:
		return Verdict{Withhold, "it is no final answer"}
	case status < http.StatusMultipleChoices && encoding != "":
		return Verdict{Withhold, fmt.Sprintf("it has the content encoding %q", encoding)}
	case status < http.StatusInternalServerError:
		return Verdict{Forward, "it is the caller's answer"}
	}
	return Verdict{Keep, "it is a failure of the endpoint"}
}
