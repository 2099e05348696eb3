package generator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/encoding/protojson"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/slicer"
	"rosemaryspool.example/standin/replier"
	"rosemaryspool.example/wire/messenger"
)

// maxPromptBytes bounds the body of one completion.
const maxPromptBytes = 16 << 20

// crossedSuffix makes another attempt's id for the switch that crosses answers.
const wrongIDSuffix = "-crossed"

// Handler returns the engine's HTTP interface with its fault switches.
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

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body completer.WireRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&body); err != nil {
		replier.Fail(w, http.StatusBadRequest, err)
		return
	}
	request := decodeRequest(identifier.AttemptID(r.Header.Get(completer.HeaderAttempt)), body)
	a, err := e.startAttempt(r.Context(), request)
	if err != nil {
		e.sendStartError(w, err)
		return
	}
	s := newEventStream(w, a)
	reached, err := a.stream(r.Context(), s.sendText)
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
		s.sendEnd(reached, e.freshReport())
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

// refuse answers an attempt that did not begin, with the load so that the sender learns why.
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

// eventStream writes one answer as server-sent events.
type eventStream struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	attempt *attempt
	id      identifier.AttemptID
}

// newEventStream prepares the header, which goes out with the first event; the switch that crosses answers gives it another attempt's id.
func newEventStream(w http.ResponseWriter, a *attempt) *eventStream {
	s := &eventStream{writer: w, flusher: http.NewResponseController(w), attempt: a, id: a.request.Attempt}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(completer.HeaderAttempt, string(s.id))
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

func (s *eventStream) sendEnd(reached progress, load *messenger.EngineReport) {
	report, _ := protojson.Marshal(load)
	s.write(completer.WireChunk{
		Choices: []completer.WireChoice{{FinishReason: &reached.reason}},
		Usage: &completer.WireUsage{
			PromptTokens:     slicer.CountTokens(s.attempt.request.Prompt),
			CompletionTokens: reached.output,
			Details:          &completer.WireDetails{CachedTokens: reached.cached},
		},
		Report: report,
	})
	_, _ = s.writer.Write([]byte("data: " + completer.EndMark + "\n\n"))
	_ = s.flusher.Flush()
}

func (s *eventStream) send(chunk completer.WireChunk) {
	s.write(chunk)
	_ = s.flusher.Flush()
}

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
