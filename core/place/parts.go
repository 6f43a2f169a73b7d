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
	for _, q := range info.Parts {
		if !p.used.Contains(q.ID) {
			return n
		}
		n += q.Tokens
	}
	return n
}

// read notes that the engine read parts of a prompt.
func (p *parts) read(read []mn.PromptPart, memory int64) {
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
	mn.PromptRead
	number int64
	at     mn.Millis
}

// tell notes that s has the parts of a prompt. The last one is told too: no
// other request has it, but it takes memory from the others.
func (b *Board) tell(s *state, info *mn.PromptInfo, memory int64) {
	s.parts.read(info.Parts, memory)
	if len(info.Parts) == 0 || info.Tokens <= shortPrompt {
		return
	}
	b.addRead(mn.PromptRead{Endpoint: s.ID, Parts: info.Parts})
}

// addRead has the other fronts told of a read.
func (b *Board) addRead(r mn.PromptRead) {
	b.readCount++
	b.reads = append(b.reads, toldRead{r, b.readCount, b.clock.Now()})
}

// readsSince returns the prompts that were read since c, and moves c on.
func (b *Board) readsSince(c *Cursor, now mn.Millis) (out []mn.PromptRead) {
	first := 0
	for first < len(b.reads) && now-b.reads[first].at > readsTold {
		first++
	}
	b.reads = append([]toldRead(nil), b.reads[max(first, len(b.reads)-readsMost):]...)
	for _, r := range b.reads {
		if r.number > c.read {
			out = append(out, r.PromptRead)
		}
	}
	c.read = b.readCount
	return out
}

// Kept returns what engines are taken to keep, as far as it is worth fetching or
// placing a prompt by it; the least recently used parts come first.
func (b *Board) Kept() []mn.PromptRead {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []mn.PromptRead
	for id, s := range b.endpoints {
		r := mn.PromptRead{Endpoint: id}
		for _, part := range s.parts.used.Keys() {
			if tokens, _ := s.parts.used.Peek(part); tokens >= fetchLeast {
				r.Parts = append(r.Parts, mn.PromptPart{ID: part, Tokens: tokens})
			}
		}
		if len(r.Parts) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// Learn takes in what engines keep.
func (b *Board) Learn(reads []mn.PromptRead) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heardReads(reads)
}

// Listed takes in the parts that an engine says it keeps, and has the other fronts
// told.
func (b *Board) Listed(id mn.EndpointID, listed []mn.PromptPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed = slices.DeleteFunc(listed, func(p mn.PromptPart) bool { return p.Tokens < fetchLeast })
	if len(listed) == 0 {
		return
	}
	r := mn.PromptRead{Endpoint: id, Parts: listed}
	b.addRead(r)
	b.heardReads([]mn.PromptRead{r})
	b.announce()
}

// heardReads takes in the reads of another front.
func (b *Board) heardReads(reads []mn.PromptRead) {
	for _, r := range reads {
		if s := b.endpoints[r.Endpoint]; s != nil {
			s.parts.read(r.Parts, b.engines[s.Pool].KVTokens)
		}
	}
}
