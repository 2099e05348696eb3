package dispatcher

import (
	"bytes"
	"context"
	"sync"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// Exchange connects a request in flight to its caller: it holds the answer so far and how it ended.
type Exchange struct {
	RequestID identifier.RequestID

	changed chan struct{}
	// stopped is closed when the dispatcher has stopped.
	stopped <-chan struct{}

	mutex sync.Mutex
	// text is the answer so far, produced by the attempt named in leader.
	text   []byte
	tokens identifier.Tokens
	leader identifier.AttemptID
	// delivered is the number of bytes of text that have been returned to the caller and must not change.
	delivered int
	ended     bool
	refusal   *refuser.Refusal
	finish    Finish
}

// Finish describes a complete answer: the finish reason, the output tokens and the cached prompt tokens.
type Finish struct {
	Reason       string
	Output       identifier.Tokens
	CachedPrompt identifier.Tokens
}

// Progress is the new part of an answer.
type Progress struct {
	// Text is the part of the answer that arrived since the last call.
	Text []byte
	// Ended is true when the answer has ended; Refusal is nil if it is complete.
	Ended   bool
	Refusal *refuser.Refusal
	Finish  Finish
}

func newExchange(request identifier.RequestID, stopped <-chan struct{}) *Exchange {
	return &Exchange{RequestID: request, changed: make(chan struct{}, 1), stopped: stopped}
}

// Next waits for new text or the end of the answer.
func (x *Exchange) Next(ctx context.Context) (Progress, error) {
	for {
		if progress, ok := x.takeNew(); ok {
			return progress, nil
		}
		select {
		case <-ctx.Done():
			return Progress{}, ctx.Err()
		case <-x.changed:
		case <-x.stopped:
			x.end(errStopping, Finish{})
		}
	}
}

// Wait waits for the end and returns the complete answer or its refusal. No text is delivered before, so that the
// answer of any attempt can still be used.
func (x *Exchange) Wait(ctx context.Context) (Progress, error) {
	for {
		x.mutex.Lock()
		ended := x.ended
		x.mutex.Unlock()
		if ended {
			progress, _ := x.takeNew()
			return progress, nil
		}
		select {
		case <-ctx.Done():
			return Progress{}, ctx.Err()
		case <-x.changed:
		case <-x.stopped:
			x.end(errStopping, Finish{})
		}
	}
}

// errStopping ends a request that reached a dispatcher that has stopped; all earlier requests have ended by then.
var errStopping = refuser.NewRefusal(refuser.ShuttingDown, refuser.NotRun, "the instance is stopping")

// takeNew returns the text that has not been delivered yet; false if there is none and the answer has not ended.
func (x *Exchange) takeNew() (Progress, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.delivered == len(x.text) && !x.ended {
		return Progress{}, false
	}
	part := bytes.Clone(x.text[x.delivered:])
	x.delivered = len(x.text)
	return Progress{Text: part, Ended: x.ended, Refusal: x.refusal, Finish: x.finish}, true
}

// resumePoint returns the text and the number of tokens after which a new attempt resumes.
func (x *Exchange) resumePoint() (string, identifier.Tokens) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return string(x.text), x.tokens
}

// publish extends the answer to an attempt's complete text so far if the attempt leads. Without a leader, an attempt
// whose text continues the answer becomes the leader.
func (x *Exchange) publish(attempt identifier.AttemptID, text []byte, tokens identifier.Tokens) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.ended {
		return
	}
	if x.leader == "" && bytes.HasPrefix(text, x.text) {
		x.leader = attempt
	}
	if x.leader != attempt {
		return
	}
	x.text = append(x.text, text[len(x.text):]...)
	x.tokens = tokens
	x.signal()
}

// commit makes a finished attempt's text the answer. It returns false if the exchange has ended or the caller has
// already received different text.
func (x *Exchange) commit(attempt identifier.AttemptID, text []byte, tokens identifier.Tokens) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.ended {
		return false
	}
	if !bytes.HasPrefix(text, x.text[:x.delivered]) {
		return false
	}
	x.leader = attempt
	x.text = append(x.text[:0:0], text...)
	x.tokens = tokens
	return true
}

// releaseLead removes a failed attempt as the leader, so that another one can take its place.
func (x *Exchange) releaseLead(attempt identifier.AttemptID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.leader == attempt {
		x.leader = ""
	}
}

func (x *Exchange) end(refusal *refuser.Refusal, finish Finish) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.ended {
		return
	}
	x.ended = true
	x.refusal = refusal
	x.finish = finish
	x.signal()
}

func (x *Exchange) signal() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}
