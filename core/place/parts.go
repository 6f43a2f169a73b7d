package place

import (
	"math"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	mn "mustardnotch"
)

// parts remembers which shared prompt parts an engine has read, the least
// recently used going first, up to the tokens of its memory.
type parts struct {
	used   *simplelru.LRU[string, int64]
	tokens int64
}

func newParts() *parts {
	p := &parts{}
	used, err := simplelru.NewLRU(math.MaxInt, func(_ string, tokens int64) { p.tokens -= tokens })
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	p.used = used
	return p
}

// cached returns how many tokens at the start of the prompt the engine has.
func (p *parts) cached(info *mn.PromptInfo) int64 {
	var n int64
	for _, q := range info.Segments {
		if !p.used.Contains(q.ID) {
			return n
		}
		n += q.Tokens
	}
	return n
}

// read notes that the engine read parts of a prompt.
func (p *parts) read(read []mn.PromptSegment, memory int64) {
	for _, q := range read {
		if _, ok := p.used.Get(q.ID); !ok {
			p.used.Add(q.ID, q.Tokens)
			p.tokens += q.Tokens
		}
	}
	for p.tokens > memory && p.used.Len() > 1 {
		p.used.RemoveOldest()
	}
}

const (
	// readsTold is how long a front remembers a prompt that was read for fronts
	// that it could not tell.
	readsTold = 1000 * mn.Millisecond
	// readsMost bounds what is told at once.
	readsMost = 64
)

// toldRead is a read that the other fronts are to hear of.
type toldRead struct {
	mn.PrefilledPrompt
	number int64
	at     mn.Millis
}

// tell notes that s has the parts of a prompt. The last one is told too: no
// other request has it, but it takes memory from the others.
func (b *Balancer) tell(s *state, info *mn.PromptInfo, memory int64) {
	s.parts.read(info.Segments, memory)
	if len(info.Segments) == 0 || info.Tokens <= shortPrompt {
		return
	}
	b.addRead(mn.PrefilledPrompt{Endpoint: s.ID, Segments: info.Segments})
}

// addRead has the other fronts told of a read.
func (b *Balancer) addRead(r mn.PrefilledPrompt) {
	b.readCount++
	b.reads = append(b.reads, toldRead{r, b.readCount, b.clock.Now()})
}

// readsSince returns the prompts that were read since c, and moves c on.
func (b *Balancer) readsSince(c *Cursor, now mn.Millis) (out []mn.PrefilledPrompt) {
	first := 0
	for first < len(b.reads) && now-b.reads[first].at > readsTold {
		first++
	}
	b.reads = append([]toldRead(nil), b.reads[max(first, len(b.reads)-readsMost):]...)
	for _, r := range b.reads {
		if r.number > c.read {
			out = append(out, r.PrefilledPrompt)
		}
	}
	c.read = b.readCount
	return out
}

// CachedPrompts returns what engines are taken to keep, as far as it is worth fetching or
// placing a prompt by it; the least recently used parts come first.
func (b *Balancer) CachedPrompts() []mn.PrefilledPrompt {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []mn.PrefilledPrompt
	for id, s := range b.endpoints {
		r := mn.PrefilledPrompt{Endpoint: id}
		for _, part := range s.parts.used.Keys() {
			if tokens, _ := s.parts.used.Peek(part); tokens >= fetchLeast {
				r.Segments = append(r.Segments, mn.PromptSegment{ID: part, Tokens: tokens})
			}
		}
		if len(r.Segments) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// AddCachedPrompts takes in what engines keep.
func (b *Balancer) AddCachedPrompts(reads []mn.PrefilledPrompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heardReads(reads)
}

// AddListedSegments takes in the parts that an engine says it keeps, and has the other fronts
// told.
func (b *Balancer) AddListedSegments(id mn.EndpointID, listed []mn.PromptSegment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed = slices.DeleteFunc(listed, func(p mn.PromptSegment) bool { return p.Tokens < fetchLeast })
	if len(listed) == 0 {
		return
	}
	r := mn.PrefilledPrompt{Endpoint: id, Segments: listed}
	b.addRead(r)
	b.heardReads([]mn.PrefilledPrompt{r})
	b.announce()
}

// heardReads takes in the reads of another front.
func (b *Balancer) heardReads(reads []mn.PrefilledPrompt) {
	for _, r := range reads {
		if s := b.endpoints[r.Endpoint]; s != nil {
			s.parts.read(r.Segments, b.engines[s.Pool].KVTokens)
		}
	}
}
