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

// Faults of the engine. Token numbers count from 1 and include the prefix that a
// resumed request brings.
const (
	// TokenMillis is the time in milliseconds that each output token takes.
	TokenMillis = "token_ms"
	// CrashToken ends the engine's process instead of sending the output token of
	// this number, in the next request.
	CrashToken = "crash_token"
	// TruncateToken closes the connection instead of sending the output token of
	// this number, in the next request.
	TruncateToken = "cut_token"
	// ChangeMillis is the time in milliseconds for which an order keeps the engine
	// from serving requests.
	ChangeMillis = "change_ms"
	// OrderLost is the number of orders that take effect but get no response.
	OrderLost = "order_lost"
	// OrderSlow is the delay in milliseconds before an order takes effect.
	OrderSlow = "order_slow_ms"
	// Fencing, while it is not 0, makes the engine reject an order whose fencing
	// token is older than that of an earlier order.
	Fencing = "fencing"
)

// TimedEngineOrder is an order and the time at which it took effect.
type TimedEngineOrder struct {
	mn.EngineOrder
	Wall mn.Millis `json:"wall"`
	// Conflict reports whether another order was still being carried out.
	Conflict bool `json:"conflict"`
	// Aborted is the number of requests that were running when the order took
	// effect. Each is aborted at its next token if the change still lasts then.
	Aborted int64 `json:"cut"`
}

// PoisonPrompt makes an engine's process exit when a prompt contains it.
const PoisonPrompt = "<<poison>>"

// tokenBytes is the length in bytes of every token that the engine generates.
const tokenBytes = 6

// Output returns the first n tokens that an engine generates for prompt.
func Output(prompt string, n int64) string {
	var output strings.Builder
	for i := int64(0); i < n; i++ {
		output.WriteString(token(prompt, i))
	}
	return output.String()
}

func token(prompt string, i int64) string {
	hash := fnv.New32a()
	fmt.Fprintf(hash, "%s %d", prompt, i)
	return fmt.Sprintf("%05x ", hash.Sum32()&0xfffff)
}

// PromptTokens returns how many tokens an engine counts in prompt.
func PromptTokens(prompt string) int64 { return int64(len(prompt)+3) / 4 }

// Engine is a stand-in for a model engine. It runs any number of requests at once
// and takes the same time for every token.
type Engine struct {
	Faults *Faults
	clock  mn.Clock

	running  atomic.Int64
	mu       sync.Mutex
	state    mn.EngineState
	requests []string
	orders   []TimedEngineOrder
	// changeEnd is the time at which the current change ends. The state becomes
	// nextState then.
	changeEnd mn.Millis
	nextState mn.EngineState
}

// NewEngine returns an engine that has loaded the given version of model.
func NewEngine(clock mn.Clock, model mn.ModelID, version string) *Engine {
	return &Engine{
		Faults: NewFaults(TokenMillis, CrashToken, TruncateToken, ChangeMillis, OrderLost, OrderSlow, Fencing),
		clock:  clock,
		state:  mn.EngineState{Role: mn.EngineMixed, Model: model, Version: version},
	}
}

// Handler returns the engine's HTTP interface. For tests, GET /admin/seen lists
// the method, URL, headers and prompt of each generation request that the engine
// received, and GET /admin/orders lists the orders that took effect.
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
		http.Error(w, "engine is changing its role or model", http.StatusServiceUnavailable)
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
		if delay := mn.Millis(e.Faults.Get(TokenMillis)); delay > 0 {
			if e.clock.Sleep(r.Context(), delay) != nil {
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

func (e *Engine) recordRequest(r *http.Request, prompt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, fmt.Sprintf("%s %s %v %s", r.Method, r.URL, r.Header, prompt))
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

// finishChange completes a change whose time has passed. The caller holds e.mu.
func (e *Engine) finishChange() {
	if e.state.Changing && e.clock.Now() >= e.changeEnd {
		e.state = e.nextState
	}
}

// changing reports whether an order keeps the engine from serving requests.
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
	if delay := mn.Millis(e.Faults.Get(OrderSlow)); delay > 0 {
		_ = e.clock.Sleep(context.WithoutCancel(r.Context()), delay)
	}
	if !e.acceptOrder(order) {
		http.Error(w, fmt.Sprintf("fencing token %d is older than that of an earlier order", order.FencingToken), http.StatusConflict)
		return
	}
	if e.Faults.Consume(OrderLost) {
		abortResponse()
	}
}

// acceptOrder starts the change that order asks for and reports whether the order
// was accepted.
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
