package batcher

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Sequence is one attempt at an engine.
type Sequence struct {
	Attempt identifier.AttemptID
	Prompt  identifier.Tokens
	// Prefix holds the hashes of the prompt's whole pieces, shortest prefix first.
	Prefix []identifier.PrefixHash
	// Output is the length of the whole answer that the model will produce, with the skipped part; the engine does not
	// let its load report depend on it.
	Output identifier.Tokens
	// MaxOutput is the caller's limit; ExpectedOutput is the usual length, zero when unknown.
	MaxOutput      identifier.Tokens
	ExpectedOutput identifier.Tokens
	// SkipOutput is how many tokens of the answer exist already; the engine continues after them.
	SkipOutput identifier.Tokens
	Priority   identifier.Priority
	// Export asks for a stop after the first token, with the KV cache kept for another engine.
	Export bool
	// Import says that the KV cache of the prompt and the skipped output comes from another engine.
	Import bool
}

// sequence is a Sequence with its progress.
type sequence struct {
	Sequence
	arrival uint64
	// ready is when the KV import ends; zero for sequences with a prefill of their own.
	readyAt time.Time
	// started is true once the first chunk is in a step and the sequence holds memory.
	started   bool
	cached    identifier.Tokens
	prefilled identifier.Tokens
	produced  identifier.Tokens
	reported  identifier.Tokens
}

// context returns the tokens whose KV cache the first new token needs.
func (s *sequence) contextTokens() identifier.Tokens { return s.Prompt + s.SkipOutput }

// unfilled returns the tokens that still need prefill.
func (s *sequence) remainingPrefill() identifier.Tokens { return s.contextTokens() - s.prefilled }

// done reports whether the answer is whole.
func (s *sequence) complete() bool { return s.SkipOutput+s.produced >= s.Output }

// pending estimates the output tokens to come, without knowing the answer's length.
func (s *sequence) expectedOutput() identifier.Tokens {
	if s.Export {
		return 1
	}
	expected := s.ExpectedOutput
	if expected == 0 {
		expected = s.MaxOutput
	}
	return max(expected-s.SkipOutput-s.produced, 1)
}

// before tells whether the sequence is served before another: higher priority first, then earlier arrival.
func (s *sequence) before(other *sequence) bool {
	if s.Priority != other.Priority {
		return s.Priority > other.Priority
	}
	return s.arrival < other.arrival
}
