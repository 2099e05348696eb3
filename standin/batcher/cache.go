package batcher

import (
	"container/list"

	"rosemaryspool.example/core/identifier"
)

// maxKeptEvents bounds the cache events that wait for a reader; older ones are lost and leave a gap in the sequence.
const maxBufferedEvents = 4096

// cache holds prefix pieces and evicts the least recently used.
type cache struct {
	capacity int
	lru      *list.List
	pieces   map[identifier.PrefixHash]*list.Element
	pending  CacheEvent
	events   []CacheEvent
	sequence uint64
}

// newCache returns an empty cache that holds a number of pieces.
func newCache(pieces int) *cache {
	return &cache{capacity: pieces, lru: list.New(), pieces: make(map[identifier.PrefixHash]*list.Element, pieces)}
}

// lookup returns how many leading pieces of a prompt are cached.
func (c *cache) lookup(prefix []identifier.PrefixHash) int {
	for i, h := range prefix {
		if _, ok := c.pieces[h]; !ok {
			return i
		}
	}
	return len(prefix)
}

// touch marks leading pieces as just used; the shortest prefix stays the longest.
func (c *cache) markUsed(prefix []identifier.PrefixHash) {
	for i := len(prefix) - 1; i >= 0; i-- {
		if e, ok := c.pieces[prefix[i]]; ok {
			c.lru.MoveToFront(e)
		}
	}
}

// store adds one piece and evicts the least recently used above the capacity.
func (c *cache) store(hash identifier.PrefixHash) {
	if c.capacity <= 0 {
		return
	}
	if e, ok := c.pieces[hash]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.pieces[hash] = c.lru.PushFront(hash)
	c.pending.Stored = append(c.pending.Stored, hash)
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		gone := c.lru.Remove(oldest).(identifier.PrefixHash)
		delete(c.pieces, gone)
		c.pending.Evicted = append(c.pending.Evicted, gone)
	}
}

// clear drops every piece.
func (c *cache) clear() {
	c.lru.Init()
	clear(c.pieces)
	c.pending = CacheEvent{Cleared: true}
	c.flush()
}

// flush closes the event of the current step.
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

// take returns the kept events and forgets them.
func (c *cache) takeEvents() []CacheEvent {
	events := c.events
	c.events = nil
	return events
}
