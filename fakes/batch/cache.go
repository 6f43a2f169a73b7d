package batch

import (
	"container/list"
	"math/rand/v2"

	mn "mustardnotch"
	"mustardnotch/core/route"
)

// maxCacheEvents is the maximum number of cache events that are retained for
// [Engine.CacheEvents].
const maxCacheEvents = 4096

// cache is a prefix cache of prompt blocks that evicts the least recently used.
type cache struct {
	maxBlocks int64
	eventLoss float64
	blocks    map[route.Block]*list.Element
	lru       *list.List // most recently used first
	events    []timedEvent
	sequence  int64
	random    *rand.Rand
}

// timedEvent is a cache event and the time at which it happened.
type timedEvent struct {
	at    mn.Millis
	event mn.CacheEvent
}

func newCache(maxBlocks int64, eventLoss float64) *cache {
	return &cache{
		maxBlocks: maxBlocks,
		eventLoss: eventLoss,
		blocks:    make(map[route.Block]*list.Element),
		lru:       list.New(),
		random:    rand.New(rand.NewPCG(1, 2)),
	}
}

// cachedPrefix returns the length in blocks of the longest cached prefix of blocks
// and marks it as recently used.
func (c *cache) cachedPrefix(blocks []route.Block) int64 {
	for i, b := range blocks {
		element, ok := c.blocks[b]
		if !ok {
			return int64(i)
		}
		c.lru.MoveToFront(element)
	}
	return int64(len(blocks))
}

// add adds blocks to the cache and then evicts the least recently used ones that
// exceed maxBlocks.
func (c *cache) add(blocks []route.Block, now mn.Millis) {
	for _, block := range blocks {
		if _, ok := c.blocks[block]; ok {
			continue
		}
		c.blocks[block] = c.lru.PushFront(block)
		c.addEvent(block, false, now)
	}
	for int64(len(c.blocks)) > c.maxBlocks {
		last := c.lru.Back()
		block := last.Value.(route.Block)
		c.lru.Remove(last)
		delete(c.blocks, block)
		c.addEvent(block, true, now)
	}
}

// addEvent records an event. An event that is lost uses up a sequence number.
func (c *cache) addEvent(block route.Block, evicted bool, now mn.Millis) {
	c.sequence++
	if c.random.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, timedEvent{now, mn.CacheEvent{Sequence: c.sequence, Prefix: block.String(), Evicted: evicted}})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// since returns the events with a sequence number above after that happened no
// later than latest.
func (c *cache) since(after int64, latest mn.Millis) []mn.CacheEvent {
	out := []mn.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > after && e.at <= latest {
			out = append(out, e.event)
		}
	}
	return out
}
