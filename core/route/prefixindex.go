package route

import (
	"sync"

	mn "mustardnotch"
)

// PrefixIndex tracks which prompt prefixes one engine likely has in its cache. It
// is safe for concurrent use.
type PrefixIndex struct {
	mu     sync.Mutex
	index  *index
	agents map[mn.VMID]*agent
}

// NewPrefixIndex returns an empty index that holds at most limit blocks.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{index: newIndex(limit), agents: map[mn.VMID]*agent{"": {}}}
}

// Add records that the engine has prefilled prompt.
func (p *PrefixIndex) Add(prompt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range Blocks(prompt) {
		p.index.add(b, location{})
	}
}

// Apply applies a cache event of the engine.
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
