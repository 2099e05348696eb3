package generator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/core/identifier"
)

// lengthDirective at the end of a prompt sets the length of the answer in tokens, as in "... answerTokens=12".
const lengthDirective = "answerTokens="

// completion is the complete answer of a model to one prompt. It depends only on the model, the prompt and the limit,
// so that any engine can continue it from any token.
type completion struct {
	seed   uint64
	length identifier.Tokens
	// cutByLimit is true when the caller's limit ends the response.
	cutByLimit bool
}

// newCompletion returns the response to a prompt. It is as long as the limit unless the prompt ends with a directive
// within the limit.
func newCompletion(model identifier.ModelName, prompt string, limit identifier.Tokens) completion {
	a := completion{seed: xxhash.Sum64String(string(model) + "\x00" + prompt), length: limit, cutByLimit: true}
	start := strings.LastIndex(prompt, lengthDirective)
	if start < 0 {
		return a
	}
	wanted, err := strconv.Atoi(strings.TrimSpace(prompt[start+len(lengthDirective):]))
	if err == nil && wanted > 0 && identifier.Tokens(wanted) <= limit {
		a.length = identifier.Tokens(wanted)
		a.cutByLimit = false
	}
	return a
}

// text returns the tokens at the positions from <= i < to; each token is three letters and a space.
func (a completion) text(from, to identifier.Tokens) string {
	const letters = "abcdefghijklmnop"
	var b strings.Builder
	b.Grow(int(to-from) * hasher.BytesPerToken)
	for i := from; i < to; i++ {
		mixed := (a.seed + uint64(i)) * 0x9e3779b97f4a7c15
		b.WriteByte(letters[mixed>>60])
		b.WriteByte(letters[mixed>>56&15])
		b.WriteByte(letters[mixed>>52&15])
		b.WriteByte(' ')
	}
	return b.String()
}
