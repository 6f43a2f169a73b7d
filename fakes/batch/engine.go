package batch

import (
	"context"
	"net/http"
	"sync"

	mn "mustardnotch"
	"mustardnotch/core/route"
	"mustardnotch/fakes"
)

// Micros is a duration in microseconds.
type Micros int64

// Params describes how fast an engine is and how far its reports lag.
type Params struct {
	// Step is the fixed time of a step. Prefill is added for each token that the step
	// prefills, and Decode for each request that it decodes.
	Step    Micros
	Prefill Micros
	Decode  Micros
	// ChunkTokens is the maximum number of tokens that one step prefills.
	ChunkTokens int64
	// MaxBatch is the maximum number of requests in a step.
	MaxBatch int
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int64
	// ImportPerToken is the time to import the KV cache of one token.
	ImportPerToken Micros
	// LoadLag and EventLag are the ages that load reports and cache events have when
	// they are returned.
	LoadLag  mn.Millis
	EventLag mn.Millis
	// EventLoss is the fraction of cache events that are lost.
	EventLoss float64
	// RoleChange is the time that an order takes. An order that loads another model or
	// version takes at least VersionLoad.
	RoleChange  mn.Millis
	VersionLoad mn.Millis
	// Fencing makes the engine reject orders with an older fencing token.
	Fencing bool
}

// DefaultParams returns the parameters of a small engine: 10,000 prompt tokens per
// second alone, and 400 output tokens per second with a full batch.
func DefaultParams() Params {
	return Params{
		Step: 20_000, Prefill: 100, Decode: 1_250, ChunkTokens: 512, MaxBatch: 16,
		CacheTokens: 32_768, ImportPerToken: 10,
		LoadLag: 300, EventLag: 500, EventLoss: 0.02,
		RoleChange: 4 * mn.Second, VersionLoad: 5 * mn.Second,
	}
}

// Counters counts the work that an engine has done.
type Counters struct {
	PrefillTokens int64     `json:"prefill_tokens"`
	CachedTokens  int64     `json:"cached_tokens"`
	OutputTokens  int64     `json:"output_tokens"`
	RoleChanges   int64     `json:"role_changes"`
	Imports       int64     `json:"imports"`
	BusyTime      mn.Millis `json:"busy_ms"`
	Uptime        mn.Millis `json:"up_ms"`
}

// Engine is a stand-in for a model engine. It implements [mn.Engine].
type Engine struct {
	Faults  *fakes.Faults
	clock   mn.Clock
	params  Params
	baseURL string // the engine's own URL, for KV cache handles
	client  *http.Client

	mu       sync.Mutex
	wake     chan struct{}
	waiting  []*request // by priority, then arrival
	batch    []*request
	cache    *cache
	exports  map[string]int64 // tokens of each exported KV cache, by request
	exported []string         // keys of exports, oldest first
	state    mn.EngineState
	history  []timedLoad
	counters Counters
	started  mn.Millis
}

// New returns an engine that has loaded the given version of model. Its KV cache
// handles start with baseURL, the URL at which the engine is served.
func New(clock mn.Clock, params Params, model mn.ModelID, version, baseURL string) *Engine {
	return &Engine{
		Faults:  fakes.NewFaults(fakes.CrashToken, fakes.TruncateToken, Silent, SlowPercent),
		clock:   clock,
		params:  params,
		baseURL: baseURL,
		client:  &http.Client{},
		wake:    make(chan struct{}, 1),
		cache:   newCache(params.CacheTokens/route.BlockTokens, params.EventLoss),
		exports: make(map[string]int64),
		state:   mn.EngineState{Role: mn.EngineMixed, Model: model, Version: version},
		started: clock.Now(),
	}
}

// SetRole sets the engine's role without delay. It may only be called before the
// engine serves.
func (e *Engine) SetRole(r mn.EngineRole) { e.state.Role = r }

// Run runs steps while there is work, until ctx is done.
func (e *Engine) Run(ctx context.Context) error {
	// due is the time at which the current step ends. It adds up the exact times of
	// consecutive steps, so that sleeping for whole milliseconds causes no drift.
	due := Micros(e.clock.Now()) * 1000
	for {
		e.mu.Lock()
		took := e.beginStep()
		e.mu.Unlock()
		if took == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-e.wake:
			}
			due = Micros(e.clock.Now()) * 1000
			continue
		}
		due += took * (100 + Micros(e.Faults.Get(SlowPercent))) / 100
		if pause := mn.Millis(due/1000) - e.clock.Now(); pause > 0 {
			if e.clock.Sleep(ctx, pause) != nil {
				return nil
			}
		}
		e.mu.Lock()
		e.finishStep()
		e.counters.BusyTime += mn.Millis(took / 1000)
		e.recordLoad()
		e.mu.Unlock()
	}
}

// Load implements [mn.Engine]. It returns the newest load that is at least
// LoadLag old, or an empty load with the current role if there is none yet.
func (e *Engine) Load(context.Context) (mn.EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	latest := e.clock.Now() - e.params.LoadLag
	load := mn.EngineLoad{Role: e.state.Role}
	current := 0
	for i, h := range e.history {
		if h.at > latest {
			break
		}
		load = h.load
		current = i
	}
	e.history = e.history[current:]
	return load, nil
}

// State implements [mn.Engine].
func (e *Engine) State(context.Context) (mn.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// CacheEvents implements [mn.Engine].
func (e *Engine) CacheEvents(_ context.Context, after int64) ([]mn.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.since(after, e.clock.Now()-e.params.EventLag), nil
}

// Counters returns the engine's counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	counters := e.counters
	counters.Uptime = e.clock.Now() - e.started
	return counters
}

// timedLoad is a load report and the time that it describes.
type timedLoad struct {
	at   mn.Millis
	load mn.EngineLoad
}

// recordLoad records the current load for later reports.
func (e *Engine) recordLoad() {
	load := mn.EngineLoad{Running: int64(len(e.batch)), Waiting: int64(len(e.waiting)), Role: e.state.Role}
	for _, r := range e.waiting {
		load.PrefillTokens += r.prefillLeft
	}
	for _, r := range e.batch {
		load.PrefillTokens += r.prefillLeft
	}
	load.KVUsed = float64(len(e.batch)) / float64(e.params.MaxBatch)
	e.history = append(e.history, timedLoad{e.clock.Now(), load})
}
