package provider

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"

	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/replier"
)

// maxCallBytes bounds the request body of a call.
const maxCallBytes = 1 << 20

// callResponse is the response body of a call.
type callResponse struct {
	Run     int                       `json:"run"`
	Method  string                    `json:"method"`
	Path    string                    `json:"path"`
	Key     identifier.IdempotencyKey `json:"key,omitempty"`
	Attempt identifier.AttemptID      `json:"attempt"`
}

// connectionKey is the context key of a connection's request counter.
type connectionKey struct{}

// CountRequests adds a request counter to the context of a new connection; the CloseKeptAlive fault needs it.
func CountRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(atomic.Int64))
}

// Handler returns the service's HTTP interface: every path except /faults and /counts is a call.
func (s *Service) Handler() http.Handler {
	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.GET("/counts", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		replier.SendValue(w, http.StatusOK, s.Counts())
	})
	s.Switches.Register(router)
	router.NotFound = http.HandlerFunc(s.serveCall)
	return router
}

// serveCall runs a call, or closes the connection without a response where a fault requires it.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	counter, _ := r.Context().Value(connectionKey{}).(*atomic.Int64)
	if counter != nil && counter.Add(1) > 1 && s.Switches.Get().CloseKeptAlive {
		s.countArrival()
		replier.Abort()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		replier.Fail(w, http.StatusBadRequest, err)
		return
	}
	response, err := s.serve(r.Context(), invoker.Call{
		Attempt:     identifier.AttemptID(r.Header.Get(invoker.HeaderAttempt)),
		Method:      r.Method,
		Path:        r.URL.Path,
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
		Key:         identifier.IdempotencyKey(r.Header.Get(invoker.HeaderKey)),
	})
	if err != nil {
		replier.Abort()
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// newResponse returns the response to a call; status zero means 200.
func newResponse(status int, call invoker.Call, run int) (invoker.Response, error) {
	if status == 0 {
		status = http.StatusOK
	}
	body, err := json.Marshal(callResponse{
		Run: run, Method: call.Method, Path: call.Path, Key: call.Key, Attempt: call.Attempt,
	})
	if err != nil {
		return invoker.Response{}, err
	}
	header := http.Header{"Content-Type": {"application/json"}, invoker.HeaderAttempt: {string(call.Attempt)}}
	return invoker.Response{Status: status, Header: header, Body: body}, nil
}
