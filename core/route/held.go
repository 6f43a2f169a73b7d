package route

import (
	"sync"

	mn "mustardnotch"
)

// PrefixIndex remembers which prefixes one engine likely holds in its cache. It is
// safe for concurrent use.
type PrefixIndex struct {
	mu     sync.Mutex
	index  *index
	agents map[mn.VMID]*agent
}

// NewPrefixIndex returns an empty memory of at most limit blocks.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{index: newIndex(limit), agents: map[mn.VMID]*agent{"": {}}}
}

// Add notes that the engine has prefilled prompt.
func (p *PrefixIndex) Add(prompt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range Blocks(prompt) {
		p.index.add(b, location{})
	}
}

// Apply takes in a cache event.
func (p *PrefixIndex) Apply(e CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Evicted {
		p.index.remove(e.Block, "")
		return
	}
	p.index.add(e.Block, location{})
}

// Tokens returns how many tokens at the start of prompt are likely cached.
func (p *PrefixIndex) Tokens(prompt string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.index.cachedTokens(Blocks(prompt), p.agents)[""])
}
