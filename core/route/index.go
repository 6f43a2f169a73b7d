package route

import (
	"container/list"
	"fmt"
	"strconv"

	mn "mustardnotch"
)

const (
	// blockBytes is the length of a prompt block in bytes.
	blockBytes = 256
	// BlockTokens is the number of tokens that one block counts for.
	BlockTokens = 64
	// maxBlocks is the maximum number of blocks of one prompt. The rest of a
	// longer prompt is ignored.
	maxBlocks = 256
	// maxLocationsPerBlock is the maximum number of agents stored for one block.
	maxLocationsPerBlock = 4
)

// Block identifies a prefix of a prompt that ends at a block boundary. It is the
// hash of all bytes of the prefix.
type Block uint64

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Blocks returns the prefixes of prompt that end at a block boundary, in order
// of length. A partial block at the end is left out.
func Blocks(prompt string) []Block {
	n := min(len(prompt)/blockBytes, maxBlocks)
	blocks := make([]Block, 0, n)
	h := uint64(fnvOffset)
	for i := range n * blockBytes {
		h = (h ^ uint64(prompt[i])) * fnvPrime
		if (i+1)%blockBytes == 0 {
			blocks = append(blocks, Block(h))
		}
	}
	return blocks
}

// String returns the hash in hexadecimal, as in cache events.
func (b Block) String() string { return strconv.FormatUint(uint64(b), 16) }

// ParseBlock parses the output of [Block.String].
func ParseBlock(s string) (Block, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("prefix %q: want up to 16 hexadecimal digits", s)
	}
	return Block(n), nil
}

// index maps blocks to the agents that likely have them in their cache. It holds
// at most limit blocks and evicts the least recently used.
type index struct {
	limit  int
	blocks map[Block]*list.Element
	lru    *list.List // of *blockEntry, most recently used first
}

// blockEntry holds the locations of one block, oldest first.
type blockEntry struct {
	block     Block
	locations []location
}

// location is an agent that likely has a block in its cache.
type location struct {
	vm mn.VMID
	// epoch is the agent's epoch when the location was added.
	epoch int
}

func newIndex(limit int) *index {
	return &index{limit: limit, blocks: make(map[Block]*list.Element), lru: list.New()}
}

func (x *index) add(b Block, l location) {
	e, ok := x.blocks[b]
	if !ok {
		e = x.lru.PushFront(&blockEntry{block: b})
		x.blocks[b] = e
		x.evict()
	}
	x.lru.MoveToFront(e)
	v := e.Value.(*blockEntry)
	v.remove(l.vm)
	if len(v.locations) == maxLocationsPerBlock {
		v.locations = v.locations[1:]
	}
	v.locations = append(v.locations, l)
}

func (x *index) remove(b Block, vm mn.VMID) {
	e, ok := x.blocks[b]
	if !ok {
		return
	}
	v := e.Value.(*blockEntry)
	v.remove(vm)
	if len(v.locations) == 0 {
		x.lru.Remove(e)
		delete(x.blocks, b)
	}
}

func (x *index) evict() {
	for len(x.blocks) > x.limit {
		last := x.lru.Back()
		x.lru.Remove(last)
		delete(x.blocks, last.Value.(*blockEntry).block)
	}
}

func (v *blockEntry) remove(vm mn.VMID) {
	for i, l := range v.locations {
		if l.vm == vm {
			v.locations = append(v.locations[:i:i], v.locations[i+1:]...)
			return
		}
	}
}

// cachedTokens returns, by agent, the number of tokens at the start of the prompt
// with these blocks that the agent likely has in its cache. A location added
// before a gap in the agent's cache events counts half, because an eviction may
// have been missed. One of an earlier process on the agent's VM doesn't count.
func (x *index) cachedTokens(blocks []Block, agents map[mn.VMID]*agent) map[mn.VMID]float64 {
	tokens := make(map[mn.VMID]float64)
	for i, b := range blocks {
		e, ok := x.blocks[b]
		if !ok {
			break
		}
		x.lru.MoveToFront(e)
		prefix := float64(i+1) * BlockTokens
		for _, l := range e.Value.(*blockEntry).locations {
			a, ok := agents[l.vm]
			switch {
			case !ok || l.epoch < a.firstEpoch:
			case l.epoch < a.epoch:
				tokens[l.vm] = max(tokens[l.vm], prefix/2)
			default:
				tokens[l.vm] = prefix
			}
		}
	}
	return tokens
}
