package estimator

import "rosemaryspool.example/core/identifier"

// maxPieces bounds the pieces believed to be in one engine's cache.
const maxPieces = 1024

// belief is a least-recently-used set of prefix pieces that an engine is believed to hold.
type belief struct {
	limit    int
	sequence uint64
	nodes    map[identifier.PrefixHash]*node
	// newest and oldest are the ends of the list by time of use.
	newest, oldest *node
}

type node struct {
	hash         identifier.PrefixHash
	newer, older *node
}

func newBelief() *belief {
	return &belief{limit: maxPieces, nodes: make(map[identifier.PrefixHash]*node)}
}

// setCapacity bounds the belief by the engine's own cache size.
func (b *belief) setCapacity(tokens identifier.Tokens) {
	if tokens <= 0 {
		return
	}
	b.limit = min(maxPieces, max(1, int(tokens/identifier.PieceTokens)))
	b.trim()
}

// cached returns the length of the longest believed prefix. Hashes are cumulative, so that a search by halves works.
func (b *belief) cached(prefix []identifier.PrefixHash) identifier.Tokens {
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

func (b *belief) add(prefix []identifier.PrefixHash) {
	for _, h := range prefix {
		n := b.nodes[h]
		if n != nil {
			b.unlink(n)
		} else {
			n = &node{hash: h}
			b.nodes[h] = n
		}
		b.link(n)
	}
	b.trim()
}

func (b *belief) remove(prefix []identifier.PrefixHash) {
	for _, h := range prefix {
		n := b.nodes[h]
		if n == nil {
			continue
		}
		b.unlink(n)
		delete(b.nodes, h)
	}
}

func (b *belief) clear() {
	clear(b.nodes)
	b.newest, b.oldest = nil, nil
}

func (b *belief) trim() {
	for len(b.nodes) > b.limit {
		n := b.oldest
		b.unlink(n)
		delete(b.nodes, n.hash)
	}
}

func (b *belief) link(n *node) {
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

func (b *belief) unlink(n *node) {
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
