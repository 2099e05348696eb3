// Package hasher hashes the prefixes of a prompt at the block boundaries at which engines cache them, and estimates
// token counts.
package hasher

import (
	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
)

// BytesPerToken is the typical size of a token of text in a European language in UTF-8; the system has no tokenizer.
const BytesPerToken = 4

// CountTokens estimates the number of tokens of a text. A text that is not empty has at least one.
func CountTokens(text string) identifier.Tokens {
	return identifier.Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// HashPrefixes returns a hash for each complete block of the prompt, the shortest prefix first. Each hash covers the
// model and all text up to the end of its block, so that equal hashes mean equal prefixes.
func HashPrefixes(model identifier.ModelName, text string) []identifier.PrefixHash {
	const blockBytes = int(identifier.BlockTokens) * BytesPerToken
	count := len(text) / blockBytes
	if count == 0 {
		return nil
	}
	hashes := make([]identifier.PrefixHash, 0, count)
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model))
	_, _ = digest.Write([]byte{0})
	for i := range count {
		_, _ = digest.WriteString(text[i*blockBytes : (i+1)*blockBytes])
		hashes = append(hashes, identifier.PrefixHash(digest.Sum64()))
	}
	return hashes
}
