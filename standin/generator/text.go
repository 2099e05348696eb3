package generator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/slicer"
)

// lengthDirective at the end of a prompt sets the answer's length in tokens, as in "... answerTokens=12".
const lengthDirective = "answerTokens="

// answer is the whole text that a model gives to one prompt: it depends on nothing else, so that any engine can
// continue it from any token.
type completion struct {
	seed   uint64
	length identifier.Tokens
	// limited is true when the caller's limit cuts the answer.
	cutByLimit bool
}

// newAnswer returns the answer to a prompt; without a directive it is as long as the limit.
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

// text returns the tokens from one position up to another; each is three letters and a space.
func (a completion) text(from, to identifier.Tokens) string {
	const letters = "abcdefghijklmnop"
	var b strings.Builder
	b.Grow(int(to-from) * slicer.BytesPerToken)
	for i := from; i < to; i++ {
		mixed := (a.seed + uint64(i)) * 0x9e3779b97f4a7c15
		b.WriteByte(letters[mixed>>60])
		b.WriteByte(letters[mixed>>56&15])
		b.WriteByte(letters[mixed>>52&15])
		b.WriteByte(' ')
	}
	return b.String()
}
