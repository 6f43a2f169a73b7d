package route

import mn "mustardnotch"

// Figures assumed for an engine until it has reported its own.
const (
	initialPrefillMillis = 0.1
	initialDecodeMillis  = 20.0
	initialLimit         = 32
)

// LoadReport is an agent's load report.
type LoadReport struct {
	// Age is the age of the engine's figures when the report was received.
	Age mn.Millis
	// Running is the number of requests at the engine.
	Running float64
	// Limit is the maximum number of requests at the engine.
	Limit float64
	// PrefillTokens is the number of prompt tokens at the engine that wait for
	// prefill.
	PrefillTokens float64
	// Backlog is the queued work, in units of the prefill of one prompt token.
	Backlog float64
	// Throughput is the work done in a millisecond, in the unit of Backlog, or 0
	// if not known.
	Throughput float64
	// PrefillMillis is the time to prefill one prompt token, 0 if not measured.
	PrefillMillis float64
	// DecodeMillis is the time to generate one token, 0 if not measured.
	DecodeMillis float64
	Role         mn.EngineRole
	// Unavailable is set while the agent drains or its engine changes.
	Unavailable bool
}

func initialReport() LoadReport {
	return LoadReport{
		Limit:         initialLimit,
		PrefillMillis: initialPrefillMillis,
		DecodeMillis:  initialDecodeMillis,
		Role:          mn.EngineMixed,
	}
}

// CacheEvent reports that a prefix was added to an agent's prefix cache or
// evicted from it.
type CacheEvent struct {
	Block   Block
	Evicted bool
}
