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

// Faults of the engine in addition to [fakes.CrashToken] and [fakes.TruncateToken].
// In this package, the token numbers of those two do not include the prefix of a
// resumed request.
const (
	// Silent holds back tokens while it is not 0.
	Silent = "silent"
	// SlowPercent is the percentage by which steps take longer.
	SlowPercent = "slow_percent"
)

// tokenBytes is the length in bytes of every token that the engine generates.
const tokenBytes = 6

// Output returns the first n tokens that an engine generates for prompt.
func Output(prompt string, n int64) string {
	var output strings.Builder
	for i := range n {
		output.WriteString(token(prompt, i))
	}
	return output.String()
}

// token returns the output token number i, from 0. It depends only on the length and
// the last 32 bytes of the prompt, which makes it cheap to compute.
func token(prompt string, i int64) string {
	hash := fnv.New32a()
	fmt.Fprint(hash, len(prompt), prompt[max(0, len(prompt)-32):], i)
	return fmt.Sprintf("%05x ", hash.Sum32()&0xfffff)
}

// Generate implements [mn.Engine].
func (e *Engine) Generate(ctx context.Context, generation mn.Generation, emit func(mn.OutputChunk) error) error {
	r, err := e.accept(ctx, generation)
	if err != nil {
		return err
	}
	defer e.cancel(r)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case chunk := <-r.chunks:
			if err := emit(chunk); err != nil || chunk.Last {
				return err
			}
		}
	}
}

// accept imports the KV cache of generation if it has one, and enqueues the
// generation. If the import fails, the engine prefills the prompt.
func (e *Engine) accept(ctx context.Context, generation mn.Generation) (*request, error) {
	r := &request{
		generation:   generation,
		blocks:       route.Blocks(generation.Prompt),
		promptTokens: fakes.PromptTokens(generation.Prompt),
		outputTokens: int64(len(generation.Prefix)) / tokenBytes,
		chunks:       make(chan mn.OutputChunk, max(generation.MaxTokens, 0)+2),
	}
	r.prefillLeft = r.promptTokens + r.outputTokens
	if e.importKV(ctx, generation) {
		r.prefillLeft = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.Changing {
		return nil, &rejection{http.StatusServiceUnavailable, "engine is changing its role or model"}
	}
	if e.state.Role == mn.EnginePrefill && !generation.PrefillOnly || e.state.Role == mn.EngineDecode && generation.PrefillOnly {
		return nil, &rejection{http.StatusConflict, "request does not fit the engine's role " + string(e.state.Role)}
	}
	if r.prefillLeft == 0 {
		e.counters.Imports++
	}
	e.enqueue(r)
	return r, nil
}

// importKV fetches the KV cache that generation names and reports whether it
// succeeded.
func (e *Engine) importKV(ctx context.Context, generation mn.Generation) bool {
	if generation.CacheHandle == "" {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, generation.CacheHandle, nil)
	if err != nil {
		return false
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var tokens int64
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&tokens) != nil {
		return false
	}
	return e.clock.Sleep(ctx, mn.MillisOf((Micros(tokens)*e.params.ImportPerToken).duration())) == nil
}

// cancel marks r as cancelled, so that the engine drops it.
func (e *Engine) cancel(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cancelled = true
}

// rejection is an error that determines the HTTP status of the response.
type rejection struct {
	status  int
	message string
}

// Error implements the error interface.
func (r *rejection) Error() string { return r.message }

// Order implements [mn.Engine]. The engine stops accepting requests, completes those
// that it has, and then changes. [Engine.State] reports when the change is done.
func (e *Engine) Order(_ context.Context, order mn.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.params.Fencing && order.FencingToken < e.state.FencingToken {
		return &rejection{http.StatusConflict, fmt.Sprintf("fencing token %d is older than %d", order.FencingToken, e.state.FencingToken)}
	}
	if e.state.Changing {
		return &rejection{http.StatusServiceUnavailable, "engine is changing its role or model"}
	}
	if e.params.Fencing {
		e.state.FencingToken = order.FencingToken
	}
	if order.Role == e.state.Role && order.Model == e.state.Model && order.Version == e.state.Version {
		return nil
	}
	e.state.Changing = true
	go e.applyOrder(order)
	return nil
}

func (e *Engine) applyOrder(order mn.EngineOrder) {
	ctx := context.Background()
	for e.busy() {
		_ = e.clock.Sleep(ctx, 10*mn.Millisecond)
	}
	e.mu.Lock()
	duration := e.params.RoleChange
	if order.Model != e.state.Model || order.Version != e.state.Version {
		duration = max(duration, e.params.VersionLoad)
	}
	e.mu.Unlock()
	_ = e.clock.Sleep(ctx, duration)
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Role != e.state.Role {
		e.counters.RoleChanges++
	}
	e.state.Role, e.state.Model, e.state.Version = order.Role, order.Model, order.Version
	e.state.Changing = false
}

func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting)+len(e.batch) > 0
}

// Handler returns the engine's HTTP interface, which is that of [fakes.Engine] except
// for its lists below /admin. It also serves GET /kv/{id} for exported KV caches and
// GET /admin/counters.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /fault", e.Faults)
	mux.HandleFunc("POST /generate", e.handleGenerate)
	mux.HandleFunc("POST /order", e.handleOrder)
	mux.HandleFunc("GET /load", jsonHandler(func(r *http.Request) (any, error) { return e.Load(r.Context()) }))
	mux.HandleFunc("GET /state", jsonHandler(func(r *http.Request) (any, error) { return e.State(r.Context()) }))
	mux.HandleFunc("GET /admin/counters", jsonHandler(func(*http.Request) (any, error) { return e.Counters(), nil }))
	mux.HandleFunc("GET /cache_events", jsonHandler(func(r *http.Request) (any, error) {
		after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
		return e.CacheEvents(r.Context(), after)
	}))
	mux.HandleFunc("GET /kv/{id}", jsonHandler(func(r *http.Request) (any, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		id := r.PathValue("id")
		tokens, ok := e.exports[id]
		if !ok {
			return nil, &rejection{http.StatusNotFound, fmt.Sprintf("KV cache %q was not exported or has been evicted", id)}
		}
		return tokens, nil
	}))
	return mux
}

func jsonHandler(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := f(r)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	if r, ok := err.(*rejection); ok {
		status = r.status
	}
	http.Error(w, err.Error(), status)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order mn.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Order(r.Context(), order); err != nil {
		writeError(w, err)
	}
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var generation mn.Generation
	if err := json.NewDecoder(r.Body).Decode(&generation); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(generation.Prompt, fakes.PoisonPrompt) {
		os.Exit(3)
	}
	crashAt, truncateAt := e.Faults.GetAndClear(fakes.CrashToken), e.Faults.GetAndClear(fakes.TruncateToken)
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	var outputTokens int64
	err := e.Generate(r.Context(), generation, func(chunk mn.OutputChunk) error {
		outputTokens += chunk.Tokens
		switch {
		case crashAt > 0 && outputTokens >= crashAt:
			os.Exit(3)
		case truncateAt > 0 && outputTokens >= truncateAt:
			panic(http.ErrAbortHandler)
		}
		for e.Faults.Get(Silent) != 0 {
			if err := e.clock.Sleep(r.Context(), 20*mn.Millisecond); err != nil {
				return err
			}
		}
		if err := encoder.Encode(chunk); err != nil {
			return err
		}
		return controller.Flush()
	})
	if err != nil && outputTokens == 0 {
		writeError(w, err)
	}
}
