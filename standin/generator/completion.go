package generator

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/slicer"
)

// Complete runs one attempt as if it had come over the network.
func (e *Engine) Complete(ctx context.Context, request completer.Request, deliver func(completer.Chunk)) (completer.Result, error) {
	a, err := e.startAttempt(ctx, request)
	if err != nil {
		return e.startError(err)
	}
	if a.faults.wrongID {
		e.Cancel(request.Attempt)
		return completer.Result{}, eris.Wrap(completer.ErrMismatched, "answer of another attempt")
	}
	reached, err := a.stream(ctx, func(text string) {
		deliver(completer.Chunk{Text: text, Tokens: slicer.CountTokens(text)})
	})
	if err != nil {
		e.Cancel(request.Attempt)
		return completer.Result{}, eris.Wrap(completer.ErrTruncated, err.Error())
	}
	if a.faults.noEndMark {
		return completer.Result{}, eris.Wrap(completer.ErrTruncated, "no end mark")
	}
	return completer.Result{
		Output:       reached.output,
		CachedPrompt: reached.cached,
		FinishReason: reached.reason,
		Report:       e.freshReport(),
	}, nil
}

// refusal maps the reason why an attempt did not begin to the error of the interface.
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

func isInvalid(err error) bool {
	return errors.Is(err, errNoOutputAllowed) || errors.Is(err, errResumeMismatch)
}
