package batcher

import (
	"container/list"

	"rosemaryspool.example/core/identifier"
)

// maxBufferedEvents is the number of unread cache events kept; older ones are discarded, which leaves a gap in the
// sequence numbers.
const maxBufferedEvents = 4096

// cache is the prefix cache: it holds prefix blocks and evicts the least recently used. lru lists the blocks with the
// most recently used at the front; pending is the event of the current step.
type cache struct {
	capacity int
	lru      *list.List
	blocks   map[identifier.PrefixHash]*list.Element
	pending  CacheEvent
	events   []CacheEvent
	sequence uint64
}

// newCache returns an empty cache with a capacity in blocks.
func newCache(blocks int) *cache {
	return &cache{capacity: blocks, lru: list.New(), blocks: make(map[identifier.PrefixHash]*list.Element, blocks)}
}

// lookup returns how many leading blocks of a prompt are cached.
func (c *cache) lookup(prefix []identifier.PrefixHash) int {
	for i, h := range prefix {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(prefix)
}

// markUsed moves the cached blocks of a prefix to the front, the shortest prefix foremost: longer prefixes, which are
// useless without it, are evicted first.
func (c *cache) markUsed(prefix []identifier.PrefixHash) {
	for i := len(prefix) - 1; i >= 0; i-- {
		if e, ok := c.blocks[prefix[i]]; ok {
			c.lru.MoveToFront(e)
		}
	}
}

// store adds one block and evicts the least recently used ones while the cache exceeds its capacity.
func (c *cache) store(hash identifier.PrefixHash) {
	if c.capacity <= 0 {
		return
	}
	if e, ok := c.blocks[hash]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.pending.Stored = append(c.pending.Stored, hash)
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		evicted := c.lru.Remove(oldest).(identifier.PrefixHash)
		delete(c.blocks, evicted)
		c.pending.Evicted = append(c.pending.Evicted, evicted)
	}
}

// clear removes every block and emits an event with Cleared set. The event of the current step is discarded.
func (c *cache) clear() {
	c.lru.Init()
	clear(c.blocks)
	c.pending = CacheEvent{Cleared: true}
	c.flush()
}

// flush numbers the event of the current step and appends it to the unread ones; an empty event is skipped.
func (c *cache) flush() {
	if !c.pending.Cleared && len(c.pending.Stored) == 0 && len(c.pending.Evicted) == 0 {
		return
	}
	c.sequence++
	c.pending.Sequence = c.sequence
	c.events = append(c.events, c.pending)
	if len(c.events) > maxBufferedEvents {
		c.events = c.events[len(c.events)-maxBufferedEvents:]
	}
	c.pending = CacheEvent{}
}

// takeEvents returns and removes the unread events.
func (c *cache) takeEvents() []CacheEvent {
	events := c.events
	c.events = nil
	return events
}
