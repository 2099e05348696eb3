// Package invoker is the adaptor for plain services.
package invoker

import (
	"context"
	"errors"
	"net/http"

	"rosemaryspool.example/core/identifier"
)

// Call is one dispatch to a plain service.
type Call struct {
	Attempt     identifier.AttemptID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is passed on to the service; empty for idempotent calls.
	Key identifier.IdempotencyKey
	// Once forbids reused connections, redirects and any automatic repeat.
	AtMostOnce bool
}

// Answer is a service's whole response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is one upstream of a plain service.
type Service interface {
	Invoke(ctx context.Context, call Call) (Response, error)
}

// Errors of a dispatch without a whole response.
var (
	// ErrNotSent means that no byte of the call was written: it was certainly not run.
	ErrNotSent = errors.New("invoker: call not sent")
	// ErrOutcomeUnknown means that the service may have run the call.
	ErrOutcomeUnknown = errors.New("invoker: call outcome unknown")
)
