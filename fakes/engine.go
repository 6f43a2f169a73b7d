package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	mn "mustardnotch"
)

// Faults of the engine.
const (
	// TokenMillis is the time for one output token, in milliseconds.
	TokenMillis = "token_ms"
	// CrashToken ends the engine's process after so many output tokens of the
	// next request.
	CrashToken = "crash_token"
	// TruncateToken cuts the stream of the next request after so many tokens.
	TruncateToken = "cut_token"
	// ChangeMillis is for how long an order keeps the engine from work.
	ChangeMillis = "change_ms"
	// OrderLost lets so many orders take effect without an answer.
	OrderLost = "order_lost"
	// OrderSlow delays orders before they take effect, in milliseconds.
	OrderSlow = "order_slow_ms"
	// Fencing has the engine refuse orders with an old fencing number.
	Fencing = "fencing"
)

// TimedEngineOrder is an order with the time at which it took effect.
type TimedEngineOrder struct {
	mn.EngineOrder
	Wall mn.Millis `json:"wall"`
	// Conflict says that another order was being carried out, and Cut how many
	// requests the order cut.
	Conflict bool  `json:"conflict"`
	Aborted  int64 `json:"cut"`
}

// PoisonPrompt makes an engine's process end when it is part of a prompt.
const PoisonPrompt = "<<poison>>"

// tokenBytes is the length in bytes of every token that the engine makes.
const tokenBytes = 6

// Output returns the first n tokens that an engine generates for prompt.
func Output(prompt string, n int64) string {
	var b strings.Builder
	for i := int64(0); i < n; i++ {
		b.WriteString(token(prompt, i))
	}
	return b.String()
}

func token(prompt string, i int64) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s %d", prompt, i)
	return fmt.Sprintf("%05x ", h.Sum32()&0xfffff)
}

// PromptTokens returns how many tokens an engine counts in prompt.
func PromptTokens(prompt string) int64 { return int64(len(prompt)+3) / 4 }

// Engine is a stand-in for a model engine.
type Engine struct {
	Faults *Faults
	clock  mn.Clock

	running  atomic.Int64
	mu       sync.Mutex
	state    mn.EngineState
	requests []string
	orders   []TimedEngineOrder
	// changeEnd is when the present change ends.
	changeEnd mn.Millis
	nextState mn.EngineState
}

// NewEngine returns an engine that has loaded a version of model.
func NewEngine(clock mn.Clock, model mn.ModelID, version string) *Engine {
	return &Engine{
		Faults: NewFaults(TokenMillis, CrashToken, TruncateToken, ChangeMillis, OrderLost, OrderSlow, Fencing),
		clock:  clock,
		state:  mn.EngineState{Role: mn.EngineMixed, Model: model, Version: version},
	}
}

// Handler returns the engine's HTTP interface. /admin/seen returns every
// request as the engine received it.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /fault", e.Faults)
	mux.HandleFunc("POST /generate", e.handleGenerate)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /state", e.handleState)
	mux.HandleFunc("POST /order", e.handleOrder)
	mux.HandleFunc("GET /cache_events", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, []mn.CacheEvent{}) })
	mux.HandleFunc("GET /admin/orders", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, e.orders)
	})
	mux.HandleFunc("GET /admin/seen", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, e.requests)
	})
	return mux
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var generation mn.Generation
	if !readJSON(w, r, &generation) {
		return
	}
	e.recordRequest(r, generation.Prompt)
	if strings.Contains(generation.Prompt, PoisonPrompt) {
		os.Exit(3)
	}
	if e.changing() {
		http.Error(w, "the engine is changing", http.StatusServiceUnavailable)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.stream(w, r, generation)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, generation mn.Generation) {
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	crashAt, truncateAt := e.Faults.GetAndClear(CrashToken), e.Faults.GetAndClear(TruncateToken)
	for i := int64(len(generation.Prefix)) / tokenBytes; i < generation.MaxTokens; i++ {
		if d := mn.Millis(e.Faults.Get(TokenMillis)); d > 0 {
			if e.clock.Sleep(r.Context(), d) != nil {
				return
			}
		}
		if e.changing() {
			abortResponse()
		}
		if crashAt > 0 && i+1 >= crashAt {
			os.Exit(3)
		}
		if truncateAt > 0 && i+1 >= truncateAt {
			abortResponse()
		}
		if encoder.Encode(mn.OutputChunk{Text: token(generation.Prompt, i), Tokens: 1}) != nil || controller.Flush() != nil {
			return
		}
	}
	_ = encoder.Encode(mn.OutputChunk{PromptTokens: PromptTokens(generation.Prompt), Last: true})
}

func (e *Engine) recordRequest(r *http.Request, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, fmt.Sprintf("%s %s %v %s", r.Method, r.URL, r.Header, body))
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, mn.EngineLoad{Running: e.running.Load(), Role: e.state.Role})
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishChange()
	writeJSON(w, e.state)
}

// finishChange ends a change whose time has passed. The caller holds e.mu.
func (e *Engine) finishChange() {
	if e.state.Changing && e.clock.Now() >= e.changeEnd {
		e.state = e.nextState
	}
}

// changing says whether an order keeps the engine from work.
func (e *Engine) changing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishChange()
	return e.state.Changing
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order mn.EngineOrder
	if !readJSON(w, r, &order) {
		return
	}
	if d := mn.Millis(e.Faults.Get(OrderSlow)); d > 0 {
		_ = e.clock.Sleep(context.WithoutCancel(r.Context()), d)
	}
	if !e.acceptOrder(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if e.Faults.Consume(OrderLost) {
		abortResponse()
	}
}

// acceptOrder starts the change that o asks for and says whether o was accepted.
func (e *Engine) acceptOrder(order mn.EngineOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishChange()
	if e.Faults.Get(Fencing) != 0 && order.FencingToken < e.state.FencingToken {
		return false
	}
	e.orders = append(e.orders, TimedEngineOrder{order, e.clock.Wall(), e.state.Changing, e.running.Load()})
	e.nextState = mn.EngineState{Role: order.Role, Model: order.Model, Version: order.Version}
	if e.Faults.Get(Fencing) != 0 {
		e.nextState.FencingToken = order.FencingToken
		e.state.FencingToken = order.FencingToken
	}
	e.state.Changing = true
	e.changeEnd = e.clock.Now() + mn.Millis(e.Faults.Get(ChangeMillis))
	return true
}
