package place

import (
	"math"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	mn "mustardnotch"
)

// segmentCache remembers which shared prompt parts an engine has read, the least
// recently used going first, up to the tokens of its memory.
type segmentCache struct {
	lru    *simplelru.LRU[string, int64]
	tokens int64
}

func newSegmentCache() *segmentCache {
	p := &segmentCache{}
	used, err := simplelru.NewLRU(math.MaxInt, func(_ string, tokens int64) { p.tokens -= tokens })
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	p.lru = used
	return p
}

// cachedTokens returns how many tokens at the start of the prompt the engine has.
func (p *segmentCache) cachedTokens(info *mn.PromptInfo) int64 {
	var n int64
	for _, q := range info.Segments {
		if !p.lru.Contains(q.ID) {
			return n
		}
		n += q.Tokens
	}
	return n
}

// add notes that the engine read parts of a prompt.
func (p *segmentCache) add(read []mn.PromptSegment, memory int64) {
	for _, q := range read {
		if _, ok := p.lru.Get(q.ID); !ok {
			p.lru.Add(q.ID, q.Tokens)
			p.tokens += q.Tokens
		}
	}
	for p.tokens > memory && p.lru.Len() > 1 {
		p.lru.RemoveOldest()
	}
}

const (
	// prefillReportTTL is how long a front remembers a prompt that was read for fronts
	// that it could not tell.
	prefillReportTTL = 1000 * mn.Millisecond
	// maxPrefillReports bounds what is told at once.
	maxPrefillReports = 64
)

// prefillReport is a read that the other fronts are to hear of.
type prefillReport struct {
	mn.PrefilledPrompt
	sequence int64
	addedAt  mn.Millis
}

// recordPrefill notes that s has the parts of a prompt. The last one is told too: no
// other request has it, but it takes memory from the others.
func (b *Balancer) recordPrefill(s *endpointState, info *mn.PromptInfo, memory int64) {
	s.cache.add(info.Segments, memory)
	if len(info.Segments) == 0 || info.Tokens <= maxShortPrompt {
		return
	}
	b.reportPrefill(mn.PrefilledPrompt{Endpoint: s.ID, Segments: info.Segments})
}

// reportPrefill has the other fronts told of a read.
func (b *Balancer) reportPrefill(r mn.PrefilledPrompt) {
	b.lastPrefillReport++
	b.prefillReports = append(b.prefillReports, prefillReport{r, b.lastPrefillReport, b.clock.Now()})
}

// prefillsSince returns the prompts that were read since c, and moves c on.
func (b *Balancer) prefillsSince(c *Cursor, now mn.Millis) (out []mn.PrefilledPrompt) {
	first := 0
	for first < len(b.prefillReports) && now-b.prefillReports[first].addedAt > prefillReportTTL {
		first++
	}
	b.prefillReports = append([]prefillReport(nil), b.prefillReports[max(first, len(b.prefillReports)-maxPrefillReports):]...)
	for _, r := range b.prefillReports {
		if r.sequence > c.prefillReport {
			out = append(out, r.PrefilledPrompt)
		}
	}
	c.prefillReport = b.lastPrefillReport
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
		for _, part := range s.cache.lru.Keys() {
			if tokens, _ := s.cache.lru.Peek(part); tokens >= minFetchTokens {
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
	b.addCachedPrompts(reads)
}

// AddListedSegments takes in the parts that an engine says it keeps, and has the other fronts
// told.
func (b *Balancer) AddListedSegments(id mn.EndpointID, listed []mn.PromptSegment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed = slices.DeleteFunc(listed, func(p mn.PromptSegment) bool { return p.Tokens < minFetchTokens })
	if len(listed) == 0 {
		return
	}
	r := mn.PrefilledPrompt{Endpoint: id, Segments: listed}
	b.reportPrefill(r)
	b.addCachedPrompts([]mn.PrefilledPrompt{r})
	b.requestUrgentUpdate()
}

// addCachedPrompts takes in the reads of another front.
func (b *Balancer) addCachedPrompts(reads []mn.PrefilledPrompt) {
	for _, r := range reads {
		if s := b.endpoints[r.Endpoint]; s != nil {
			s.cache.add(r.Segments, b.engines[s.Pool].KVTokens)
		}
	}
}
