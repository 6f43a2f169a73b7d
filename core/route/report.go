package route

import mn "mustardnotch"

// Speeds assumed of an engine until it has reported its own.
const (
	initialPrefillMillis = 0.1
	initialDecodeMillis  = 20.0
	initialLimit         = 32
)

// Report is an agent's load report.
type Report struct {
	// Age is how old the engine's figures were when the report came in.
	Age mn.Millis
	// Running counts requests at the engine.
	Running float64
	// Limit is how many requests may be at the engine.
	Limit float64
	// PrefillTokens counts prompt tokens at the engine that wait for prefill.
	PrefillTokens float64
	// Backlog is the queued work, in units of one prompt token's prefill.
	Backlog float64
	// Throughput is the work done in a millisecond, in the unit of Backlog.
	Throughput float64
	// PrefillMillis is the time for one prompt token, 0 if not measured.
	PrefillMillis float64
	// DecodeMillis is the time for one output token, 0 if not measured.
	DecodeMillis float64
	Role         mn.EngineRole
	// Unavailable says that the agent drains or that its engine changes.
	Unavailable bool
}

func initialReport() Report {
	return Report{
		Limit:         initialLimit,
		PrefillMillis: initialPrefillMillis,
		DecodeMillis:  initialDecodeMillis,
		Role:          mn.EngineMixed,
	}
}

// CacheEvent says that a prefix entered or left an agent's prefix cache.
type CacheEvent struct {
	Block   Block
	Evicted bool
}
