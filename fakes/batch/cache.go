package batch

import (
	"container/list"
	"math/rand/v2"

	mn "mustardnotch"
	"mustardnotch/core/route"
)

// maxCacheEvents bounds the cache events kept for readers.
const maxCacheEvents = 4096

// cache is a prefix cache of prompt blocks that drops the least recently used.
type cache struct {
	maxBlocks int64
	eventLoss float64
	blocks    map[route.Block]*list.Element
	lru       *list.List
	events    []timedEvent
	sequence  int64
	random    *rand.Rand
}

// timedEvent is a cache event and the instant it happened.
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

// cachedPrefix returns how many of the first blocks are cached.
func (c *cache) cachedPrefix(blocks []route.Block) int64 {
	for i, b := range blocks {
		e, ok := c.blocks[b]
		if !ok {
			return int64(i)
		}
		c.lru.MoveToFront(e)
	}
	return int64(len(blocks))
}

func (c *cache) add(blocks []route.Block, now mn.Millis) {
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok {
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.addEvent(b, false, now)
	}
	for int64(len(c.blocks)) > c.maxBlocks {
		last := c.lru.Back()
		b := last.Value.(route.Block)
		c.lru.Remove(last)
		delete(c.blocks, b)
		c.addEvent(b, true, now)
	}
}

// addEvent keeps an event, or only its sequence number if it is to be lost.
func (c *cache) addEvent(b route.Block, evicted bool, now mn.Millis) {
	c.sequence++
	if c.random.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, timedEvent{now, mn.CacheEvent{Sequence: c.sequence, Prefix: b.String(), Evicted: evicted}})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after sequence after that happened before limit.
func (c *cache) since(after int64, latest mn.Millis) []mn.CacheEvent {
	out := []mn.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > after && e.at <= latest {
			out = append(out, e.event)
		}
	}
	return out
}
