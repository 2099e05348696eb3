package completer

import (
	"encoding/json"

	"rosemaryspool.example/core/identifier"
)

// HeaderAttempt carries the attempt's id to the engine and back.
const HeaderAttempt = "X-Attempt-Id"

// Finish reasons of a completion.
const (
	FinishStop   = "stop"
	FinishLength = "length"
	// FinishExported ends an attempt after prefill: its KV cache waits for import.
	FinishExported = "exported"
)

// EndMark is the last event of a whole answer.
const EndMark = "[DONE]"

// WireRequest is the body of POST /v1/completions; keys beyond the usual interface are in camel case.
type WireRequest struct {
	Model     identifier.ModelName `json:"model"`
	Prompt    string               `json:"prompt"`
	MaxTokens identifier.Tokens    `json:"max_tokens"`
	Stream    bool                 `json:"stream"`
	Priority  identifier.Priority  `json:"priority"`
	Resume    *WireResume          `json:"resume,omitempty"`
	ExportKV  bool                 `json:"exportKv,omitempty"`
	ImportKV  *WireKVSource        `json:"importKv,omitempty"`
}

// WireResume is the answer's beginning, which earlier attempts produced.
type WireResume struct {
	Text   string            `json:"text"`
	Tokens identifier.Tokens `json:"tokens"`
}

// WireKVSource names an exported KV cache by the exporting engine's base URL and attempt.
type WireKVSource struct {
	Address string               `json:"address"`
	Attempt identifier.AttemptID `json:"attempt"`
}

// WireChunk is one event of the answer's stream, or the body of a refusal.
type WireChunk struct {
	ID      identifier.AttemptID `json:"id,omitempty"`
	Object  string               `json:"object,omitempty"`
	Model   identifier.ModelName `json:"model,omitempty"`
	Choices []WireChoice         `json:"choices,omitempty"`
	Usage   *WireUsage           `json:"usage,omitempty"`
	Error   *WireError           `json:"error,omitempty"`
	// Report is an EngineReport in the JSON form of protocol buffers.
	Report json.RawMessage `json:"engineReport,omitempty"`
}

// WireChoice is the only choice of a chunk.
type WireChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// WireUsage counts tokens of a whole answer.
type WireUsage struct {
	PromptTokens     identifier.Tokens `json:"prompt_tokens"`
	CompletionTokens identifier.Tokens `json:"completion_tokens"`
	Details          *WireDetails      `json:"prompt_tokens_details,omitempty"`
}

// WireDetails tells how much of the prompt the engine had cached.
type WireDetails struct {
	CachedTokens identifier.Tokens `json:"cached_tokens"`
}

// WireError explains why the engine does not answer.
type WireError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}
