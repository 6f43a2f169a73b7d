package mustardnotch

import "net/http"

// PromptSegment is one part of a prompt, in order. Requests that share a part give
// it the same id.
type PromptSegment struct {
	ID     string
	Tokens int64
}

// PromptInfo is what a caller declares of a prompt.
type PromptInfo struct {
	Tokens    int64
	MaxOutput int64
	Segments  []PromptSegment
}

// Cost is what the request counts against a rate in tokens.
func (p *PromptInfo) Cost() float64 { return float64(p.Tokens + p.MaxOutput) }

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	ID RequestID
	// Timeout is how long the caller waits, 0 if it does not say.
	Timeout Millis
	// Key is the caller's key, empty if it has none.
	Key string
	// Prompt is nil for requests to plain services.
	Prompt *PromptInfo
	// LastEvent is the id of the last event that the caller has, if it resumes.
	LastEvent string
}

// KVSource names a prompt's KV cache at the endpoint that read the prompt.
type KVSource struct {
	Addr   string
	Handle string
}

// Dispatch is what is told to an endpoint beside the caller's request.
type Dispatch struct {
	Endpoint EndpointID
	Customer CustomerID
	Timeout  Millis
	// PrefillOnly asks for the KV cache of the prompt instead of an answer.
	PrefillOnly bool
	// KVSource is where to fetch the KV cache of the prompt, or nil.
	KVSource *KVSource
	// CachedBy is the address of an endpoint from which to fetch what it keeps of
	// the prompt, or empty.
	CachedBy string
	// Urgency is 0 for the most urgent work, 9 for the least, or negative to
	// leave it to the endpoint.
	Urgency int
	// LastEvent makes a stream go on after this event.
	LastEvent string
}

// ReplyInfo is what the headers of an endpoint's answer say.
type ReplyInfo struct {
	ID RequestID
	// Signed says that the answer bears the endpoint's signature.
	Signed bool
	// NotRun says that the endpoint has not run the request and never will.
	NotRun bool
	// Closing says that the endpoint closes the connection after the answer.
	Closing bool
	// KeepAlive is how long the endpoint keeps an idle connection, 0 if unsaid.
	KeepAlive Millis
}

// Dialect translates between HTTP headers and the fields they carry.
type Dialect interface {
	// ParseRequest decodes a caller's headers. Its error names the header.
	ParseRequest(h http.Header) (RequestInfo, error)
	// OutgoingHeader returns the headers for an endpoint: those of the caller without
	// the ones that concern its connection, its key, or that only the system
	// may set, and those that say d.
	OutgoingHeader(h http.Header, d Dispatch) http.Header
	// ParseReply decodes the headers of an endpoint's answer.
	ParseReply(status int, h http.Header) ReplyInfo
	// ParseHandle decodes the answer to a request that was PrefillOnly.
	ParseHandle(body []byte) (string, error)
	// ReleasePath is the path that frees a handle by DELETE.
	ReleasePath(handle string) string
	// CachedPath is the path that lists, by GET, the parts of prompts that an engine
	// keeps; Kept decodes the answer.
	CachedPath() string
	ParseCached(body []byte) ([]PromptSegment, error)
	// EventID returns the id of an event of a stream, empty if it has none.
	EventID(event []byte) string
}
