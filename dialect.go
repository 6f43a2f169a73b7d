package mustardnotch

import "net/http"

// PromptSegment is a section of a prompt. Requests whose prompts share a segment
// give it the same id.
type PromptSegment struct {
	ID     string
	Tokens int64
}

// PromptInfo is what a caller declares about its prompt.
type PromptInfo struct {
	Tokens    int64
	MaxOutput int64
	// Segments lists the segments of the prompt in order.
	Segments []PromptSegment
}

// Cost returns the tokens that the request counts against a token rate.
func (p *PromptInfo) Cost() float64 { return float64(p.Tokens + p.MaxOutput) }

// RequestInfo holds the fields of the headers of a caller's request.
type RequestInfo struct {
	ID RequestID
	// Timeout is how long the caller waits for an answer, 0 if not given.
	Timeout Millis
	// Key is the caller's key, empty if none was sent.
	Key string
	// Prompt is nil for requests to plain services.
	Prompt *PromptInfo
	// LastEvent is the id of the last event that a resuming caller has received.
	LastEvent string
}

// KVSource identifies a prompt's KV cache at the endpoint that prefilled it.
type KVSource struct {
	Addr   string
	Handle string
}

// Dispatch holds the fields that a front adds to a caller's request when it
// sends the request to an endpoint.
type Dispatch struct {
	Endpoint EndpointID
	Customer CustomerID
	Timeout  Millis
	// PrefillOnly asks for the KV cache of the prompt instead of an answer.
	PrefillOnly bool
	// KVSource is where the endpoint fetches the KV cache of the prompt, or nil.
	KVSource *KVSource
	// CachedBy is the address of an endpoint that has a prefix of the prompt in
	// its cache and from which to fetch it, or empty.
	CachedBy string
	// Rank is the request's rank at the endpoint, from 0, the most urgent, to
	// 9. If it is negative, no rank is sent.
	Rank int
	// LastEvent, if set, is the id of the event after which the stream resumes.
	LastEvent string
}

// ReplyInfo holds the fields of the headers of an endpoint's answer.
type ReplyInfo struct {
	ID RequestID
	// Signed reports whether the answer carries the endpoint's signature.
	Signed bool
	// NotRun reports whether the endpoint has not run the request and never will.
	NotRun bool
	// Closing reports whether the endpoint closes the connection after the answer.
	Closing bool
	// KeepAlive is how long the endpoint keeps an idle connection open, 0 if not
	// given.
	KeepAlive Millis
	// Leaving reports whether the endpoint is about to end.
	Leaving bool
	// Pause is how long the endpoint wants no requests, 0 if it has not refused one.
	Pause Millis
	// Pace is how long work takes on the endpoint's VM at present, in percent of the usual, 0
	// if the endpoint doesn't say.
	Pace int64
}

// Dialect translates between HTTP headers and the fields they carry.
type Dialect interface {
	// ParseRequest decodes a caller's headers. Its error names the invalid header.
	ParseRequest(h http.Header) (RequestInfo, error)
	// OutgoingHeader returns the headers to send to an endpoint: the caller's
	// headers and those that encode d. The caller's key, the headers that apply to
	// its connection, and headers that only the system may set are removed.
	OutgoingHeader(h http.Header, d Dispatch) http.Header
	// ParseReply decodes the headers of an endpoint's answer.
	ParseReply(status int, h http.Header) ReplyInfo
	// ParseHandle decodes the KV cache handle in the answer to a request that was
	// sent with PrefillOnly.
	ParseHandle(body []byte) (string, error)
	// ReleasePath returns the path at which a DELETE request frees a handle.
	ReleasePath(handle string) string
	// CachedPath returns the path at which a GET request lists the prompt segments
	// in an engine's cache.
	CachedPath() string
	// ParseCached decodes the answer to a request for CachedPath.
	ParseCached(body []byte) ([]PromptSegment, error)
	// EventID returns the id of a stream's event, empty if it has none.
	EventID(event []byte) string
}
