package estimator

import "rosemaryspool.example/core/identifier"

// maxBlocks limits the prompt blocks that are tracked per engine.
const maxBlocks = 1024

// prefixCache models an engine's prefix cache as a least-recently-used set of prompt blocks.
type prefixCache struct {
	limit    int
	sequence uint64
	nodes    map[identifier.PrefixHash]*cacheNode
	// newest and oldest are the ends of the list by time of use.
	newest, oldest *cacheNode
}

type cacheNode struct {
	hash         identifier.PrefixHash
	newer, older *cacheNode
}

func newPrefixCache() *prefixCache {
	return &prefixCache{limit: maxBlocks, nodes: make(map[identifier.PrefixHash]*cacheNode)}
}

// setCapacity limits the set to the size of the engine's cache, if the engine reports it.
func (c *prefixCache) setCapacity(tokens identifier.Tokens) {
	if tokens <= 0 {
		return
	}
	c.limit = min(maxBlocks, max(1, int(tokens/identifier.BlockTokens)))
	c.trim()
}

// cached returns the length of the longest prefix in the set. The hashes are cumulative, so a binary search finds it.
func (c *prefixCache) cached(prefix []identifier.PrefixHash) identifier.Tokens {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high + 1) / 2
		if c.nodes[prefix[middle-1]] != nil {
			low = middle
			continue
		}
		high = middle - 1
	}
	return identifier.Tokens(low) * identifier.BlockTokens
}

func (c *prefixCache) add(prefix []identifier.PrefixHash) {
	for _, h := range prefix {
		n := c.nodes[h]
		if n != nil {
			c.unlink(n)
		} else {
			n = &cacheNode{hash: h}
			c.nodes[h] = n
		}
		c.link(n)
	}
	c.trim()
}

func (c *prefixCache) remove(prefix []identifier.PrefixHash) {
	for _, h := range prefix {
		n := c.nodes[h]
		if n == nil {
			continue
		}
		c.unlink(n)
		delete(c.nodes, h)
	}
}

func (c *prefixCache) clear() {
	clear(c.nodes)
	c.newest, c.oldest = nil, nil
}

func (c *prefixCache) trim() {
	for len(c.nodes) > c.limit {
		n := c.oldest
		c.unlink(n)
		delete(c.nodes, n.hash)
	}
}

func (c *prefixCache) link(n *cacheNode) {
	n.older = c.newest
	n.newer = nil
	if c.newest != nil {
		c.newest.newer = n
	}
	c.newest = n
	if c.oldest == nil {
		c.oldest = n
	}
}

func (c *prefixCache) unlink(n *cacheNode) {
	if n.newer != nil {
		n.newer.older = n.older
	} else {
		c.newest = n.older
	}
	if n.older != nil {
		n.older.newer = n.newer
	} else {
		c.oldest = n.newer
	}
	n.newer, n.older = nil, nil
}
