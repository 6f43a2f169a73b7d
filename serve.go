package mustardnotch

import "context"

// Work describes a request to whoever admits, routes or schedules it.
type Work struct {
	ID       RequestID
	Customer CustomerID
	Pool     PoolID
	// Key is empty for calls without an idempotency key.
	Key IdempotencyKey
	// Prompt and MaxTokens are set for generations only.
	Prompt    string
	MaxTokens int64
	// Prefilled says that the KV cache of the prompt can be imported.
	Prefilled bool
	// Weight is the customer's share of a crowded endpoint.
	Weight float64
	// Deadline is an instant on the process's own clock, 0 for none.
	Deadline Millis
	// Avoid lists VMs that were tried without success.
	Avoid []VMID
}

// Limiter holds customers to their rate and burst.
type Limiter interface {
	// Admit takes one request from the customer's rate, waiting no longer
	// than the deadline, or returns an Error with code [RateExceeded].
	Admit(ctx context.Context, c Customer, deadline Millis) error
}

// Router chooses the agent for a request.
type Router interface {
	// Route returns an agent and a function to be called once with the result
	// of the request there. It fails with code [NoEndpoint].
	Route(ctx context.Context, w Work) (Member, func(error), error)
}

// PrefillRouter is a router that can have one agent prefill a prompt and
// another generate from it.
type PrefillRouter interface {
	Router
	// RoutePrefill returns an agent to prefill the prompt of w and a function
	// to be called once with the result, or false if the agent that generates
	// had better prefill too.
	RoutePrefill(ctx context.Context, w Work) (Member, func(error), bool)
}

// Scheduler decides when a request may start at an endpoint.
type Scheduler interface {
	// Acquire waits for the request's turn and returns a function that gives
	// its place back, with the tokens that were generated.
	Acquire(ctx context.Context, w Work) (release func(tokens int64), err error)
}

// RequestUsage is what one answered request used.
type RequestUsage struct {
	ID           RequestID  `json:"id"`
	Customer     CustomerID `json:"customer"`
	Pool         PoolID     `json:"pool"`
	PromptTokens int64      `json:"prompt_tokens"`
	OutputTokens int64      `json:"output_tokens"`
}

// UsageRecorder takes the usage of answered requests.
type UsageRecorder interface {
	// Record keeps s until it has been written to the usage stream.
	Record(s RequestUsage)
}
