package dispatcher

import (
	"context"
	"errors"
	"time"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// progressStride is how many tokens pass between two progress events of one attempt: estimates need no finer grain.
const progressStride identifier.Tokens = 32

// attempt is one dispatch of a request.
type attempt struct {
	dispatch scheduler.Dispatch
	work     Work
	exchange *Exchange
	cancel   context.CancelFunc

	text     []byte
	tokens   identifier.Tokens
	reported identifier.Tokens
	finish   Finish
}

// runAttempt carries one attempt out and reports how it ended.
func (d *Dispatcher) runAttempt(ctx context.Context, a *attempt) {
	defer a.cancel()
	resume, resumeTokens := a.exchange.resumePoint()
	a.text = []byte(resume)
	a.tokens = resumeTokens
	result, err := d.callEngines(ctx, a, resume, resumeTokens)
	now := time.Now()
	if err != nil {
		a.exchange.release(a.dispatch.Attempt)
		d.post(scheduler.AttemptFailed{
			Now: now, Attempt: a.dispatch.Attempt, Kind: failureKind(err), Output: a.tokens - resumeTokens,
		})
		return
	}
	if !a.exchange.settle(a.dispatch.Attempt, a.text, a.tokens) {
		d.post(scheduler.AttemptFailed{Now: now, Attempt: a.dispatch.Attempt, Kind: scheduler.FailureBroken})
		return
	}
	a.finish = Finish{Reason: result.FinishReason, Output: a.tokens, CachedPrompt: result.CachedPrompt}
	d.post(scheduler.AttemptFinished{
		Now:          now,
		Attempt:      a.dispatch.Attempt,
		Output:       result.Output,
		CachedPrompt: result.CachedPrompt,
		Load:         ConvertReport(result.Load),
	})
}

func (d *Dispatcher) callEngines(
	ctx context.Context, a *attempt, resume string, resumeTokens identifier.Tokens,
) (completer.Result, error) {
	decode, ok := d.resolver.Find(a.dispatch.Decode)
	if !ok || decode.Engine == nil {
		return completer.Result{}, completer.ErrUnreachable
	}
	request := completer.Request{
		Attempt:      a.dispatch.Attempt,
		Model:        a.work.Model,
		Prompt:       a.work.Prompt,
		MaxOutput:    a.work.MaxOutput,
		Priority:     a.dispatch.Priority,
		Resume:       resume,
		ResumeTokens: resumeTokens,
	}
	if a.dispatch.Prefill != a.dispatch.Decode {
		source, err := d.prefill(ctx, a.dispatch.Prefill, request)
		if err != nil {
			return completer.Result{}, err
		}
		request.ImportFrom = source
	}
	return decode.Engine.Complete(ctx, request, func(p completer.Piece) { d.acceptPiece(a, p, resumeTokens) })
}

// prefill runs the prompt on a prefill engine and returns where its KV cache can be imported from.
func (d *Dispatcher) prefill(
	ctx context.Context, id identifier.UpstreamID, request completer.Request,
) (*completer.KVSource, error) {
	prefill, ok := d.resolver.Find(id)
	if !ok || prefill.Engine == nil {
		return nil, completer.ErrUnreachable
	}
	request.ExportKV = true
	if _, err := prefill.Engine.Complete(ctx, request, func(completer.Piece) {}); err != nil {
		return nil, err
	}
	return &completer.KVSource{Address: prefill.Member.Address, Attempt: request.Attempt}, nil
}

func (d *Dispatcher) acceptPiece(a *attempt, piece completer.Piece, resumeTokens identifier.Tokens) {
	a.text = append(a.text, piece.Text...)
	a.tokens += piece.Tokens
	a.exchange.offer(a.dispatch.Attempt, a.text, a.tokens)
	output := a.tokens - resumeTokens
	if a.reported > 0 && output-a.reported < progressStride {
		return
	}
	a.reported = output
	d.post(scheduler.AttemptProgressed{Now: time.Now(), Attempt: a.dispatch.Attempt, Output: output})
}

func failureKind(err error) scheduler.FailureKind {
	switch {
	case errors.Is(err, completer.ErrUnreachable):
		return scheduler.FailureConnect
	case errors.Is(err, completer.ErrRejected):
		return scheduler.FailureRejected
	case errors.Is(err, completer.ErrCrossed):
		return scheduler.FailureCrossed
	default:
		return scheduler.FailureBroken
	}
}
