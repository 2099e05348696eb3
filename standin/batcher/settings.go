// Package batcher is a deterministic model of a model engine with continuous batching, chunked prefill and a prefix
// cache. It does no I/O and reads no clock: the driver passes the time and carries the events on.
package batcher

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings describes one engine.
type Settings struct {
	Role  identifier.Role
	Model identifier.ModelName
	// PrefillPerSecond is the prefill speed in uncached prompt tokens a second.
	PrefillPerSecond float64
	// DecodeBase is the part of a decode step that does not depend on the batch.
	DecodeBase time.Duration
	// DecodePerSequence is what each sequence of the batch adds to a decode step.
	DecodePerSequence time.Duration
	// MaxBatch is the number of sequences that may hold memory for prefill or decode at once.
	MaxBatch int
	// ChunkTokens is the prefill work that one step takes at most.
	ChunkTokens identifier.Tokens
	// CacheTokens is the capacity of the prefix cache; PieceTokens is the size of its pieces.
	CacheTokens identifier.Tokens
	PieceTokens identifier.Tokens
	// HandoverBase and HandoverPerThousand give the time of a KV import and its part for each 1,000 tokens.
	HandoverBase        time.Duration
	HandoverPerThousand time.Duration
	// ExportKept is how long an exported KV cache waits for its import.
	ExportKept time.Duration
	// MaxWaiting limits the sequences that wait for their prefill; zero sets no limit.
	MaxWaiting int
	// TokensPerEvent is the number of tokens between two TokensProduced events of a sequence; the first is always told.
	TokensPerEvent identifier.Tokens
}

// step returns the time of one decode step for a batch.
func (s Settings) decodeTime(batch int) time.Duration {
	return s.DecodeBase + time.Duration(batch)*s.DecodePerSequence
}

// prefill returns the time to prefill uncached tokens.
func (s Settings) prefillTime(tokens identifier.Tokens) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillPerSecond * float64(time.Second))
}

// handover returns the time to import a KV cache.
func (s Settings) importTime(tokens identifier.Tokens) time.Duration {
	return s.HandoverBase + time.Duration(tokens)*s.HandoverPerThousand/1000
}
