package gossiper

import (
	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
)

// encodeLevels returns the queued prefill of a load by urgency, without the less urgent levels that have none; nil if no
// level has any.
func encodeLevels(l allocator.Load) []uint32 {
	var tokens []uint32
	for i, queued := range l.Levels {
		if queued <= 0 {
			continue
		}
		for len(tokens) < i {
			tokens = append(tokens, 0)
		}
		tokens = append(tokens, uint32(queued))
	}
	return tokens
}

// decodeLevels adds the queued prefill by urgency to a load. Levels that this version doesn't know count as its last one.
func decodeLevels(l allocator.Load, tokens []uint32) allocator.Load {
	for i, queued := range tokens {
		l.Levels[min(i, len(l.Levels)-1)] += identifier.Tokens(queued)
	}
	return l
}
