package batcher

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Sequence describes an attempt that is submitted to an engine.
type Sequence struct {
	Attempt identifier.AttemptID
	Prompt  identifier.Tokens
	// Prefix holds the hashes of the prompt's complete blocks, shortest prefix first.
	Prefix []identifier.PrefixHash
	// Output is the length of the complete answer, including the skipped part. Load reports do not depend on it: in a
	// real engine the length is not known in advance.
	Output identifier.Tokens
	// MaxOutput is the caller's limit; ExpectedOutput is the typical length, zero when unknown.
	MaxOutput      identifier.Tokens
	ExpectedOutput identifier.Tokens
	// SkipOutput is the number of response tokens that already exist; the engine continues after them.
	SkipOutput identifier.Tokens
	Priority   identifier.Priority
	// Export ends the attempt after the first token and keeps the KV cache for another engine.
	Export bool
	// Import means that the KV cache of the prompt and the skipped output is fetched from another engine.
	Import bool
}

// sequence is a submitted Sequence with its progress. cached and prefilled count context tokens; reported is the value
// of produced in the last TokensProduced event.
type sequence struct {
	Sequence
	arrival uint64
	// readyAt is when the KV import is complete; zero for sequences without import.
	readyAt time.Time
	// started is true once the first chunk is in a step and the sequence occupies a batch slot.
	started   bool
	cached    identifier.Tokens
	prefilled identifier.Tokens
	produced  identifier.Tokens
	reported  identifier.Tokens
}

// contextTokens returns the number of tokens whose KV cache the first new token needs.
func (s *sequence) contextTokens() identifier.Tokens { return s.Prompt + s.SkipOutput }

// remainingPrefill returns the number of tokens that still need prefill.
func (s *sequence) remainingPrefill() identifier.Tokens { return s.contextTokens() - s.prefilled }

// complete reports whether the response is complete.
func (s *sequence) complete() bool { return s.SkipOutput+s.produced >= s.Output }

// expectedOutput estimates the remaining output tokens without using the actual length of the response.
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

// before reports whether the sequence is served before another: higher priority first, then earlier arrival.
func (s *sequence) before(other *sequence) bool {
	if s.Priority != other.Priority {
		return s.Priority > other.Priority
	}
	return s.arrival < other.arrival
}
