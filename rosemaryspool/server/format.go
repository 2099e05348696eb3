package server

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/dispatcher"
)

// responseFormat builds response bodies: response for a complete answer, chunk for one event of a stream.
type responseFormat interface {
	response(request dispatcher.ModelRequest, text string, prompt identifier.Tokens, finish dispatcher.Finish) any
	chunk(request identifier.RequestID, text string, finishReason *string) any
}

// chatFormat builds the responses of /v1/chat/completions.
type chatFormat struct{}

// textFormat builds the responses of /v1/completions.
type textFormat struct{}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	PromptDetails    usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// response is a complete answer or one chunk of it. A chat answer holds a Message, a chat chunk a Delta, and both forms
// of plain text hold a Text.
type response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func newUsage(prompt identifier.Tokens, finish dispatcher.Finish) *usage {
	return &usage{
		PromptTokens:     int(prompt),
		CompletionTokens: int(finish.Output),
		TotalTokens:      int(prompt + finish.Output),
		PromptDetails:    usageDetails{CachedTokens: int(max(finish.CachedPrompt, 0))},
	}
}

func (chatFormat) response(
	request dispatcher.ModelRequest, text string, prompt identifier.Tokens, finish dispatcher.Finish,
) any {
	message := &responseMessage{Role: "assistant", Content: text}
	return response{
		ID:      string(request.ID),
		Object:  "chat.completion",
		Model:   string(request.Model),
		Choices: []choice{{Message: message, FinishReason: &finish.Reason}},
		Usage:   newUsage(prompt, finish),
	}
}

func (chatFormat) chunk(request identifier.RequestID, text string, finishReason *string) any {
	delta := &responseMessage{Content: text}
	return response{
		ID:      string(request),
		Object:  "chat.completion.chunk",
		Choices: []choice{{Delta: delta, FinishReason: finishReason}},
	}
}

func (textFormat) response(
	request dispatcher.ModelRequest, text string, prompt identifier.Tokens, finish dispatcher.Finish,
) any {
	return response{
		ID:      string(request.ID),
		Object:  "text_completion",
		Model:   string(request.Model),
		Choices: []choice{{Text: &text, FinishReason: &finish.Reason}},
		Usage:   newUsage(prompt, finish),
	}
}

func (textFormat) chunk(request identifier.RequestID, text string, finishReason *string) any {
	return response{
		ID:      string(request),
		Object:  "text_completion",
		Choices: []choice{{Text: &text, FinishReason: finishReason}},
	}
}
