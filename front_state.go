package mustardnotch

// Front is the registration of a process that serves callers' HTTP requests.
type Front struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Addr        string      `json:"addr"`
	DataCentre  DataCentre  `json:"data_centre"`
}

// EndpointLoad is the load that one front places on an endpoint.
type EndpointLoad struct {
	Endpoint EndpointID
	// Requests is the number of requests that the front sent and that are not
	// answered yet.
	Requests int64
	// PrefillTime is the time that the endpoint needs to prefill their prompts.
	PrefillTime Millis
}

// PrefilledPrompt lists segments of prompts that an endpoint has in its KV cache,
// because it prefilled or fetched them.
type PrefilledPrompt struct {
	Endpoint EndpointID
	Segments []PromptSegment
}

// EngineTimings is what a front has observed of the speed of a pool's engines: sums
// that can be added to those of other fronts.
type EngineTimings struct {
	Pool PoolID
	Sums []float64
}

// EngineSpeed is what a front has observed of how much longer than at a typical engine prefills
// take at an engine.
type EngineSpeed struct {
	Endpoint EndpointID
	// Counts holds the number of observations by the class of the slowdown.
	Counts []uint32
	// Pace is the lowest figure, in percent, that the engine has lately said of its pace to the
	// front, 0 for none.
	Pace int64
}

// RunCount is the number of a customer's requests that started to run in a
// window.
type RunCount struct {
	Window   int64      `json:"window"`
	Customer CustomerID `json:"customer"`
	Count    int64      `json:"count"`
}

// EngineCrash is what fronts observed of an engine whose process ended.
type EngineCrash struct {
	Endpoint EndpointID `json:"endpoint"`
	// Age is the time since the crash.
	Age Millis `json:"age_ms"`
	// Segments holds the shared prompt segments of requests that the engine had not begun
	// to answer, and Tried those of them for which one of these requests was a trial.
	Segments []string `json:"segments"`
	Tried    []string `json:"tried,omitempty"`
}

// ClearedSegment is a prompt segment of a request that ran to its end after engines had
// crashed with requests that share it.
type ClearedSegment struct {
	Segment string
	// Age is the time since the request ended.
	Age Millis
}

// StateScope is how much of its work a front includes in its [FrontState].
type StateScope int64

// Scopes. Each scope includes those above it.
const (
	// ScopeNone includes only how current the front's catalog and endpoint list are.
	ScopeNone StateScope = iota
	// ScopeChanges includes the parts of the front's work that have changed.
	ScopeChanges
	// ScopeAll includes everything, changed or not.
	ScopeAll
)

// FrontState is the state that a front sends to its peer fronts.
type FrontState struct {
	VM          VMID
	Incarnation Incarnation
	// Uptime is how long this incarnation had been running when it sent the state.
	Uptime Millis
	// Addr and DataCentre are those of the front's [Front] record, as far as the recipient
	// knows them.
	Addr       string
	DataCentre DataCentre
	// ListFingerprint is a fingerprint of the front's endpoint list. ListAge is the
	// time since the list was known to be current, negative if it never was.
	ListFingerprint uint64
	ListAge         Millis
	// DutyNext is the end of [DutyFeed] as far as the front knows it.
	DutyNext Offset
	// CatalogOffset is the offset of the front's catalog in [CatalogFeed].
	// CatalogAge is the time since that catalog was known to be the newest,
	// negative if the front has no catalog.
	CatalogOffset Offset
	CatalogAge    Millis
	// Evacuated lists the evacuated data centres as of offset EvacuatedNext of
	// [CatalogFeed], 0 if the front has not read it.
	Evacuated     []DataCentre
	EvacuatedNext Offset
	// Loads holds the load that the front places on endpoints.
	Loads []EndpointLoad
	// Scope determines how much of Loads, Spent, Runs, Crashes, EngineCrashes,
	// ClearedSegments and PrefilledPrompts is set.
	Scope StateScope
	// Spent is each customer's spending at this incarnation, in the unit of its
	// rate.
	Spent map[CustomerID]float64
	// Runs holds the run counts of this incarnation for recent windows, if HasRuns is set.
	Runs    []RunCount
	HasRuns bool
	// WantsRuns means that the front needs the run counts of its peers.
	WantsRuns bool
	// Crashes lists the recent endpoint crashes that this incarnation observed, or with
	// ScopeAll, those of requests that it rejects because of them.
	Crashes []CrashRecord
	// EngineCrashes and ClearedSegments are what the front observed of prompt segments
	// that may crash engines, or with ScopeAll, what it knows of those that do.
	EngineCrashes   []EngineCrash
	ClearedSegments []ClearedSegment
	// PrefilledPrompts lists the prompt segments that endpoints recently prefilled,
	// fetched or listed as cached, including those that no other prompt shares.
	PrefilledPrompts []PrefilledPrompt
	// Timings is what this incarnation has observed of engines. It replaces what the
	// incarnation sent before, and is left out of most states.
	Timings []EngineTimings
	// Speeds holds what this incarnation has observed lately of engines' speeds, for those of
	// which it has changed. It is sent together with Timings.
	Speeds []EngineSpeed
}
