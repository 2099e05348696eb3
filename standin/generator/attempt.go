package generator

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/slicer"
	"rosemaryspool.example/standin/batcher"
)

var errCancelled = eris.New("generator: attempt cancelled")

// answerFault is what the switches do to one answer.
type streamFaults struct {
	wrongID bool
	stalled bool
	// broken ends the stream after breakAfter tokens.
	truncated     bool
	truncateAfter identifier.Tokens
	noEndMark     bool
}

func (e *Engine) takeStreamFaults() streamFaults {
	fault := streamFaults{
		wrongID:   e.Switches.Take(func(f *Faults) *int { return &f.CrossAnswers }),
		stalled:   e.Switches.Take(func(f *Faults) *int { return &f.StallStreams }),
		truncated: e.Switches.Take(func(f *Faults) *int { return &f.BreakStreams }),
		noEndMark: e.Switches.Take(func(f *Faults) *int { return &f.OmitEndMarks }),
	}
	fault.truncateAfter = identifier.Tokens(e.Switches.Get().BreakAfterTokens)
	return fault
}

// progress is how far an attempt has come.
type progress struct {
	// output counts the tokens produced in this attempt.
	output identifier.Tokens
	cached identifier.Tokens
	// reason is the finish reason; empty while the attempt runs.
	reason string
	err    error
}

// attempt is one running attempt and its reader.
type attempt struct {
	request    completer.Request
	completion completion
	faults     streamFaults
	changed    chan struct{}
	mutex      sync.Mutex
	latest     progress
}

func newAttempt(request completer.Request, fault streamFaults) *attempt {
	return &attempt{
		request:    request,
		completion: newCompletion(request.Model, request.Prompt, request.MaxOutput),
		faults:     fault,
		changed:    make(chan struct{}, 1),
	}
}

func (a *attempt) sequence(prefix []identifier.PrefixHash) batcher.Sequence {
	return batcher.Sequence{
		Attempt:    a.request.Attempt,
		Prompt:     max(slicer.CountTokens(a.request.Prompt), 1),
		Prefix:     prefix,
		Output:     a.completion.length,
		MaxOutput:  a.request.MaxOutput,
		SkipOutput: a.request.ResumeTokens,
		Priority:   a.request.Priority,
		Export:     a.request.ExportKV,
		Import:     a.request.ImportFrom != nil,
	}
}

// advance records progress and wakes the reader.
func (a *attempt) update(reached progress) {
	if reached.reason == completer.FinishStop && a.completion.cutByLimit {
		reached.reason = completer.FinishLength
	}
	a.mutex.Lock()
	a.latest = reached
	a.mutex.Unlock()
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// end ends the attempt with an error; the tokens reached so far stay.
func (a *attempt) fail(err error) {
	a.mutex.Lock()
	reached := a.latest
	a.mutex.Unlock()
	reached.err = err
	a.update(reached)
}

// follow calls emit with each new text until the attempt is over and returns where it ended.
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
		reached := a.latest
		a.mutex.Unlock()
		output := reached.output
		breaks := a.faults.truncated && (output >= a.faults.truncateAfter || reached.reason != "")
		if breaks {
			output = min(output, a.faults.truncateAfter)
		}
		if output > sent {
			skipped := a.request.ResumeTokens
			emit(a.completion.text(skipped+sent, skipped+output))
			sent = output
		}
		if breaks {
			return progress{}, errDropped
		}
		if reached.err != nil || reached.reason != "" {
			return reached, reached.err
		}
	}
}
