package generator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/encoding/protojson"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/replier"
	"rosemaryspool.example/wire/messenger"
)

// maxPromptBytes bounds the body of a completion request.
const maxPromptBytes = 16 << 20

// wrongIDSuffix turns an attempt id into a different one for the CrossAnswers fault.
const wrongIDSuffix = "-crossed"

// Handler returns the engine's HTTP interface, including its fault switches and the journal of orders.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/completions", e.serveCompletion)
	router.DELETE("/v1/attempts/:attempt", e.serveCancel)
	router.DELETE("/v1/exports/:attempt", e.serveExport)
	router.GET("/v1/report", e.serveReport)
	router.GET("/v1/cacheEvents", e.serveCacheEvents)
	router.POST("/v1/orders", e.serveOrder)
	router.GET("/journal", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		replier.SendValue(w, http.StatusOK, e.Journal())
	})
	e.Switches.Register(router)
	return router
}

// serveCompletion streams the response of one attempt. Failures other than a drop close the connection.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body completer.WireRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&body); err != nil {
		replier.Fail(w, http.StatusBadRequest, err)
		return
	}
	id := r.Header.Get(completer.HeaderAttempt)
	w.Header().Set(completer.HeaderAttempt, id)
	request := decodeRequest(identifier.AttemptID(id), body)
	a, err := e.startAttempt(r.Context(), request)
	if err != nil {
		e.sendStartError(w, err)
		return
	}
	s := newEventStream(w, a)
	final, err := a.stream(r.Context(), s.sendText)
	if err != nil {
		e.Cancel(request.Attempt)
	}
	if err != nil && !errors.Is(err, errDropped) {
		replier.Abort()
	}
	if err != nil {
		s.sendError(err)
		return
	}
	if !a.faults.noEndMark {
		s.sendEnd(final, e.freshReport())
	}
}

func decodeRequest(attempt identifier.AttemptID, body completer.WireRequest) completer.Request {
	request := completer.Request{
		Attempt:   attempt,
		Model:     body.Model,
		Prompt:    body.Prompt,
		MaxOutput: body.MaxTokens,
		Priority:  body.Priority,
		ExportKV:  body.ExportKV,
	}
	if body.Resume != nil {
		request.Resume = body.Resume.Text
		request.ResumeTokens = body.Resume.Tokens
	}
	if body.ImportKV != nil {
		request.ImportFrom = &completer.KVSource{Address: body.ImportKV.Address, Attempt: body.ImportKV.Attempt}
	}
	return request
}

// sendStartError responds to a request whose attempt did not start. The response includes a load report, so that the
// sender gets the engine's current state. A crashed engine closes the connection instead.
func (e *Engine) sendStartError(w http.ResponseWriter, err error) {
	if errors.Is(err, errCrashed) {
		replier.Abort()
	}
	status, kind := http.StatusServiceUnavailable, "rejected"
	if isInvalid(err) {
		status, kind = http.StatusUnprocessableEntity, "invalid"
	}
	if errors.Is(err, errOtherModel) {
		status = http.StatusNotFound
	}
	report, _ := protojson.Marshal(e.freshReport())
	replier.SendValue(w, status, completer.WireChunk{
		Error:  &completer.WireError{Message: err.Error(), Type: kind},
		Report: report,
	})
}

func (e *Engine) serveCancel(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if !e.Cancel(identifier.AttemptID(params.ByName("attempt"))) {
		replier.Fail(w, http.StatusNotFound, errNotRunning)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

var errNotRunning = errors.New("generator: attempt does not run")

func (e *Engine) serveExport(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	if err := e.ReleaseExport(identifier.AttemptID(params.ByName("attempt"))); err != nil {
		replier.Fail(w, http.StatusNotFound, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	report, err := e.Report(r.Context())
	if err != nil {
		replier.Abort()
	}
	replier.Send(w, http.StatusOK, report)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		replier.Fail(w, http.StatusBadRequest, err)
		return
	}
	events, err := e.CacheEvents(r.Context(), from)
	if err != nil {
		replier.Abort()
	}
	replier.Send(w, http.StatusOK, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order messenger.OrderRequest
	if !replier.Receive(w, r, &order) {
		return
	}
	if e.Switches.Get().Crashed {
		replier.Abort()
	}
	reply := e.handleOrder(&order)
	if e.Switches.Take(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
		replier.Abort()
	}
	status := http.StatusOK
	if !reply.Accepted {
		status = http.StatusConflict
	}
	replier.Send(w, status, reply)
}

// eventStream writes one response as server-sent events.
type eventStream struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	attempt *attempt
	id      identifier.AttemptID
}

// newEventStream sets the response header, which is sent with the first event. With the CrossAnswers fault the events
// carry the id of another attempt.
func newEventStream(w http.ResponseWriter, a *attempt) *eventStream {
	s := &eventStream{writer: w, flusher: http.NewResponseController(w), attempt: a, id: a.request.Attempt}
	w.Header().Set("Content-Type", "text/event-stream")
	if a.faults.wrongID {
		s.id += wrongIDSuffix
	}
	return s
}

func (s *eventStream) sendText(text string) {
	s.send(completer.WireChunk{Choices: []completer.WireChoice{{Text: text}}})
}

func (s *eventStream) sendError(err error) {
	s.send(completer.WireChunk{Error: &completer.WireError{Message: err.Error(), Type: "dropped"}})
}

// sendEnd sends the finish reason, the usage and a load report, followed by the end mark.
func (s *eventStream) sendEnd(final progress, report *messenger.EngineReport) {
	encoded, _ := protojson.Marshal(report)
	s.write(completer.WireChunk{
		Choices: []completer.WireChoice{{FinishReason: &final.reason}},
		Usage: &completer.WireUsage{
			PromptTokens:     hasher.CountTokens(s.attempt.request.Prompt),
			CompletionTokens: final.output,
			Details:          &completer.WireDetails{CachedTokens: final.cached},
		},
		Report: encoded,
	})
	_, _ = s.writer.Write([]byte("data: " + completer.EndMark + "\n\n"))
	_ = s.flusher.Flush()
}

func (s *eventStream) send(chunk completer.WireChunk) {
	s.write(chunk)
	_ = s.flusher.Flush()
}

// write writes one event without flushing it.
func (s *eventStream) write(chunk completer.WireChunk) {
	chunk.ID = s.id
	chunk.Object = "text_completion"
	chunk.Model = s.attempt.request.Model
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	_, _ = s.writer.Write(append(event, "\n\n"...))
}
