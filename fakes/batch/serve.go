package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"strconv"
	"strings"

	mn "mustardnotch"
	"mustardnotch/core/route"
	"mustardnotch/fakes"
)

// Faults of the engine, besides those of [fakes.Engine] for crash and cut.
const (
	// Silent keeps tokens back while it is not 0.
	Silent = "silent"
	// SlowPercent makes steps longer by that many percent.
	SlowPercent = "slow_percent"
)

// tokenBytes is the length of every token that the engine makes.
const tokenBytes = 6

// Output returns the first n tokens that an engine generates for prompt.
func Output(prompt string, n int64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(prompt, i))
	}
	return b.String()
}

// token depends on the prompt's length and end, so that it is cheap to make.
func token(prompt string, i int64) string {
	h := fnv.New32a()
	fmt.Fprint(h, len(prompt), prompt[max(0, len(prompt)-32):], i)
	return fmt.Sprintf("%05x ", h.Sum32()&0xfffff)
}

// Generate implements [mn.Engine].
func (e *Engine) Generate(ctx context.Context, g mn.Generation, emit func(mn.OutputChunk) error) error {
	r, err := e.accept(ctx, g)
	if err != nil {
		return err
	}
	defer e.leave(r)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-r.pieces:
			if err := emit(p); err != nil || p.Last {
				return err
			}
		}
	}
}

// accept puts g in line, after the import of its KV cache if it has one.
func (e *Engine) accept(ctx context.Context, g mn.Generation) (*request, error) {
	r := &request{
		g:      g,
		blocks: route.Blocks(g.Prompt),
		total:  fakes.PromptTokens(g.Prompt),
		made:   int64(len(g.Prefix)) / tokenBytes,
		pieces: make(chan mn.OutputChunk, max(g.MaxTokens, 0)+2),
	}
	r.prompt = r.total + r.made
	if e.importKV(ctx, g) {
		r.prompt = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Changing {
		return nil, &refusal{http.StatusServiceUnavailable, "the engine is changing"}
	}
	if e.state.Role == mn.EnginePrefill && !g.PrefillOnly || e.state.Role == mn.EngineDecode && g.PrefillOnly {
		return nil, &refusal{http.StatusConflict, "the engine's role is " + string(e.state.Role)}
	}
	if r.prompt == 0 {
		e.counters.Imports++
	}
	e.enqueue(r)
	return r, nil
}

// importKV fetches the KV cache that g names, and says whether it got it.
func (e *Engine) importKV(ctx context.Context, g mn.Generation) bool {
	if g.CacheHandle == "" {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.CacheHandle, nil)
	if err != nil {
		return false
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var tokens int64
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&tokens) != nil {
		return false
	}
	return e.clock.Sleep(ctx, mn.MillisOf((Micros(tokens)*e.costs.ImportPerToken).duration())) == nil
}

func (e *Engine) leave(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.gone = true
}

// refusal is an answer with an HTTP status other than 200.
type refusal struct {
	status int
	text   string
}

// Error implements the error interface.
func (r *refusal) Error() string { return r.text }

// Order implements [mn.Engine]: the engine stops taking work, lets requests
// end, and changes; [Engine.State] tells when it is done.
func (e *Engine) Order(_ context.Context, o mn.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.costs.Fencing && o.FencingToken < e.state.FencingToken {
		return &refusal{http.StatusConflict, fmt.Sprintf("fence %d is older than %d", o.FencingToken, e.state.FencingToken)}
	}
	if e.state.Changing {
		return &refusal{http.StatusServiceUnavailable, "the engine is changing"}
	}
	if e.costs.Fencing {
		e.state.FencingToken = o.FencingToken
	}
	if o.Role == e.state.Role && o.Model == e.state.Model && o.Version == e.state.Version {
		return nil
	}
	e.state.Changing = true
	go e.change(o)
	return nil
}

func (e *Engine) change(o mn.EngineOrder) {
	ctx := context.Background()
	for e.busy() {
		_ = e.clock.Sleep(ctx, 10*mn.Millisecond)
	}
	e.mu.Lock()
	span := e.costs.RoleChange
	if o.Model != e.state.Model || o.Version != e.state.Version {
		span = max(span, e.costs.VersionLoad)
	}
	e.mu.Unlock()
	_ = e.clock.Sleep(ctx, span)
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Role != e.state.Role {
		e.counters.RoleChanges++
	}
	e.state.Role, e.state.Model, e.state.Version = o.Role, o.Model, o.Version
	e.state.Changing = false
}

func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting)+len(e.batch) > 0
}

// Handler returns the engine's HTTP interface, as [fakes.Engine] has it, with
// GET /kv/{id} for exports and GET /admin/counters.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /fault", e.Faults)
	mux.HandleFunc("POST /generate", e.handleGenerate)
	mux.HandleFunc("POST /order", e.handleOrder)
	mux.HandleFunc("GET /load", answer(func(r *http.Request) (any, error) { return e.Load(r.Context()) }))
	mux.HandleFunc("GET /state", answer(func(r *http.Request) (any, error) { return e.State(r.Context()) }))
	mux.HandleFunc("GET /admin/counters", answer(func(*http.Request) (any, error) { return e.Counters(), nil }))
	mux.HandleFunc("GET /cache_events", answer(func(r *http.Request) (any, error) {
		after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
		return e.CacheEvents(r.Context(), after)
	}))
	mux.HandleFunc("GET /kv/{id}", answer(func(r *http.Request) (any, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		tokens, ok := e.exports[r.PathValue("id")]
		if !ok {
			return nil, &refusal{http.StatusNotFound, "no such export"}
		}
		return tokens, nil
	}))
	return mux
}

func answer(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := f(r)
		if err != nil {
			fail(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}

func fail(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	if r, ok := err.(*refusal); ok {
		status = r.status
	}
	http.Error(w, err.Error(), status)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o mn.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Order(r.Context(), o); err != nil {
		fail(w, err)
	}
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var g mn.Generation
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(g.Prompt, fakes.PoisonPrompt) {
		os.Exit(3)
	}
	crash, cut := e.Faults.GetAndClear(fakes.CrashToken), e.Faults.GetAndClear(fakes.TruncateToken)
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	var made int64
	err := e.Generate(r.Context(), g, func(p mn.OutputChunk) error {
		made += p.Tokens
		switch {
		case crash > 0 && made >= crash:
			os.Exit(3)
		case cut > 0 && made >= cut:
			panic(http.ErrAbortHandler)
		}
		for e.Faults.Get(Silent) != 0 {
			if err := e.clock.Sleep(r.Context(), 20*mn.Millisecond); err != nil {
				return err
			}
		}
		if err := out.Encode(p); err != nil {
			return err
		}
		return flush.Flush()
	})
	if err != nil && made == 0 {
		fail(w, err)
	}
}
