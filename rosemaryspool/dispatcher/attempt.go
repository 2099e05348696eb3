package dispatcher

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// progressInterval is the number of output tokens between two progress events of an attempt; the scheduler's estimates
// need no finer resolution.
const progressInterval identifier.Tokens = 32

// maxTokenBytes bounds the text of an answer, for each token of its limit.
const maxTokenBytes = 256

// attempt is one dispatch of a request to a prefill and a decode engine, which may be the same.
type attempt struct {
	dispatch scheduler.Dispatch
	request  ModelRequest
	exchange *Exchange
	cancel   context.CancelFunc
	moved    atomic.Bool

	text         []byte
	tokens       identifier.Tokens
	lastReported identifier.Tokens
	// tooLong is true once the engine has sent more than the request's limit allows.
	tooLong bool
	finish  Finish
}

// move cancels the attempt so that it ends as rejected, which doesn't count as a failure of its engine.
func (a *attempt) move() {
	a.moved.Store(true)
	a.cancel()
}

// runAttempt executes an attempt and reports its end to the scheduler.
func (d *Dispatcher) runAttempt(ctx context.Context, a *attempt) {
	defer a.cancel()
	resume, resumeTokens := a.exchange.resumePoint()
	a.text = []byte(resume)
	a.tokens = resumeTokens
	a.finish.CachedPrompt = -1
	result, err := d.callEngines(ctx, a, resume, resumeTokens)
	if a.tooLong {
		err = completer.ErrTruncated
	}
	now := time.Now()
	if err != nil {
		a.exchange.releaseLead(a.dispatch.Attempt)
		kind := failureKind(err)
		if a.moved.Load() {
			kind = scheduler.FailureRejected
		}
		d.post(scheduler.AttemptFailed{
			Now: now, Attempt: a.dispatch.Attempt, Kind: kind, Output: a.tokens - resumeTokens,
			Load: ConvertReport(result.Report),
		})
		return
	}
	if !a.exchange.commit(a.dispatch.Attempt, a.text, a.tokens) {
		d.post(scheduler.AttemptFailed{Now: now, Attempt: a.dispatch.Attempt, Kind: scheduler.FailureTruncated})
		return
	}
	a.finish = Finish{Reason: result.FinishReason, Output: a.tokens, CachedPrompt: result.CachedPrompt}
	d.post(scheduler.AttemptFinished{
		Now:          now,
		Attempt:      a.dispatch.Attempt,
		Output:       result.Output,
		CachedPrompt: result.CachedPrompt,
		Load:         ConvertReport(result.Report),
	})
}

// callEngines sends the attempt to its engine, or to the prefill engine and then to the decode engine, which imports
// the KV cache.
func (d *Dispatcher) callEngines(
	ctx context.Context, a *attempt, resume string, resumeTokens identifier.Tokens,
) (completer.Result, error) {
	decode, ok := d.resolver.Find(a.dispatch.Decode)
	if !ok || decode.Engine == nil {
		return completer.Result{}, completer.ErrUnreachable
	}
	request := completer.Request{
		Attempt:      a.dispatch.Attempt,
		Model:        a.request.Model,
		Prompt:       a.request.Prompt,
		MaxOutput:    a.request.MaxOutput,
		Priority:     a.dispatch.Priority,
		Resume:       resume,
		ResumeTokens: resumeTokens,
	}
	accept := func(c completer.Chunk) { d.acceptChunk(a, c, resumeTokens) }
	if a.dispatch.Prefill == a.dispatch.Decode {
		return decode.Engine.Complete(ctx, request, accept)
	}
	prefill, ok := d.resolver.Find(a.dispatch.Prefill)
	if !ok || prefill.Engine == nil {
		return completer.Result{}, completer.ErrUnreachable
	}
	request.ExportKV = true
	result, err := prefill.Engine.Complete(ctx, request, accept)
	if err != nil || result.FinishReason != completer.FinishExported {
		// Without an export there is nothing left to decode: the answer is complete after its first token.
		return result, err
	}
	request.ExportKV = false
	request.Resume, request.ResumeTokens = string(a.text), a.tokens
	request.ImportFrom = &completer.KVSource{Address: prefill.Member.Address, Attempt: request.Attempt}
	decoded, err := decode.Engine.Complete(ctx, request, accept)
	decoded.Output += result.Output
	decoded.CachedPrompt = result.CachedPrompt
	return decoded, err
}

// acceptChunk appends streamed text to the answer and reports progress to the scheduler. An engine that streams on beyond the
// request's limit is cut off.
func (d *Dispatcher) acceptChunk(a *attempt, chunk completer.Chunk, resumeTokens identifier.Tokens) {
	if limit := a.request.MaxOutput; limit > 0 && len(a.text)+len(chunk.Text) > int(limit)*maxTokenBytes {
		a.tooLong = true
		a.cancel()
		return
	}
	a.text = append(a.text, chunk.Text...)
	a.tokens += chunk.Tokens
	a.exchange.publish(a.dispatch.Attempt, a.text, a.tokens)
	output := a.tokens - resumeTokens
	if a.lastReported > 0 && output-a.lastReported < progressInterval {
		return
	}
	a.lastReported = output
	d.post(scheduler.AttemptProgressed{Now: time.Now(), Attempt: a.dispatch.Attempt, Output: output})
}

func failureKind(err error) scheduler.FailureKind {
	switch {
	case errors.Is(err, completer.ErrUnreachable):
		return scheduler.FailureConnect
	case errors.Is(err, completer.ErrRejected):
		return scheduler.FailureRejected
	case errors.Is(err, completer.ErrMismatched):
		return scheduler.FailureMismatched
	default:
		return scheduler.FailureTruncated
	}
}
