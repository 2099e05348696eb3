package generator

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/hasher"
)

// Complete implements completer.Engine in memory, with the same outcomes and faults as over HTTP.
func (e *Engine) Complete(
	ctx context.Context, request completer.Request, deliver func(completer.Chunk),
) (completer.Result, error) {
	a, err := e.startAttempt(ctx, request)
	if err != nil {
		return e.startError(err)
	}
	if a.faults.wrongID {
		e.Cancel(request.Attempt)
		return completer.Result{}, eris.Wrap(completer.ErrMismatched, "response of another attempt")
	}
	final, err := a.stream(ctx, func(text string) {
		deliver(completer.Chunk{Text: text, Tokens: hasher.CountTokens(text)})
	})
	if err != nil {
		e.Cancel(request.Attempt)
		return completer.Result{}, eris.Wrap(completer.ErrTruncated, err.Error())
	}
	if a.faults.noEndMark {
		return completer.Result{}, eris.Wrap(completer.ErrTruncated, "no end mark")
	}
	return completer.Result{
		Output:       final.output,
		CachedPrompt: final.cached,
		FinishReason: final.reason,
		Report:       e.freshReport(),
	}, nil
}

// startError returns the result and error of completer.Engine for an attempt that did not start.
func (e *Engine) startError(err error) (completer.Result, error) {
	if errors.Is(err, errCrashed) {
		return completer.Result{}, eris.Wrap(completer.ErrTruncated, err.Error())
	}
	result := completer.Result{Report: e.freshReport()}
	if isInvalid(err) {
		return result, eris.Wrap(completer.ErrInvalid, err.Error())
	}
	return result, eris.Wrap(completer.ErrRejected, err.Error())
}

// isInvalid reports whether an error means that the request itself is malformed.
func isInvalid(err error) bool {
	return errors.Is(err, errNoOutputAllowed) || errors.Is(err, errResumeMismatch)
}
