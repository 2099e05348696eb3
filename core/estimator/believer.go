package estimator

import "rosemaryspool.example/core/identifier"

// maxPieces bounds the pieces believed to be in one engine's cache.
const maxPieces = 1024

// belief is a least-recently-used set of prefix pieces that an engine is believed to hold.
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
	return &prefixCache{limit: maxPieces, nodes: make(map[identifier.PrefixHash]*cacheNode)}
}

// setCapacity bounds the belief by the engine's own cache size.
func (b *prefixCache) setCapacity(tokens identifier.Tokens) {
	if tokens <= 0 {
		return
	}
	b.limit = min(maxPieces, max(1, int(tokens/identifier.PieceTokens)))
	b.trim()
}

// cached returns the length of the longest believed prefix. Hashes are cumulative, so that a search by halves works.
func (b *prefixCache) cached(prefix []identifier.PrefixHash) identifier.Tokens {
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high + 1) / 2
		if b.nodes[prefix[middle-1]] != nil {
			low = middle
			continue
		}
		high = middle - 1
	}
	return identifier.Tokens(low) * identifier.PieceTokens
}

func (b *prefixCache) add(prefix []identifier.PrefixHash) {
	for _, h := range prefix {
		n := b.nodes[h]
		if n != nil {
			b.unlink(n)
		} else {
			n = &cacheNode{hash: h}
			b.nodes[h] = n
		}
		b.link(n)
	}
	b.trim()
}

func (b *prefixCache) remove(prefix []identifier.PrefixHash) {
	for _, h := range prefix {
		n := b.nodes[h]
		if n == nil {
			continue
		}
		b.unlink(n)
		delete(b.nodes, h)
	}
}

func (b *prefixCache) clear() {
	clear(b.nodes)
	b.newest, b.oldest = nil, nil
}

func (b *prefixCache) trim() {
	for len(b.nodes) > b.limit {
		n := b.oldest
		b.unlink(n)
		delete(b.nodes, n.hash)
	}
}

func (b *prefixCache) link(n *cacheNode) {
	n.older = b.newest
	n.newer = nil
	if b.newest != nil {
		b.newest.newer = n
	}
	b.newest = n
	if b.oldest == nil {
		b.oldest = n
	}
}

func (b *prefixCache) unlink(n *cacheNode) {
	if n.newer != nil {
		n.newer.older = n.older
	} else {
		b.newest = n.older
	}
	if n.older != nil {
		n.older.newer = n.newer
	} else {
		b.oldest = n.newer
	}
	n.newer, n.older = nil, nil
}
