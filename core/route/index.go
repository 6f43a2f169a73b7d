package route

import (
	"container/list"
	"fmt"
	"strconv"

	mn "mustardnotch"
)

const (
	// blockBytes is the length of the prompt blocks whose hashes name prefixes.
	blockBytes = 256
	// BlockTokens is how many tokens one block counts for.
	BlockTokens = 64
	// maxBlocks bounds the blocks of one prompt that are looked at.
	maxBlocks = 256
	// holdersPerBlock bounds the agents remembered for one block.
	holdersPerBlock = 4
)

// Block names a prefix of a prompt that ends at a block boundary: a hash of
// all bytes up to there.
type Block uint64

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Blocks returns the names of the whole blocks of prompt, in order.
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

// String returns the block's name in hexadecimal, as cache events carry it.
func (b Block) String() string { return strconv.FormatUint(uint64(b), 16) }

// ParseBlock reads a block's name as [Block.String] writes it.
func ParseBlock(s string) (Block, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("prefix %q: want up to 16 hexadecimal digits", s)
	}
	return Block(n), nil
}

// index remembers which agents likely hold which blocks in their cache. It
// holds at most limit blocks and forgets the least recently used.
type index struct {
	limit  int
	blocks map[Block]*list.Element
	recent *list.List // of *holding, most recent first
}

// holding is what the index knows of one block.
type holding struct {
	block   Block
	holders []holder
}

// holder is an agent that likely holds a block.
type holder struct {
	vm mn.VMID
	// epoch is the agent's epoch when the claim was made.
	epoch int
}

func newIndex(limit int) *index {
	return &index{limit: limit, blocks: make(map[Block]*list.Element), recent: list.New()}
}

func (x *index) add(b Block, h holder) {
	e, ok := x.blocks[b]
	if !ok {
		e = x.recent.PushFront(&holding{block: b})
		x.blocks[b] = e
		x.trim()
	}
	x.recent.MoveToFront(e)
	v := e.Value.(*holding)
	v.drop(h.vm)
	if len(v.holders) == holdersPerBlock {
		v.holders = v.holders[1:]
	}
	v.holders = append(v.holders, h)
}

func (x *index) remove(b Block, vm mn.VMID) {
	e, ok := x.blocks[b]
	if !ok {
		return
	}
	v := e.Value.(*holding)
	v.drop(vm)
	if len(v.holders) == 0 {
		x.recent.Remove(e)
		delete(x.blocks, b)
	}
}

func (x *index) trim() {
	for len(x.blocks) > x.limit {
		last := x.recent.Back()
		x.recent.Remove(last)
		delete(x.blocks, last.Value.(*holding).block)
	}
}

func (v *holding) drop(vm mn.VMID) {
	for i, h := range v.holders {
		if h.vm == vm {
			v.holders = append(v.holders[:i:i], v.holders[i+1:]...)
			return
		}
	}
}

// held returns how many tokens of the prompt with these blocks each agent
// likely holds. A claim made before a gap in the agent's events counts half,
// one made by an earlier process on the agent's VM not at all.
func (x *index) held(blocks []Block, agents map[mn.VMID]*agent) map[mn.VMID]float64 {
	tokens := make(map[mn.VMID]float64)
	for i, b := range blocks {
		e, ok := x.blocks[b]
		if !ok {
			break
		}
		x.recent.MoveToFront(e)
		prefix := float64(i+1) * BlockTokens
		for _, h := range e.Value.(*holding).holders {
			a, ok := agents[h.vm]
			switch {
			case !ok || h.epoch < a.born:
			case h.epoch < a.epoch:
				tokens[h.vm] = max(tokens[h.vm], prefix/2)
			default:
				tokens[h.vm] = prefix
			}
		}
	}
	return tokens
}
