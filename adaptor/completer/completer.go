// Package completer provides access to the completion API of model engines.
package completer

import (
	"context"
	"errors"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Request describes one attempt to run a completion on an engine.
type Request struct {
	Attempt   identifier.AttemptID
	Model     identifier.ModelName
	Prompt    string
	MaxOutput identifier.Tokens
	Priority  identifier.Priority
	// Resume is the output that earlier attempts produced; the engine continues after it.
	Resume string
	// ResumeTokens is the number of tokens in Resume.
	ResumeTokens identifier.Tokens
	// ExportKV makes the engine stop after prefill and keep the KV cache for import by another engine.
	ExportKV bool
	// ImportFrom is the KV cache that the engine imports instead of running prefill; nil for none.
	ImportFrom *KVSource
}

// KVSource identifies an exported KV cache by the exporting engine's address and attempt.
type KVSource struct {
	Address string
	Attempt identifier.AttemptID
}

// Chunk is a part of the streamed output with its estimated token count.
type Chunk struct {
	Text   string
	Tokens identifier.Tokens
}

// Result is the outcome of a complete response.
type Result struct {
	Output identifier.Tokens
	// CachedPrompt is how many prompt tokens came from the engine's cache; -1 if the engine does not report it.
	CachedPrompt identifier.Tokens
	FinishReason string
	// Report is the engine's report that came with the response; nil when absent.
	Report *messenger.EngineReport
}

// Engine runs completions on one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Complete runs one attempt and calls deliver for each chunk in order. It succeeds only when the end mark of
	// this attempt arrived. Cancelling ctx cancels the attempt at the engine.
	Complete(ctx context.Context, request Request, deliver func(Chunk)) (Result, error)
}

// Errors of an attempt without a complete response.
var (
	// ErrUnreachable means that no connection was made: the engine did not receive the attempt.
	ErrUnreachable = errors.New("completer: engine unreachable")
	// ErrTruncated means that the response ended without its end mark or could not be decoded.
	ErrTruncated = errors.New("completer: response truncated")
	// ErrRejected means that the engine refused the attempt because it is changing its role or model, leaving or full.
	ErrRejected = errors.New("completer: engine rejected the attempt")
	// ErrMismatched means that the response belongs to another attempt.
	ErrMismatched = errors.New("completer: response of another attempt")
	// ErrInvalid means that the engine rejected the request as malformed; any other engine would too.
	ErrInvalid = errors.New("completer: engine rejected the request as invalid")
)
