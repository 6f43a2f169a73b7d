package batch

import (
	"sort"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/route"
)

// request is one generation in the engine.
type request struct {
	generation   mn.Generation
	blocks       []route.Block
	prefillLeft  int64 // tokens still to prefill
	chunkTokens  int64 // tokens that the current step prefills
	cachedTokens int64 // prompt tokens found in the prefix cache
	promptTokens int64
	outputTokens int64 // output tokens generated so far, including the prefix
	chunks       chan mn.OutputChunk
	cancelled    bool
	decoding     bool // generates a token in the current step
}

// beginStep plans a step and returns how long it takes, 0 if there is no work.
func (e *Engine) beginStep() Micros {
	e.fillBatch()
	if len(e.batch) == 0 {
		return 0
	}
	took := e.params.Step
	left := e.params.ChunkTokens
	for _, r := range e.batch {
		r.decoding = r.prefillLeft == 0
		if r.decoding {
			took += e.params.Decode
			continue
		}
		r.chunkTokens = min(r.prefillLeft, left)
		left -= r.chunkTokens
		took += Micros(r.chunkTokens) * e.params.Prefill
	}
	return took
}

// fillBatch fills the batch with waiting requests.
func (e *Engine) fillBatch() {
	for len(e.batch) < e.params.MaxBatch && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if r.cancelled {
			continue
		}
		if r.prefillLeft > 0 {
			r.cachedTokens = min(e.cache.cachedPrefix(r.blocks)*route.BlockTokens, r.prefillLeft-1)
			r.prefillLeft -= r.cachedTokens
		}
		e.batch = append(e.batch, r)
	}
}

// finishStep completes a step: it emits tokens and removes requests that are done
// or cancelled.
func (e *Engine) finishStep() {
	unfinished := e.batch[:0]
	for _, r := range e.batch {
		if r.chunkTokens > 0 {
			e.counters.PrefillTokens += r.chunkTokens
			r.prefillLeft -= r.chunkTokens
			r.chunkTokens = 0
			r.decoding = r.prefillLeft == 0
			if r.decoding {
				e.counters.CachedTokens += r.cachedTokens
				e.cache.add(r.blocks, e.clock.Now())
			}
		}
		if !r.cancelled && (!r.decoding || !e.emitChunk(r)) {
			unfinished = append(unfinished, r)
		}
	}
	e.batch = unfinished
}

// emitChunk emits the next token of r, or the handle of its KV cache if r is
// prefill-only, and reports whether r is done.
func (e *Engine) emitChunk(r *request) bool {
	last := mn.OutputChunk{PromptTokens: r.promptTokens, CachedTokens: r.cachedTokens, Last: true}
	if r.generation.PrefillOnly {
		last.CacheHandle = e.export(r)
		r.chunks <- last
		return true
	}
	if r.outputTokens < r.generation.MaxTokens {
		r.chunks <- mn.OutputChunk{Text: token(r.generation.Prompt, r.outputTokens), Tokens: 1}
		r.outputTokens++
		e.counters.OutputTokens++
	}
	if r.outputTokens < r.generation.MaxTokens {
		return false
	}
	r.chunks <- last
	return true
}

// enqueue queues r behind the waiting requests of the same or a higher priority.
func (e *Engine) enqueue(r *request) {
	i := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].generation.Priority < r.generation.Priority })
	e.waiting = append(e.waiting[:i:i], append([]*request{r}, e.waiting[i:]...)...)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// maxExports is the maximum number of exported KV caches that are retained for other
// engines to import.
const maxExports = 1024

// export retains the KV cache of r and returns its handle. Beyond maxExports it
// evicts the oldest one.
func (e *Engine) export(r *request) string {
	id := string(r.generation.ID)
	e.exports[id] = r.promptTokens
	e.exported = append(e.exported, id)
	if len(e.exported) > maxExports {
		delete(e.exports, e.exported[0])
		e.exported = e.exported[1:]
	}
	return e.baseURL + "/kv/" + id
}

func (m Micros) duration() time.Duration { return time.Duration(m) * time.Microsecond }
