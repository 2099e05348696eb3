package generator

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/batcher"
)

var errCancelled = eris.New("generator: attempt cancelled")

// streamFaults are the faults that the switches apply to one response.
type streamFaults struct {
	wrongID bool
	stalled bool
	// truncated ends the stream after truncateAfter tokens.
	truncated     bool
	truncateAfter identifier.Tokens
	noEndMark     bool
}

// takeStreamFaults counts down the switches that affect responses and returns the faults of the next one.
func (e *Engine) takeStreamFaults() streamFaults {
	faults := streamFaults{
		wrongID:   e.Switches.Take(func(f *Faults) *int { return &f.CrossAnswers }),
		stalled:   e.Switches.Take(func(f *Faults) *int { return &f.StallStreams }),
		truncated: e.Switches.Take(func(f *Faults) *int { return &f.BreakStreams }),
		noEndMark: e.Switches.Take(func(f *Faults) *int { return &f.OmitEndMarks }),
	}
	faults.truncateAfter = identifier.Tokens(e.Switches.Get().BreakAfterTokens)
	return faults
}

// progress is the state of an attempt.
type progress struct {
	// output is the number of tokens produced in this attempt.
	output identifier.Tokens
	cached identifier.Tokens
	// reason is the finish reason; empty while the attempt runs.
	reason string
	err    error
}

// attempt is one running attempt. The engine's driver updates latest and signals changed; stream reads it.
type attempt struct {
	request    completer.Request
	completion completion
	faults     streamFaults
	changed    chan struct{}
	mutex      sync.Mutex
	latest     progress
}

// newAttempt returns an attempt that has produced nothing yet.
func newAttempt(request completer.Request, faults streamFaults) *attempt {
	return &attempt{
		request:    request,
		completion: newCompletion(request.Model, request.Prompt, request.MaxOutput),
		faults:     faults,
		changed:    make(chan struct{}, 1),
	}
}

// sequence returns the simulator's form of the attempt.
func (a *attempt) sequence(prefix []identifier.PrefixHash) batcher.Sequence {
	return batcher.Sequence{
		Attempt:    a.request.Attempt,
		Prompt:     max(hasher.CountTokens(a.request.Prompt), 1),
		Prefix:     prefix,
		Output:     a.completion.length,
		MaxOutput:  a.request.MaxOutput,
		SkipOutput: a.request.ResumeTokens,
		Priority:   a.request.Priority,
		Export:     a.request.ExportKV,
		Import:     a.request.ImportFrom != nil,
	}
}

// update records progress and wakes the reader. A response that was cut by the caller's limit finishes with
// FinishLength.
func (a *attempt) update(latest progress) {
	if latest.reason == completer.FinishStop && a.completion.cutByLimit {
		latest.reason = completer.FinishLength
	}
	a.mutex.Lock()
	a.latest = latest
	a.mutex.Unlock()
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// fail ends the attempt with an error; the tokens produced so far are still delivered.
func (a *attempt) fail(err error) {
	a.mutex.Lock()
	latest := a.latest
	a.mutex.Unlock()
	latest.err = err
	a.update(latest)
}

// stream calls emit with each new part of the text until the attempt ends and returns its final progress. A stalled
// stream waits until ctx is done.
func (a *attempt) stream(ctx context.Context, emit func(text string)) (progress, error) {
	sent := identifier.Tokens(0)
	for {
		select {
		case <-ctx.Done():
			return progress{}, ctx.Err()
		case <-a.changed:
		}
		if a.faults.stalled {
			continue
		}
		a.mutex.Lock()
		latest := a.latest
		a.mutex.Unlock()
		output := latest.output
		truncate := a.faults.truncated && (output >= a.faults.truncateAfter || latest.reason != "")
		if truncate {
			output = min(output, a.faults.truncateAfter)
		}
		if output > sent {
			skipped := a.request.ResumeTokens
			emit(a.completion.text(skipped+sent, skipped+output))
			sent = output
		}
		if truncate {
			return progress{}, errDropped
		}
		if latest.err != nil || latest.reason != "" {
			return latest, latest.err
		}
	}
}
