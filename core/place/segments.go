package place

import (
	"math"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	mn "mustardnotch"
)

// segmentCache estimates which prompt segments an engine has in its KV cache: an LRU
// cache that is bounded by the tokens that fit into the engine's memory, and by the
// memory that the front has for its entries.
type segmentCache struct {
	lru *simplelru.LRU[string, int64]
	// tokens is the sum of the segments' tokens, and memory what the entries take in bytes.
	tokens, memory int64
}

// entryMemory is what an entry of a segmentCache takes beside its id, in bytes.
const entryMemory = 256

func memoryOf(segment string) int64 { return entryMemory + int64(len(segment)) }

func newSegmentCache() *segmentCache {
	c := &segmentCache{}
	lru, err := simplelru.NewLRU(math.MaxInt, func(segment string, tokens int64) {
		c.tokens -= tokens
		c.memory -= memoryOf(segment)
	})
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	c.lru = lru
	return c
}

// cachedTokens returns how many tokens from the start of the prompt are cached. A
// segment counts only if all segments in front of it are cached too.
func (c *segmentCache) cachedTokens(info *mn.PromptInfo) int64 {
	var n int64
	for _, s := range info.Segments {
		if !c.lru.Contains(s.ID) {
			return n
		}
		n += s.Tokens
	}
	return n
}

// add adds segments and evicts the least recently used ones beyond capacity, which
// is in tokens, and beyond maxMemory bytes. One segment always stays.
func (c *segmentCache) add(segments []mn.PromptSegment, capacity, maxMemory int64) {
	for _, s := range segments {
		if _, ok := c.lru.Get(s.ID); !ok {
			c.lru.Add(s.ID, s.Tokens)
			c.tokens += s.Tokens
			c.memory += memoryOf(s.ID)
		}
	}
	for (c.tokens > capacity || c.memory > maxMemory) && c.lru.Len() > 1 {
		c.lru.RemoveOldest()
	}
}

const (
	// prefillReportTTL is how long a front keeps the report of a prefilled prompt
	// for peer fronts that it could not reach.
	prefillReportTTL = 1000 * mn.Millisecond
	// maxPrefillReports bounds the reports that are kept and sent at once.
	maxPrefillReports = 64
)

// prefillReport is a prefilled prompt to be reported to peer fronts.
type prefillReport struct {
	mn.PrefilledPrompt
	sequence int64
	addedAt  mn.Millis
}

// recordPrefill records that s has the segments of a prompt cached, and reports long
// prompts to peer fronts. The last segment is reported too: no other request shares
// it, but it takes cache capacity from other segments.
func (b *Balancer) recordPrefill(s *endpointState, p *Plan, capacity int64) {
	s.cache.add(p.prompt.Segments, capacity, b.cacheMemory)
	if len(p.prompt.Segments) == 0 || !p.Long {
		return
	}
	b.reportPrefill(mn.PrefilledPrompt{Endpoint: s.ID, Segments: p.prompt.Segments})
}

// reportPrefill queues a prefilled prompt for peer fronts.
func (b *Balancer) reportPrefill(p mn.PrefilledPrompt) {
	b.lastPrefillReport++
	b.prefillReports = append(b.prefillReports, prefillReport{p, b.lastPrefillReport, b.clock.Now()})
}

// prefillsSince returns the prompts that were prefilled since c, and advances c. It first
// drops expired reports and the oldest of more than maxPrefillReports.
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

// CachedPrompts returns the segments that engines are assumed to have cached and that
// are long enough to be worth fetching, least recently used first.
func (b *Balancer) CachedPrompts() []mn.PrefilledPrompt {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []mn.PrefilledPrompt
	for id, s := range b.endpoints {
		p := mn.PrefilledPrompt{Endpoint: id}
		for _, segment := range s.cache.lru.Keys() {
			if tokens, _ := s.cache.lru.Peek(segment); b.worthFetching(s, tokens) {
				p.Segments = append(p.Segments, mn.PromptSegment{ID: segment, Tokens: tokens})
			}
		}
		if len(p.Segments) > 0 {
			out = append(out, p)
		}
	}
	return out
}

// AddCachedPrompts adds prompts that engines have cached, as far as a peer front knows.
func (b *Balancer) AddCachedPrompts(prompts []mn.PrefilledPrompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addCachedPrompts(prompts)
	for _, p := range prompts {
		if s := b.endpoints[p.Endpoint]; s != nil {
			s.cacheListed = true
		}
	}
}

// AddListedSegments adds the segments that an engine lists as cached, and reports
// them to peer fronts at once. It ignores segments that are too short to be worth
// fetching, and reuses the slice.
func (b *Balancer) AddListedSegments(id mn.EndpointID, listed []mn.PromptSegment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoints[id]
	if e == nil {
		return
	}
	e.cacheListed = true
	listed = slices.DeleteFunc(listed, func(s mn.PromptSegment) bool { return !b.worthFetching(e, s.Tokens) })
	if len(listed) == 0 {
		return
	}
	p := mn.PrefilledPrompt{Endpoint: id, Segments: listed}
	b.reportPrefill(p)
	b.addCachedPrompts([]mn.PrefilledPrompt{p})
	b.requestUrgentUpdate()
}

// worthFetching reports whether s saves work by keeping a segment.
func (b *Balancer) worthFetching(s *endpointState, tokens int64) bool {
	e := b.engines[s.Pool]
	return e == nil || e.savedWork(tokens) >= minSavedWork
}

func (b *Balancer) addCachedPrompts(prompts []mn.PrefilledPrompt) {
	for _, p := range prompts {
		s := b.endpoints[p.Endpoint]
		if s == nil {
			continue
		}
		capacity := int64(math.MaxInt64) // until the pool is known
		if e := b.engines[s.Pool]; e != nil {
			capacity = e.spec.KVTokens
		}
		s.cache.add(p.Segments, capacity, b.cacheMemory)
	}
}
