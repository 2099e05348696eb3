// Package invoker calls plain services, that is, those that are not model engines.
package invoker

import (
	"context"
	"errors"
	"net/http"

	"rosemaryspool.example/core/identifier"
)

// Call is one request to an upstream of a plain service.
type Call struct {
	Attempt     identifier.AttemptID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is forwarded to the service; empty for idempotent calls.
	Key identifier.IdempotencyKey
	// AtMostOnce disables connection reuse, redirects and automatic retries.
	AtMostOnce bool
}

// Response is a service's response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is one upstream of a plain service.
type Service interface {
	// Invoke sends the call and returns the service's response, whatever its status.
	Invoke(ctx context.Context, call Call) (Response, error)
}

// Errors of a call without a complete response.
var (
	// ErrNotSent means that no byte of the call was written: the service did not run it.
	ErrNotSent = errors.New("invoker: call not sent")
	// ErrOutcomeUnknown means that the service may have run the call.
	ErrOutcomeUnknown = errors.New("invoker: call outcome unknown")
)
