package forwarder

import (
	"context"
	"net/http"
	"time"

	"rosemaryspool.example/adaptor/bounder"
	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
)

const (
	// dropCacheTimeout bounds the call that frees an unused KV cache.
	dropCacheTimeout = time.Second
	// prefillTimeoutBase plus prefillTimeoutFactor times the predicted latency is the timeout of a separate prefill;
	// after it, the decode engine processes the prompt itself.
	prefillTimeoutBase   = 120 * time.Millisecond
	prefillTimeoutFactor = 4
)

// prefill runs the prompt on the placement's prefill engine. It reports whether that produced a KV cache; otherwise the
// decode engine has to process the prompt itself.
func (e *exchange) prefill() bool {
	placement := e.last.placement
	outcome := allocator.OutcomeCancelled
	started := time.Now()
	defer func() {
		e.last.prefillTime = time.Since(started)
		e.forwarder.governor.PrefillEnded(time.Now(), &e.last.placement, outcome)
	}()
	prefiller, listed := e.forwarder.governor.Entry(placement.Prefiller)
	if !listed || prefiller.Service != e.service {
		return false
	}
	ctx, cancel := context.WithTimeout(e.ctx, prefillTimeoutBase+prefillTimeoutFactor*placement.Predicted)
	defer cancel()
	response, err := e.sendTo(ctx, prefiller, platform.Dispatch{Upstream: prefiller.Upstream, PrefillOnly: true})
	refused := err == nil && platform.NotExecuted(response.Status, response.Header)
	e.recordSend(kindPrefill, string(prefiller.Upstream), started, response, refused)
	if refused {
		e.recordRefusal(prefiller.Upstream)
	}
	if err != nil {
		outcome = failureOutcome(e.ctx, err, time.Since(started))
		e.recordUnreached(prefiller, outcome, err)
		e.last.err, e.last.unsent = err, connector.NotSent(err)
		return false
	}
	body, err := bounder.ReadAll(response.Body, maxHandleBytes)
	response.Close(err == nil)
	switch {
	case response.Status != http.StatusOK:
		outcome = rejectedOutcome(response)
		return false
	case err != nil:
		outcome = allocator.OutcomeFailed
		e.last.err = err
		return false
	}
	handle, err := platform.DecodeKVHandle(body)
	if err != nil {
		outcome = allocator.OutcomeFailed
		e.last.err = err
		return false
	}
	outcome = allocator.OutcomeCompleted
	e.prefilled = true
	e.last.cacheHandle = handle
	e.last.cacheSource = platform.KVSource(prefiller.Address, handle)
	return true
}

// dropCache frees the KV cache of a separate prefill that is not going to be used, in the background.
func (e *exchange) dropCache() {
	if e.last.cacheSource == "" {
		return
	}
	prefiller, listed := e.forwarder.governor.Entry(e.last.placement.Prefiller)
	if !listed {
		return
	}
	handle := e.last.cacheHandle
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropCacheTimeout)
		defer cancel()
		response, err := e.forwarder.connector.Exchange(ctx, connector.Request{
			Upstream: prefiller, Method: http.MethodDelete, URI: platform.KVHandlePath(handle),
			Host: prefiller.Address, Header: http.Header{},
			Limit: e.forwarder.governor.ConnectionLimit(e.service),
		})
		if err != nil {
			// The upstream frees the KV cache by itself after its retention time.
			e.forwarder.log.Debug().Err(err).Str("event", "cacheNotDropped").Str("handle", handle).
				Msg("Failed to free an unused KV cache")
			return
		}
		response.Close(false)
	}()
}
