package route

import (
	"sync"

	mn "mustardnotch"
)

// Cached remembers which prefixes one engine likely holds in its cache. It is
// safe for concurrent use.
type Cached struct {
	mu     sync.Mutex
	index  *index
	agents map[mn.VMID]*agent
}

// NewCached returns an empty memory of at most limit blocks.
func NewCached(limit int) *Cached {
	return &Cached{index: newIndex(limit), agents: map[mn.VMID]*agent{"": {}}}
}

// Add notes that the engine has prefilled prompt.
func (c *Cached) Add(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range Blocks(prompt) {
		c.index.add(b, holder{})
	}
}

// Apply takes in a cache event.
func (c *Cached) Apply(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Evicted {
		c.index.remove(e.Block, "")
		return
	}
	c.index.add(e.Block, holder{})
}

// Tokens returns how many tokens at the start of prompt are likely cached.
func (c *Cached) Tokens(prompt string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.index.held(Blocks(prompt), c.agents)[""])
}
