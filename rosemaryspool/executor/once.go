package executor

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/wire/messenger"
)

// RunOnce runs a non-idempotent call at most once across all instances: it is sent only after its claim is the first in
// the log.
func (e *Executor) RunOnce(ctx context.Context, call Call) (invoker.Response, *refuser.Refusal) {
	return e.claims.execute(ctx, call, hashCall(call))
}

// hashCall hashes every part of a call that affects its result.
func hashCall(call Call) uint64 {
	digest := xxhash.New()
	for _, part := range []string{string(call.Service.Name), string(call.Class.Name), call.Path, call.ContentType} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}

// dispatchOnce sends a claimed call to one upstream without retries and returns what was found out about its run.
func (e *Executor) dispatchOnce(ctx context.Context, call Call, attempt identifier.AttemptID) dispatchResult {
	target, ok := e.pick(call, nil)
	if !ok {
		return dispatchResult{result: messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN}
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	response, err := e.invoke(ctx, target, call, attempt, true)
	return dispatchResult{
		result:      classifyRun(call, response, err),
		status:      response.Status,
		contentType: response.Header.Get("Content-Type"),
		body:        response.Body,
	}
}

// dispatchResult is the result of a dispatched call: whether it ran, as far as that is known, and the response if there
// is one.
type dispatchResult struct {
	result      messenger.DispatchResult
	status      int
	contentType string
	body        []byte
}

// classifyRun returns whether a call ran. After a server error or a redirect this is unknown, unless the service's
// contract lists the status as not run.
func classifyRun(call Call, response invoker.Response, err error) messenger.DispatchResult {
	switch {
	case errors.Is(err, invoker.ErrNotSent):
		return messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN
	case err != nil:
		return messenger.DispatchResult_DISPATCH_RESULT_UNKNOWN
	case slices.Contains(call.Service.NotRunStatuses, response.Status):
		return messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN
	case response.Status >= http.StatusInternalServerError:
		return messenger.DispatchResult_DISPATCH_RESULT_UNKNOWN
	case response.Status >= http.StatusBadRequest:
		return messenger.DispatchResult_DISPATCH_RESULT_FAILED
	case response.Status >= http.StatusMultipleChoices:
		return messenger.DispatchResult_DISPATCH_RESULT_UNKNOWN
	default:
		return messenger.DispatchResult_DISPATCH_RESULT_DONE
	}
}
