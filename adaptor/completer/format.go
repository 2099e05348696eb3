package completer

import (
	"encoding/json"

	"rosemaryspool.example/core/identifier"
)

// HeaderAttempt carries the attempt's ID in the request and is returned in the response.
const HeaderAttempt = "X-Attempt-Id"

// Finish reasons of a completion.
const (
	FinishStop   = "stop"
	FinishLength = "length"
	// FinishExported means that the attempt ended after prefill and its KV cache is available for import.
	FinishExported = "exported"
)

// EndMark is the last event of a complete response.
const EndMark = "[DONE]"

// WireRequest is the body of POST /v1/completions. Keys in camel case extend the usual completions API.
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

// WireResume is the beginning of the output, which earlier attempts produced.
type WireResume struct {
	Text   string            `json:"text"`
	Tokens identifier.Tokens `json:"tokens"`
}

// WireKVSource identifies an exported KV cache by the exporting engine's base URL and attempt.
type WireKVSource struct {
	Address string               `json:"address"`
	Attempt identifier.AttemptID `json:"attempt"`
}

// WireChunk is one event of the response stream, or the body of a rejection.
type WireChunk struct {
	ID      identifier.AttemptID `json:"id,omitempty"`
	Object  string               `json:"object,omitempty"`
	Model   identifier.ModelName `json:"model,omitempty"`
	Choices []WireChoice         `json:"choices,omitempty"`
	Usage   *WireUsage           `json:"usage,omitempty"`
	Error   *WireError           `json:"error,omitempty"`
	// Report is an EngineReport in the protobuf JSON format.
	Report json.RawMessage `json:"engineReport,omitempty"`
}

// WireChoice is the single choice of a chunk: its text and finish reason.
type WireChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// WireUsage holds the token counts of a complete response.
type WireUsage struct {
	PromptTokens     identifier.Tokens `json:"prompt_tokens"`
	CompletionTokens identifier.Tokens `json:"completion_tokens"`
	Details          *WireDetails      `json:"prompt_tokens_details,omitempty"`
}

// WireDetails holds how many prompt tokens the engine had cached.
type WireDetails struct {
	CachedTokens identifier.Tokens `json:"cached_tokens"`
}

// WireError describes why the engine rejected or aborted the attempt.
type WireError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}
