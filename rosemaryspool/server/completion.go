package server

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"rosemaryspool.example/core/classifier"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/rosemaryspool/dispatcher"
)

// defaultMaxOutput limits the answer of a class that sets no limit, in tokens.
const defaultMaxOutput identifier.Tokens = 4096

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// textRequest is the body of POST /v1/completions.
type textRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// generationRequest is a decoded model request in either format.
type generationRequest struct {
	model     identifier.ModelName
	prompt    string
	maxOutput identifier.Tokens
	stream    bool
	format    responseFormat
}

func (s *Server) completeChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body chatRequest
	if refusal := s.decodeBody(w, r, &body); refusal != nil {
		s.replyRefusal(w, r, refusal)
		return
	}
	prompt, refusal := flattenMessages(body.Messages)
	if refusal != nil {
		s.replyRefusal(w, r, refusal)
		return
	}
	limit := body.MaxTokens
	if body.MaxCompletionTokens > 0 {
		limit = body.MaxCompletionTokens
	}
	s.generate(w, r, generationRequest{
		model:     identifier.ModelName(body.Model),
		prompt:    prompt,
		maxOutput: identifier.Tokens(limit),
		stream:    body.Stream,
		format:    chatFormat{},
	})
}

func (s *Server) completeText(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body textRequest
	if refusal := s.decodeBody(w, r, &body); refusal != nil {
		s.replyRefusal(w, r, refusal)
		return
	}
	s.generate(w, r, generationRequest{
		model:     identifier.ModelName(body.Model),
		prompt:    body.Prompt,
		maxOutput: identifier.Tokens(body.MaxTokens),
		stream:    body.Stream,
		format:    textFormat{},
	})
}

// flattenMessages joins chat messages into one prompt. It keeps their order, so that conversations with the same first
// messages share a prompt prefix.
func flattenMessages(messages []chatMessage) (string, *refuser.Refusal) {
	var prompt strings.Builder
	for _, m := range messages {
		content, ok := messageText(m.Content)
		if !ok {
			return "", refuser.NewRefusal(refuser.BadRequest, refuser.NotRun, "message content must be text")
		}
		prompt.WriteString(m.Role)
		prompt.WriteString(": ")
		prompt.WriteString(content)
		prompt.WriteByte('\n')
	}
	return prompt.String(), nil
}

// messageText decodes the content of a message: a string, or a list of parts of type text. It returns false for any
// other content.
func messageText(content json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(content, &parts) != nil {
		return "", false
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		text += p.Text
	}
	return text, true
}

// generate submits the request to the dispatcher and sends the answer, complete or as a stream.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, g generationRequest) {
	request, refusal := s.classify(r, g)
	if refusal != nil {
		s.replyRefusal(w, r, refusal)
		return
	}
	exchange := s.dispatcher.Submit(request)
	if g.stream {
		s.streamResponse(w, r, g, exchange)
		return
	}
	s.sendResponse(w, r, g, request, exchange)
}

// classify validates the request and assigns the class, and with it the priority, the deadline and the output limit.
func (s *Server) classify(r *http.Request, g generationRequest) (dispatcher.ModelRequest, *refuser.Refusal) {
	arrived := time.Now()
	configuration := s.configuration.Load()
	if configuration == nil {
		return dispatcher.ModelRequest{}, noConfiguration()
	}
	if g.prompt == "" {
		return dispatcher.ModelRequest{}, refuser.NewRefusal(refuser.BadRequest, refuser.NotRun, "the prompt is empty")
	}
	if g.maxOutput < 0 {
		return dispatcher.ModelRequest{}, refuser.NewRefusal(refuser.BadRequest, refuser.NotRun, "max_tokens is negative")
	}
	headers := readHeaders(r)
	class, refusal := configuration.ClassifyPrompt(headers, g.model)
	if refusal != nil {
		return dispatcher.ModelRequest{}, refusal
	}
	return dispatcher.ModelRequest{
		ID:             requestID(r),
		Caller:         headers.Caller,
		Class:          class.Name,
		Model:          class.Model,
		Priority:       class.Priority,
		Urgent:         class.Urgent,
		Arrived:        arrived,
		Deadline:       arrived.Add(class.Deadline),
		Prompt:         g.prompt,
		MaxOutput:      outputLimit(class, g.maxOutput),
		ExpectedOutput: class.ExpectedOutput,
	}, nil
}

// outputLimit returns the smaller of the caller's and the class's limits; a limit of zero is unset.
func outputLimit(class *configurer.Class, requested identifier.Tokens) identifier.Tokens {
	limit := class.MaxOutput
	if limit == 0 {
		limit = defaultMaxOutput
	}
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}

func readHeaders(r *http.Request) classifier.Headers {
	return classifier.Headers{
		Caller: identifier.CallerID(r.Header.Get(HeaderCaller)),
		Class:  identifier.ClassName(r.Header.Get(HeaderClass)),
	}
}

// noConfiguration returns the refusal of requests that arrive before the first configuration is in force.
func noConfiguration() *refuser.Refusal {
	refusal := refuser.NewRefusal(refuser.NoConfiguration, refuser.NotRun, "no configuration is in force yet")
	refusal.RetryAfterMS = 1000
	return refusal
}

// sendResponse waits for the complete answer and sends it in one response body.
func (s *Server) sendResponse(
	w http.ResponseWriter, r *http.Request, g generationRequest, request dispatcher.ModelRequest,
	exchange *dispatcher.Exchange,
) {
	progress, err := exchange.Wait(r.Context())
	if err != nil {
		s.dispatcher.Cancel(exchange.RequestID)
		if s.isStopped() {
			s.replyRefusal(w, r, newUnfinishedRefusal())
		}
		return
	}
	if progress.Refusal != nil {
		s.replyRefusal(w, r, progress.Refusal)
		return
	}
	prompt := hasher.CountTokens(request.Prompt)
	s.replyJSON(w, http.StatusOK, g.format.response(request, string(progress.Text), prompt, progress.Finish))
}
