package mustardnotch

import "context"

// Work describes a request to the components that admit, route and schedule it.
type Work struct {
	ID       RequestID
	Customer CustomerID
	Pool     PoolID
	// Key is empty for calls without an idempotency key.
	Key IdempotencyKey
	// Prompt and MaxTokens are set for generations only.
	Prompt    string
	MaxTokens int64
	// Prefilled reports whether the KV cache of the prompt can be imported.
	Prefilled bool
	// Weight is the customer's weight in the fair queue of an endpoint.
	Weight float64
	// Deadline is an instant on the process's own clock, 0 for none.
	Deadline Millis
	// Avoid lists the VMs at which earlier attempts failed.
	Avoid []VMID
}

// Limiter enforces the customers' rates and bursts.
type Limiter interface {
	// Admit counts one request against the customer's rate. It may wait until the
	// deadline, and returns an Error with code [RateExceeded] if that isn't enough.
	Admit(ctx context.Context, c Customer, deadline Millis) error
}

// Router chooses the agent for a request.
type Router interface {
	// Route returns an agent and a function that the caller must call once with
	// the result of the request at that agent. If no agent is available, it
	// returns an Error with code [NoEndpoint].
	Route(ctx context.Context, w Work) (Member, func(error), error)
}

// PrefillRouter is a [Router] that can choose one agent to prefill a prompt and
// another to generate from it.
type PrefillRouter interface {
	Router
	// RoutePrefill returns an agent to prefill the prompt of w and a function that
	// the caller must call once with the result. It returns false if the agent
	// that generates the output should also prefill the prompt.
	RoutePrefill(ctx context.Context, w Work) (Member, func(error), bool)
}

// Scheduler decides when a request may start at an endpoint.
type Scheduler interface {
	// Acquire waits for the request's turn. The caller must call release when the
	// request ends, with the number of tokens generated.
	Acquire(ctx context.Context, w Work) (release func(tokens int64), err error)
}

// RequestUsage is the usage of one answered request.
type RequestUsage struct {
	ID           RequestID  `json:"id"`
	Customer     CustomerID `json:"customer"`
	Pool         PoolID     `json:"pool"`
	PromptTokens int64      `json:"prompt_tokens"`
	OutputTokens int64      `json:"output_tokens"`
}

// UsageRecorder records the usage of answered requests.
type UsageRecorder interface {
	// Record buffers u until it has been written to the usage stream.
	Record(u RequestUsage)
}
