package mustardnotch

// Front is the entry of a process that serves callers' HTTP requests.
type Front struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Addr        string      `json:"addr"`
	DataCentre  DataCentre  `json:"data_centre"`
}

// EndpointLoad is the work that one front has at an endpoint.
type EndpointLoad struct {
	Endpoint EndpointID
	// Requests counts what the front sent and has no answer to yet.
	Requests int64
	// PrefillTime is the time that the endpoint needs for the prompts among these.
	PrefillTime Millis
}

// PrefilledPrompt says that an endpoint read the shared parts of a prompt.
type PrefilledPrompt struct {
	Endpoint EndpointID
	Segments []PromptSegment
}

// RunCount is how many requests of a customer began to run in a window.
type RunCount struct {
	Window   int64      `json:"window"`
	Customer CustomerID `json:"customer"`
	Count    int64      `json:"count"`
}

// StateScope says how much a front tells of its work.
type StateScope int64

// Scopes. Each has what those before it have.
const (
	// ScopeNone has evidence on the catalog and the list of endpoints alone.
	ScopeNone StateScope = iota
	// ScopeChanges has what has changed of the front's work.
	ScopeChanges
	// ScopeAll has all, changed or not.
	ScopeAll
)

// FrontState is what a front tells the other fronts of itself. What it also writes
// down has a JSON name.
type FrontState struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	// Uptime is how long this incarnation had been running when it spoke.
	Uptime Millis `json:"-"`
	// Addr and DataCentre are those of the front's entry.
	Addr       string     `json:"-"`
	DataCentre DataCentre `json:"-"`
	// ListFingerprint is a fingerprint of the front's list of endpoints, ListAge the age of
	// its evidence, negative for none.
	ListFingerprint uint64 `json:"-"`
	ListAge         Millis `json:"-"`
	// DutyNext is the end of the duty feed as far as the front knows it.
	DutyNext Offset `json:"-"`
	// CatalogOffset and CatalogAge say how far the front follows the catalog,
	// and how old its evidence was when it spoke. The age is negative if it has
	// no evidence.
	CatalogOffset Offset         `json:"-"`
	CatalogAge    Millis         `json:"-"`
	Loads         []EndpointLoad `json:"-"`
	// Scope says which of the following are given.
	Scope StateScope `json:"-"`
	// Spent is what each customer spent at this incarnation, in the unit of
	// its rate.
	Spent map[CustomerID]float64 `json:"-"`
	// Runs are the counts of recent windows at this incarnation.
	Runs []RunCount `json:"runs"`
	// Crashes are recent crashes that this incarnation saw.
	Crashes []CrashRecord `json:"-"`
	// PrefilledPrompts are the shared parts of prompts that were read lately.
	PrefilledPrompts []PrefilledPrompt `json:"-"`
}
