package allocator

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rosemaryspool.example/core/identifier"
)

// promptCache models which prompt parts an engine keeps: the least recently used ones are evicted when the engine's
// memory is full. It is exact as long as all requests to the engine are placed by one allocator.
type promptCache struct {
	capacity identifier.Tokens
	used     identifier.Tokens
	parts    *simplelru.LRU[uint64, identifier.Tokens]
}

func newPromptCache(capacity identifier.Tokens) *promptCache {
	c := &promptCache{capacity: capacity}
	// The number of parts is not limited, only that of their tokens. The error is for a size of zero.
	c.parts, _ = simplelru.NewLRU(math.MaxInt, func(_ uint64, tokens identifier.Tokens) { c.used -= tokens })
	return c
}

// cached returns the length of the prompt's prefix that is cached. A part only counts if all parts before it are cached
// too.
func (c *promptCache) cached(prompt []PromptPart) identifier.Tokens {
	tokens := identifier.Tokens(0)
	for _, part := range prompt {
		if !c.parts.Contains(part.Hash) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// contains reports whether a part is cached.
func (c *promptCache) contains(part PromptPart) bool { return c.parts.Contains(part.Hash) }

// use adds the parts of a prompt, or marks them as the most recently used ones.
func (c *promptCache) use(prompt []PromptPart) {
	for _, part := range prompt {
		if _, known := c.parts.Get(part.Hash); !known {
			c.parts.Add(part.Hash, part.Tokens)
			c.used += part.Tokens
		}
	}
	c.evict()
}

// resize changes the size of the engine's memory.
func (c *promptCache) resize(capacity identifier.Tokens) {
	c.capacity = capacity
	c.evict()
}

func (c *promptCache) evict() {
	for c.used > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
