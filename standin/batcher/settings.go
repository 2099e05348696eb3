// Package batcher simulates a model engine with continuous batching, chunked prefill and a prefix cache. The simulation
// is deterministic, does no I/O and reads no clock: its driver passes the time and processes the events.
package batcher

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings describes a simulated engine: its role, speed and limits.
type Settings struct {
	Role  identifier.Role
	Model identifier.ModelName
	// PrefillPerSecond is the prefill speed in uncached prompt tokens a second.
	PrefillPerSecond float64
	// DecodeBase is the part of a decode step that does not depend on the batch size.
	DecodeBase time.Duration
	// DecodePerSequence is the time that each sequence of the batch adds to a decode step.
	DecodePerSequence time.Duration
	// MaxBatch is the number of batch slots: sequences that may be in prefill or decode at the same time.
	MaxBatch int
	// ChunkTokens is the maximum number of prefill tokens in one step.
	ChunkTokens identifier.Tokens
	// CacheTokens is the capacity of the prefix cache; BlockTokens is the size of its blocks.
	CacheTokens identifier.Tokens
	BlockTokens identifier.Tokens
	// KVTransferBase is the fixed time of a KV import; KVTransferPerThousand is added for each 1,000 tokens.
	KVTransferBase        time.Duration
	KVTransferPerThousand time.Duration
	// ExportRetention is how long an exported KV cache is kept for import.
	ExportRetention time.Duration
	// MaxWaiting limits the number of queued sequences with prefill to do; zero means no limit.
	MaxWaiting int
	// TokensPerEvent is the number of tokens between two TokensProduced events of a sequence; the first token always
	// emits an event.
	TokensPerEvent identifier.Tokens
}

// decodeTime returns the duration of one decode step for a batch size.
func (s Settings) decodeTime(batch int) time.Duration {
	return s.DecodeBase + time.Duration(batch)*s.DecodePerSequence
}

// prefillTime returns the duration of the prefill of uncached tokens.
func (s Settings) prefillTime(tokens identifier.Tokens) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillPerSecond * float64(time.Second))
}

// importTime returns the duration of the import of a KV cache.
func (s Settings) importTime(tokens identifier.Tokens) time.Duration {
	return s.KVTransferBase + time.Duration(tokens)*s.KVTransferPerThousand/1000
}
