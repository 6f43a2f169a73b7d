package batch

import (
	"container/list"
	"math/rand/v2"

	mn "mustardnotch"
	"mustardnotch/core/route"
)

// maxEvents bounds the cache events kept for readers.
const maxEvents = 4096

// cache is a prefix cache of prompt blocks that drops the least recently used.
type cache struct {
	limit  int64
	loss   float64
	blocks map[route.Block]*list.Element
	recent *list.List
	events []eventAt
	next   int64
	random *rand.Rand
}

// eventAt is a cache event and the instant it happened.
type eventAt struct {
	at    mn.Millis
	event mn.CacheEvent
}

func newCache(limit int64, loss float64) *cache {
	return &cache{
		limit:  limit,
		loss:   loss,
		blocks: make(map[route.Block]*list.Element),
		recent: list.New(),
		random: rand.New(rand.NewPCG(1, 2)),
	}
}

// hit returns how many of the first blocks are cached.
func (c *cache) hit(blocks []route.Block) int64 {
	for i, b := range blocks {
		e, ok := c.blocks[b]
		if !ok {
			return int64(i)
		}
		c.recent.MoveToFront(e)
	}
	return int64(len(blocks))
}

func (c *cache) add(blocks []route.Block, now mn.Millis) {
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok {
			continue
		}
		c.blocks[b] = c.recent.PushFront(b)
		c.tell(b, false, now)
	}
	for int64(len(c.blocks)) > c.limit {
		last := c.recent.Back()
		b := last.Value.(route.Block)
		c.recent.Remove(last)
		delete(c.blocks, b)
		c.tell(b, true, now)
	}
}

// tell keeps an event, or only its sequence number if it is to be lost.
func (c *cache) tell(b route.Block, evicted bool, now mn.Millis) {
	c.next++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, eventAt{now, mn.CacheEvent{Sequence: c.next, Prefix: b.String(), Evicted: evicted}})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after sequence after that happened before limit.
func (c *cache) since(after int64, limit mn.Millis) []mn.CacheEvent {
	out := []mn.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > after && e.at <= limit {
			out = append(out, e.event)
		}
	}
	return out
}
