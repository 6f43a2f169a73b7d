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
func (c *PrefixIndex) Add(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range Blocks(prompt) {
		c.index.add(b, holder{})
	}
}

// Apply takes in a cache event.
func (c *PrefixIndex) Apply(e CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Evicted {
		c.index.remove(e.Block, "")
		return
	}
	c.index.add(e.Block, holder{})
}

// Tokens returns how many tokens at the start of prompt are likely cached.
func (c *PrefixIndex) Tokens(prompt string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.index.held(Blocks(prompt), c.agents)[""])
}
