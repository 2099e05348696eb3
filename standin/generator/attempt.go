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
type answerFault struct {
	crossed bool
	stalled bool
	// broken ends the stream after breakAfter tokens.
	broken     bool
	breakAfter identifier.Tokens
	omitsEnd   bool
}

func (e *Engine) takeAnswerFault() answerFault {
	fault := answerFault{
		crossed:  e.Switches.Take(func(f *Faults) *int { return &f.CrossAnswers }),
		stalled:  e.Switches.Take(func(f *Faults) *int { return &f.StallStreams }),
		broken:   e.Switches.Take(func(f *Faults) *int { return &f.BreakStreams }),
		omitsEnd: e.Switches.Take(func(f *Faults) *int { return &f.OmitEndMarks }),
	}
	fault.breakAfter = identifier.Tokens(e.Switches.Get().BreakAfterTokens)
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
	request completer.Request
	answer  answer
	fault   answerFault
	changed chan struct{}
	mutex   sync.Mutex
	reached progress
}

func newAttempt(request completer.Request, fault answerFault) *attempt {
	return &attempt{
		request: request,
		answer:  newAnswer(request.Model, request.Prompt, request.MaxOutput),
		fault:   fault,
		changed: make(chan struct{}, 1),
	}
}

func (a *attempt) sequence(prefix []identifier.PrefixHash) batcher.Sequence {
	return batcher.Sequence{
		Attempt:    a.request.Attempt,
		Prompt:     max(slicer.CountTokens(a.request.Prompt), 1),
		Prefix:     prefix,
		Output:     a.answer.length,
		MaxOutput:  a.request.MaxOutput,
		SkipOutput: a.request.ResumeTokens,
		Priority:   a.request.Priority,
		Export:     a.request.ExportKV,
		Import:     a.request.ImportFrom != nil,
	}
}

// advance records progress and wakes the reader.
func (a *attempt) advance(reached progress) {
	if reached.reason == completer.FinishStop && a.answer.limited {
		reached.reason = completer.FinishLength
	}
	a.mutex.Lock()
	a.reached = reached
	a.mutex.Unlock()
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// end ends the attempt with an error; the tokens reached so far stay.
func (a *attempt) end(err error) {
	a.mutex.Lock()
	reached := a.reached
	a.mutex.Unlock()
	reached.err = err
	a.advance(reached)
}

// follow calls emit with each new text until the attempt is over and returns where it ended.
func (a *attempt) follow(ctx context.Context, emit func(text string)) (progress, error) {
	sent := identifier.Tokens(0)
	for {
		select {
		case <-ctx.Done():
			return progress{}, ctx.Err()
		case <-a.changed:
		}
		if a.fault.stalled {
			continue
		}
		a.mutex.Lock()
		reached := a.reached
		a.mutex.Unlock()
		output := reached.output
		breaks := a.fault.broken && (output >= a.fault.breakAfter || reached.reason != "")
		if breaks {
			output = min(output, a.fault.breakAfter)
		}
		if output > sent {
			skipped := a.request.ResumeTokens
			emit(a.answer.text(skipped+sent, skipped+output))
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
