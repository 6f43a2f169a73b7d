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

// tokenWidth is the length in bytes of every token that the engine makes.
const tokenWidth = 6

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

	running atomic.Int64
	mu      sync.Mutex
	state   mn.EngineState
	seen    []string
	orders  []TimedEngineOrder
	// ready is when the present change ends.
	ready mn.Millis
	next  mn.EngineState
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
		writeJSON(w, e.seen)
	})
	return mux
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var g mn.Generation
	if !readJSON(w, r, &g) {
		return
	}
	e.note(r, g.Prompt)
	if strings.Contains(g.Prompt, PoisonPrompt) {
		os.Exit(3)
	}
	if e.changing() {
		http.Error(w, "the engine is changing", http.StatusServiceUnavailable)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.stream(w, r, g)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g mn.Generation) {
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	crash, cut := e.Faults.GetAndClear(CrashToken), e.Faults.GetAndClear(TruncateToken)
	for i := int64(len(g.Prefix)) / tokenWidth; i < g.MaxTokens; i++ {
		if d := mn.Millis(e.Faults.Get(TokenMillis)); d > 0 {
			if e.clock.Sleep(r.Context(), d) != nil {
				return
			}
		}
		if e.changing() {
			drop()
		}
		if crash > 0 && i+1 >= crash {
			os.Exit(3)
		}
		if cut > 0 && i+1 >= cut {
			drop()
		}
		if out.Encode(mn.OutputChunk{Text: token(g.Prompt, i), Tokens: 1}) != nil || flush.Flush() != nil {
			return
		}
	}
	_ = out.Encode(mn.OutputChunk{PromptTokens: PromptTokens(g.Prompt), Last: true})
}

func (e *Engine) note(r *http.Request, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, fmt.Sprintf("%s %s %v %s", r.Method, r.URL, r.Header, body))
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, mn.EngineLoad{Running: e.running.Load(), Role: e.state.Role})
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	writeJSON(w, e.state)
}

// settle ends a change whose time has passed. The caller holds e.mu.
func (e *Engine) settle() {
	if e.state.Changing && e.clock.Now() >= e.ready {
		e.state = e.next
	}
}

// changing says whether an order keeps the engine from work.
func (e *Engine) changing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return e.state.Changing
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o mn.EngineOrder
	if !readJSON(w, r, &o) {
		return
	}
	if d := mn.Millis(e.Faults.Get(OrderSlow)); d > 0 {
		_ = e.clock.Sleep(context.WithoutCancel(r.Context()), d)
	}
	if !e.take(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if e.Faults.Consume(OrderLost) {
		drop()
	}
}

// take starts the change that o asks for and says whether o was accepted.
func (e *Engine) take(o mn.EngineOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	if e.Faults.Get(Fencing) != 0 && o.FencingToken < e.state.FencingToken {
		return false
	}
	e.orders = append(e.orders, TimedEngineOrder{o, e.clock.Wall(), e.state.Changing, e.running.Load()})
	e.next = mn.EngineState{Role: o.Role, Model: o.Model, Version: o.Version}
	if e.Faults.Get(Fencing) != 0 {
		e.next.FencingToken = o.FencingToken
		e.state.FencingToken = o.FencingToken
	}
	e.state.Changing = true
	e.ready = e.clock.Now() + mn.Millis(e.Faults.Get(ChangeMillis))
	return true
}
