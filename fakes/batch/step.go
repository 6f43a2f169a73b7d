package batch

import (
	"sort"
	"time"

	mn "mustardnotch"
	"mustardnotch/core/route"
)

// request is one generation in the engine.
type request struct {
	g       mn.Generation
	blocks  []route.Block
	prompt  int64 // tokens still to prefill
	chunk   int64 // of those, in the present step
	cached  int64
	total   int64 // tokens of the prompt
	made    int64 // output tokens made so far, with those of the prefix
	pieces  chan mn.OutputChunk
	gone    bool
	decodes bool // adds a token in the present step
}

// plan begins a step and returns how long it takes, 0 if there is no work.
func (e *Engine) plan() Micros {
	e.admit()
	if len(e.batch) == 0 {
		return 0
	}
	took := e.costs.Step
	left := e.costs.ChunkTokens
	for _, r := range e.batch {
		r.decodes = r.prompt == 0
		if r.decodes {
			took += e.costs.Decode
			continue
		}
		r.chunk = min(r.prompt, left)
		left -= r.chunk
		took += Micros(r.chunk) * e.costs.Prefill
	}
	return took
}

// admit fills the batch from those waiting.
func (e *Engine) admit() {
	for len(e.batch) < e.costs.MaxBatch && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if r.gone {
			continue
		}
		if r.prompt > 0 {
			r.cached = min(e.cache.hit(r.blocks)*route.BlockTokens, r.prompt-1)
			r.prompt -= r.cached
		}
		e.batch = append(e.batch, r)
	}
}

// finish ends a step: it hands out tokens and drops requests that are done.
func (e *Engine) finish() {
	rest := e.batch[:0]
	for _, r := range e.batch {
		if r.chunk > 0 {
			e.counters.PrefillTokens += r.chunk
			r.prompt -= r.chunk
			r.chunk = 0
			r.decodes = r.prompt == 0
			if r.decodes {
				e.counters.CachedTokens += r.cached
				e.cache.add(r.blocks, e.clock.Now())
			}
		}
		if !r.gone && (!r.decodes || !e.emit(r)) {
			rest = append(rest, r)
		}
	}
	e.batch = rest
}

// emit hands out r's next token and says whether r is done.
func (e *Engine) emit(r *request) bool {
	last := mn.OutputChunk{PromptTokens: r.total, CachedTokens: r.cached, Last: true}
	if r.g.PrefillOnly {
		last.CacheHandle = e.export(r)
		r.pieces <- last
		return true
	}
	if r.made < r.g.MaxTokens {
		r.pieces <- mn.OutputChunk{Text: token(r.g.Prompt, r.made), Tokens: 1}
		r.made++
		e.counters.OutputTokens++
	}
	if r.made < r.g.MaxTokens {
		return false
	}
	r.pieces <- last
	return true
}

// enqueue puts r in line behind those of its priority.
func (e *Engine) enqueue(r *request) {
	i := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].g.Priority < r.g.Priority })
	e.waiting = append(e.waiting[:i:i], append([]*request{r}, e.waiting[i:]...)...)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// maxExports bounds the KV caches kept for import elsewhere.
const maxExports = 1024

func (e *Engine) export(r *request) string {
	id := string(r.g.ID)
	e.exports[id] = r.total
	e.exported = append(e.exported, id)
	if len(e.exported) > maxExports {
		delete(e.exports, e.exported[0])
		e.exported = e.exported[1:]
	}
	return e.base + "/kv/" + id
}

func (m Micros) duration() time.Duration { return time.Duration(m) * time.Microsecond }
