// Package completer is the adaptor for the work side of model engines.
package completer

import (
	"context"
	"errors"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Request is one attempt at an engine.
type Request struct {
	Attempt   identifier.AttemptID
	Model     identifier.ModelName
	Prompt    string
	MaxOutput identifier.Tokens
	Priority  identifier.Priority
	// Resume is the text that earlier attempts produced; the engine continues after it.
	Resume string
	// ResumeTokens is the number of tokens in Resume.
	ResumeTokens identifier.Tokens
	// ExportKV asks the engine to stop after prefill and keep the KV cache for import by another engine.
	ExportKV bool
	// ImportFrom names the address and attempt whose KV cache the engine imports in place of prefill.
	ImportFrom *KVSource
}

// KVSource names an exported KV cache.
type KVSource struct {
	Address string
	Attempt identifier.AttemptID
}

// Piece is a part of the answer.
type Chunk struct {
	Text   string
	Tokens identifier.Tokens
}

// Result closes a whole answer.
type Result struct {
	Output identifier.Tokens
	// CachedPrompt is how many prompt tokens came from the engine's cache.
	CachedPrompt identifier.Tokens
	FinishReason string
	// Load is the engine's piggybacked report; nil when absent.
	Report *messenger.EngineReport
}

// Engine is the work side of one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Complete runs one attempt and calls deliver for each piece in order. It returns a result only when the end
	// mark of this very attempt arrived. Cancelling ctx cancels the work at the engine.
	Complete(ctx context.Context, request Request, deliver func(Chunk)) (Result, error)
}

// Errors of an attempt that did not end with a whole answer.
var (
	// ErrUnreachable means that no connection was made: the engine did not see the attempt.
	ErrUnreachable = errors.New("completer: engine unreachable")
	// ErrBroken means that the answer ended without its end mark.
	ErrTruncated = errors.New("completer: answer broken off")
	// ErrRejected means that the engine refused the attempt: changing, leaving or full.
	ErrRejected = errors.New("completer: engine rejected the attempt")
	// ErrCrossed means that the answer belongs to another attempt.
	ErrMismatched = errors.New("completer: answer of another attempt")
	// ErrInvalid means that the engine found the request malformed; another engine would too.
	ErrInvalid = errors.New("completer: engine found the request invalid")
)
