package server

import (
	"encoding/json"
	"net/http"
	"strconv"

	"rosemaryspool.example/core/refuser"
)

// httpStatuses maps result codes to HTTP statuses. Codes without an entry get status 503.
var httpStatuses = map[refuser.Code]int{
	refuser.BadRequest:          http.StatusBadRequest,
	refuser.BodyTooLarge:        http.StatusRequestEntityTooLarge,
	refuser.UnknownClass:        http.StatusBadRequest,
	refuser.UnknownModel:        http.StatusNotFound,
	refuser.MissingCaller:       http.StatusUnauthorized,
	refuser.MissingKey:          http.StatusBadRequest,
	refuser.BadIssueTime:        http.StatusBadRequest,
	refuser.UnknownService:      http.StatusNotFound,
	refuser.UnknownCaller:       http.StatusForbidden,
	refuser.DeadlineUnreachable: http.StatusServiceUnavailable,
	refuser.CallerOverLimit:     http.StatusTooManyRequests,
	refuser.UpstreamFailed:      http.StatusBadGateway,
	refuser.DeadlineExceeded:    http.StatusGatewayTimeout,
	refuser.AnswerIncomplete:    http.StatusBadGateway,
	refuser.UpstreamRejected:    http.StatusBadGateway,
	refuser.KeyTooOld:           http.StatusGone,
	refuser.KeyReused:           http.StatusUnprocessableEntity,
	refuser.KeyRunning:          http.StatusConflict,
	refuser.KeyOutcomeUnknown:   http.StatusConflict,
}

// errorBody is the body of every error response and of the error event that ends a failed stream.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         int    `json:"code"`
	Effect       string `json:"effect"`
	RequestID    string `json:"requestId,omitempty"`
	RetryAfterMS int    `json:"retryAfterMs,omitempty"`
}

func newErrorBody(r *http.Request, refusal *refuser.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message:      refusal.Message,
		Type:         refusal.Code.String(),
		Code:         int(refusal.Code),
		Effect:       refusal.Effect.String(),
		RequestID:    string(requestID(r)),
		RetryAfterMS: refusal.RetryAfterMS,
	}}
}

func (s *Server) replyRefusal(w http.ResponseWriter, r *http.Request, refusal *refuser.Refusal) {
	status, ok := httpStatuses[refusal.Code]
	switch {
	case ok:
	case refusal.Code == refuser.ShuttingDown && refusal.Effect != refuser.NotRun:
		// 503 says that the request may be sent again.
		status = http.StatusBadGateway
	default:
		status = http.StatusServiceUnavailable
	}
	if refusal.RetryAfterMS > 0 {
		seconds := (refusal.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	s.replyJSON(w, status, newErrorBody(r, refusal))
}

func (s *Server) replyJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		s.log.Error().Str("event", "replyFailed").Err(err).Msg("Failed to encode a response")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(append(encoded, '\n')); err != nil {
		s.log.Debug().Str("event", "replyBroken").Err(err).Msg("Failed to send a response to the caller")
	}
}

func (s *Server) replyNotFound(w http.ResponseWriter, r *http.Request) {
	refusal := refuser.NewRefusal(refuser.BadRequest, refuser.NotRun, "no such path: "+r.URL.Path)
	s.replyJSON(w, http.StatusNotFound, newErrorBody(r, refusal))
}

func (s *Server) replyMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	refusal := refuser.NewRefusal(refuser.BadRequest, refuser.NotRun, r.Method+" is not supported on "+r.URL.Path)
	s.replyJSON(w, http.StatusMethodNotAllowed, newErrorBody(r, refusal))
}
