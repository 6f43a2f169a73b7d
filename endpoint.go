package mustardnotch

import "context"

// EngineRole is the part of a request that a model engine performs.
type EngineRole string

// Roles of a model engine.
const (
	EngineMixed   EngineRole = "mixed"
	EnginePrefill EngineRole = "prefill"
	EngineDecode  EngineRole = "decode"
)

// Priority orders requests in an engine; higher values go first.
type Priority int

// Generation is a request to a model engine. It doesn't contain the caller's key.
type Generation struct {
	ID     RequestID `json:"id"`
	Prompt string    `json:"prompt"`
	// Prefix is the output that the caller already has; the generation continues
	// from there.
	Prefix    string   `json:"prefix,omitempty"`
	MaxTokens int64    `json:"max_tokens"`
	Priority  Priority `json:"priority,omitempty"`
	// CacheHandle identifies a KV cache to import instead of prefilling.
	CacheHandle string `json:"cache_handle,omitempty"`
	// PrefillOnly ends the generation after the prefill. The engine then exports
	// the KV cache instead of producing output.
	PrefillOnly bool `json:"prefill_only,omitempty"`
}

// OutputChunk is one step of the output of a generation.
type OutputChunk struct {
	Text   string `json:"text,omitempty"`
	Tokens int64  `json:"tokens,omitempty"`
	// PromptTokens and CachedTokens are set on the last chunk.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// CacheHandle identifies the KV cache that a prefill-only generation exported.
	CacheHandle string `json:"cache_handle,omitempty"`
	// Last marks the last chunk.
	Last bool `json:"last,omitempty"`
}

// EngineLoad is an engine's load report. It lags behind the engine's state.
type EngineLoad struct {
	Running       int64      `json:"running"`
	Waiting       int64      `json:"waiting"`
	PrefillTokens int64      `json:"prefill_tokens"`
	KVUsed        float64    `json:"kv_used"`
	Role          EngineRole `json:"role"`
}

// EngineState is an engine's state according to the engine itself.
type EngineState struct {
	Role    EngineRole `json:"role"`
	Model   ModelID    `json:"model"`
	Version string     `json:"version"`
	// Changing reports whether an order is still being carried out.
	Changing bool `json:"changing"`
	// FencingToken is the highest fencing token that the engine has seen, 0 for
	// engines that check none.
	FencingToken int64 `json:"fence"`
}

// EngineOrder is an order to load a model version or to change role.
type EngineOrder struct {
	// FencingToken is the holder's term. Engines that check it reject orders of an
	// older term.
	FencingToken int64      `json:"fence"`
	Role         EngineRole `json:"role"`
	Model        ModelID    `json:"model"`
	Version      string     `json:"version"`
}

// CacheEvent reports that a prompt prefix entered or left an engine's cache.
// Events arrive late and with gaps in Sequence.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Engine is the model engine that an agent runs next to.
type Engine interface {
	// Generate runs g and calls emit for each chunk in order. Cancelling ctx
	// cancels the generation in the engine.
	Generate(ctx context.Context, g Generation, emit func(OutputChunk) error) error
	Load(ctx context.Context) (EngineLoad, error)
	State(ctx context.Context) (EngineState, error)
	Order(ctx context.Context, o EngineOrder) error
	// CacheEvents returns the events that follow sequence number after.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
}

// PlainCall is a call to a plain service. It doesn't contain the caller's key.
type PlainCall struct {
	ID       RequestID
	Customer CustomerID
	Path     string
	Body     []byte
}

// PlainService is the plain application endpoint that an agent runs next to.
type PlainService interface {
	// Call runs c and returns the complete answer.
	Call(ctx context.Context, c PlainCall) ([]byte, error)
}
