package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// Headers of the daemon's API for callers.
const (
	headerClass  = "X-Rosemaryspool-Class"
	headerCaller = "X-Rosemaryspool-Caller"
)

const (
	completionPath = "/v1/chat/completions"
	endMark        = "[DONE]"
	maxEventBytes  = 1 << 20
	maxErrorBytes  = 64 << 10
)

// chatRequest is the body of a streamed chat completion.
type chatRequest struct {
	Model     identifier.ModelName `json:"model"`
	Messages  []chatMessage        `json:"messages"`
	MaxTokens identifier.Tokens    `json:"max_tokens"`
	Stream    bool                 `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatEvent is one server-sent event of an answer, or the body of a refusal.
type chatEvent struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		FinishReason *string     `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code refuser.Code `json:"code"`
	} `json:"error"`
}

// send sends one request to the first reachable target and reads its answer to the end.
func send(ctx context.Context, targets []*requester.Client, a Arrival, due time.Time) sample {
	s := sample{class: a.Class, outcome: outcomeFailed}
	body, err := json.Marshal(chatRequest{
		Model:     a.Model,
		Messages:  []chatMessage{{Role: "user", Content: a.Prompt}},
		MaxTokens: a.MaxOutput,
		Stream:    true,
	})
	if err != nil {
		return s
	}
	header := http.Header{}
	header.Set(headerClass, string(a.Class))
	header.Set(headerCaller, string(a.Caller))
	response, err := open(ctx, targets, body, header)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return decodeRefusal(s, response.Body)
	}
	return readAnswer(s, response.Body, a, due)
}

// open tries the targets in order until one accepts the connection.
func open(ctx context.Context, targets []*requester.Client, body []byte, header http.Header) (*http.Response, error) {
	err := requester.ErrUnreachable
	for _, t := range targets {
		var response *http.Response
		response, err = t.Open(ctx, http.MethodPost, completionPath, body, header)
		if !errors.Is(err, requester.ErrUnreachable) {
			return response, err
		}
	}
	return nil, err
}

// decodeRefusal reads the result code of a refusal; a response without one counts as failed.
func decodeRefusal(s sample, body io.Reader) sample {
	content, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	var event chatEvent
	if json.Unmarshal(content, &event) != nil || event.Error == nil {
		return s
	}
	s.outcome, s.code = outcomeRefused, event.Error.Code
	return s
}

// readAnswer reads a streamed answer. It is complete only with a finish reason and the end mark.
func readAnswer(s sample, body io.Reader, a Arrival, due time.Time) sample {
	s.outcome = outcomeBroken
	finished := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == endMark {
			return classifyComplete(s, finished, a, due)
		}
		var event chatEvent
		if json.Unmarshal(data, &event) != nil {
			return s
		}
		if event.Error != nil {
			s.code = event.Error.Code
			return s
		}
		for _, c := range event.Choices {
			if s.firstToken == 0 && c.Delta.Content != "" {
				s.firstToken = time.Since(due)
			}
			finished = finished || c.FinishReason != nil
		}
	}
	return s
}

// classifyComplete sets the outcome of an answer that ended with the end mark. Without a finish reason it stays broken.
func classifyComplete(s sample, finished bool, a Arrival, due time.Time) sample {
	if !finished {
		return s
	}
	s.total = time.Since(due)
	s.outcome = outcomeGood
	if s.total > a.Deadline {
		s.outcome = outcomeLate
	}
	return s
}
