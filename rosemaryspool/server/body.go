package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"rosemaryspool.example/core/refuser"
)

// readBody returns the complete request body within the size and time limits.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refuser.Refusal) {
	control := http.NewResponseController(w)
	// The error is ignored: a writer without deadline support, as in tests, still has the size limit.
	_ = control.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout))
	interrupt := context.AfterFunc(s.stopped, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	interrupt()
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		return nil, refuser.NewRefusal(refuser.BodyTooLarge, refuser.NotRun, message)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && s.isStopped() {
		return nil, newLateRefusal()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		message := fmt.Sprintf("the body did not arrive within %s", s.settings.BodyTimeout)
		return nil, refuser.NewRefusal(refuser.BadRequest, refuser.NotRun, message)
	}
	return nil, refuser.NewRefusal(refuser.BadRequest, refuser.NotRun, "the body could not be read: "+err.Error())
}

// decodeBody decodes a JSON body into target. Unknown fields are ignored, as clients send many optional ones.
func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, target any) *refuser.Refusal {
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return refusal
	}
	if err := json.Unmarshal(body, target); err != nil {
		return refuser.NewRefusal(refuser.BadRequest, refuser.NotRun, "the body is not valid JSON: "+err.Error())
	}
	return nil
}
