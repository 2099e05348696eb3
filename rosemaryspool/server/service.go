package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/rosemaryspool/executor"
)

// maxKeyBytes limits the length of an idempotency key, as keys are stored in the log.
const maxKeyBytes = 256

// callService classifies and admits a service call before it runs it.
func (s *Server) callService(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
	arrived := time.Now()
	configuration := s.configuration.Load()
	if configuration == nil {
		s.replyRefusal(w, r, noConfiguration())
		return
	}
	headers := readHeaders(r)
	name := identifier.ServiceName(parameters.ByName("service"))
	class, service, refusal := configuration.ClassifyCall(headers, name)
	if refusal != nil {
		s.replyRefusal(w, r, refusal)
		return
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		s.replyRefusal(w, r, refusal)
		return
	}
	if latest := s.configuration.Load(); latest != configuration {
		// The caller may have sent the end of its call long after this one came into force.
		if class, service, refusal = latest.ClassifyCall(headers, name); refusal != nil {
			s.replyRefusal(w, r, refusal)
			return
		}
	}
	overLimit := s.dispatcher.Admit(scheduler.ServiceCalled{
		Now: arrived, Request: requestID(r), Caller: headers.Caller, Urgent: class.Urgent,
	})
	if overLimit != nil {
		s.replyRefusal(w, r, overLimit)
		return
	}
	call := executor.Call{
		Request:     requestID(r),
		Caller:      headers.Caller,
		Class:       class,
		Service:     service,
		Deadline:    arrived.Add(class.Deadline),
		Path:        parameters.ByName("path"),
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}
	s.runCall(w, r, call)
}

// runCall runs an idempotent call directly, and any other call at most once for its idempotency key.
func (s *Server) runCall(w http.ResponseWriter, r *http.Request, call executor.Call) {
	if call.Class.Idempotent {
		response, refusal := s.executor.RunIdempotent(r.Context(), call)
		s.replyCallResult(w, r, response, refusal)
		return
	}
	if refusal := readKey(r, &call); refusal != nil {
		s.replyRefusal(w, r, refusal)
		return
	}
	response, refusal := s.executor.RunOnce(r.Context(), call)
	s.replyCallResult(w, r, response, refusal)
}

// readKey sets the idempotency key and its issue time of a non-idempotent call from the request headers.
func readKey(r *http.Request, call *executor.Call) *refuser.Refusal {
	key := r.Header.Get(HeaderKey)
	if key == "" || len(key) > maxKeyBytes {
		message := "class " + string(call.Class.Name) + " is not idempotent: " + HeaderKey + " must hold 1 to " +
			strconv.Itoa(maxKeyBytes) + " bytes"
		return refuser.NewRefusal(refuser.MissingKey, refuser.NotRun, message)
	}
	issuedAt, err := time.Parse(time.RFC3339, r.Header.Get(HeaderIssuedAt))
	if err != nil {
		message := HeaderIssuedAt + " must hold the key's issue time, such as 2026-01-31T12:00:00Z"
		return refuser.NewRefusal(refuser.BadIssueTime, refuser.NotRun, message)
	}
	call.Key = identifier.IdempotencyKey(key)
	call.IssuedAt = issuedAt
	return nil
}

func (s *Server) replyCallResult(
	w http.ResponseWriter, r *http.Request, response invoker.Response, refusal *refuser.Refusal,
) {
	if refusal != nil && refusal.Code == refuser.CallerGone && s.isStopped() {
		refusal = newUnfinishedRefusal()
	}
	if refusal != nil {
		s.replyRefusal(w, r, refusal)
		return
	}
	if contentType := response.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(response.Status)
	if _, err := w.Write(response.Body); err != nil {
		s.log.Debug().Str("event", "replyBroken").Err(err).Msg("Failed to send a response to the caller")
	}
}
