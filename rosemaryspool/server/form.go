package server

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/dispatcher"
)

// answerForm is the shape of an answer: chat or plain text.
type answerForm interface {
	whole(work dispatcher.ModelRequest, text string, prompt identifier.Tokens, finish dispatcher.Finish) any
	chunk(request identifier.RequestID, text string, finishReason *string) any
}

type chatForm struct{}

type textForm struct{}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	PromptDetails    usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *wholeSpeech `json:"message,omitempty"`
	Delta        *wholeSpeech `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type wholeSpeech struct {
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

func (chatForm) whole(work dispatcher.ModelRequest, text string, prompt identifier.Tokens, finish dispatcher.Finish) any {
	speech := &wholeSpeech{Role: "assistant", Content: text}
	return answer{
		ID:      string(work.ID),
		Object:  "chat.completion",
		Model:   string(work.Model),
		Choices: []choice{{Message: speech, FinishReason: &finish.Reason}},
		Usage:   newUsage(prompt, finish),
	}
}

func (chatForm) chunk(request identifier.RequestID, text string, finishReason *string) any {
	delta := &wholeSpeech{Content: text}
	return answer{
		ID:      string(request),
		Object:  "chat.completion.chunk",
		Choices: []choice{{Delta: delta, FinishReason: finishReason}},
	}
}

func (textForm) whole(work dispatcher.ModelRequest, text string, prompt identifier.Tokens, finish dispatcher.Finish) any {
	return answer{
		ID:      string(work.ID),
		Object:  "text_completion",
		Model:   string(work.Model),
		Choices: []choice{{Text: &text, FinishReason: &finish.Reason}},
		Usage:   newUsage(prompt, finish),
	}
}

func (textForm) chunk(request identifier.RequestID, text string, finishReason *string) any {
	return answer{
		ID:      string(request),
		Object:  "text_completion",
		Choices: []choice{{Text: &text, FinishReason: finishReason}},
	}
}
