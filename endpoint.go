package mustardnotch

import "context"

// EngineRole is what a model engine does for a request.
type EngineRole string

// Roles of a model engine.
const (
	EngineMixed   EngineRole = "mixed"
	EnginePrefill EngineRole = "prefill"
	EngineDecode  EngineRole = "decode"
)

// Priority orders requests in an engine; higher goes first.
type Priority int

// Generation is a request to a model engine. It carries no caller's key.
type Generation struct {
	ID     RequestID `json:"id"`
	Prompt string    `json:"prompt"`
	// Prefix is output already sent to the caller, from which to go on.
	Prefix    string   `json:"prefix,omitempty"`
	MaxTokens int64    `json:"max_tokens"`
	Priority  Priority `json:"priority,omitempty"`
	// CacheHandle names a KV cache to import instead of a prefill.
	CacheHandle string `json:"cache_handle,omitempty"`
	// PrefillOnly ends the generation after the prefill, with an exported KV
	// cache in place of output.
	PrefillOnly bool `json:"prefill_only,omitempty"`
}

// OutputChunk is one step of a generation's output.
type OutputChunk struct {
	Text   string `json:"text,omitempty"`
	Tokens int64  `json:"tokens,omitempty"`
	// PromptTokens, CachedTokens are set on the last piece.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// CacheHandle names the KV cache that a prefill-only generation exported.
	CacheHandle string `json:"cache_handle,omitempty"`
	// Last marks the end of the output.
	Last bool `json:"last,omitempty"`
}

// EngineLoad is an engine's load report, which lags.
type EngineLoad struct {
	Running       int64      `json:"running"`
	Waiting       int64      `json:"waiting"`
	PrefillTokens int64      `json:"prefill_tokens"`
	KVUsed        float64    `json:"kv_used"`
	Role          EngineRole `json:"role"`
}

// EngineState is what an engine holds to be true of itself.
type EngineState struct {
	Role    EngineRole `json:"role"`
	Model   ModelID    `json:"model"`
	Version string     `json:"version"`
	// Changing says that an order is still being carried out.
	Changing bool `json:"changing"`
	// FencingToken is the highest fencing number seen, 0 for engines that check none.
	FencingToken int64 `json:"fence"`
}

// EngineOrder is an order to load a model version or to change role.
type EngineOrder struct {
	// FencingToken is the holder's term; engines that check refuse an older one.
	FencingToken int64      `json:"fence"`
	Role         EngineRole `json:"role"`
	Model        ModelID    `json:"model"`
	Version      string     `json:"version"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
// Events come late and with gaps in Sequence.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Engine is a model engine beside an agent.
type Engine interface {
	// Generate runs g and calls emit for each piece in order. Cancelling ctx
	// cancels the generation in the engine.
	Generate(ctx context.Context, g Generation, emit func(OutputChunk) error) error
	Load(ctx context.Context) (EngineLoad, error)
	State(ctx context.Context) (EngineState, error)
	Order(ctx context.Context, o EngineOrder) error
	// CacheEvents returns events after sequence after.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
}

// PlainCall is a call to a plain service. It carries no caller's key.
type PlainCall struct {
	ID       RequestID
	Customer CustomerID
	Path     string
	Body     []byte
}

// PlainService is a plain application endpoint beside an agent.
type PlainService interface {
	// Call runs one call and returns its whole answer.
	Call(ctx context.Context, c PlainCall) ([]byte, error)
}
