package dispatcher

import (
	"bytes"
	"context"
	"sync"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// Exchange is one caller's request under way: the answer so far and how it ended.
type Exchange struct {
	RequestID identifier.RequestID

	changed chan struct{}
	// stopped is closed when no request is decided any more.
	stopped <-chan struct{}

	mutex sync.Mutex
	// text is the answer so far, produced by the leading attempt.
	text   []byte
	tokens identifier.Tokens
	leader identifier.AttemptID
	// read is how many bytes of text the caller's side has taken; these can no longer change.
	delivered int
	ended     bool
	refusal   *refuser.Refusal
	finish    Finish
}

// Finish describes a whole answer.
type Finish struct {
	Reason       string
	Output       identifier.Tokens
	CachedPrompt identifier.Tokens
}

// Progress is what Next found.
type Progress struct {
	// Text is the part of the answer that came since the last call.
	Text []byte
	// Ended is true when nothing more comes; Refusal tells why the answer is not whole, nil when it is.
	Ended   bool
	Refusal *refuser.Refusal
	Finish  Finish
}

func newExchange(request identifier.RequestID, stopped <-chan struct{}) *Exchange {
	return &Exchange{RequestID: request, changed: make(chan struct{}, 1), stopped: stopped}
}

// Next waits for more of the answer or its end.
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

// Wait returns the whole answer or its refusal without taking parts of it before the end, so that until then any
// attempt's answer may be used.
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

// errNeverDecided ends a request that reached a stopped dispatcher: one that was decided before has its end already.
var errStopping = refuser.NewRefusal(refuser.ShuttingDown, refuser.NotRun, "the instance is stopping")

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

// resumePoint returns the text and tokens after which a new attempt continues.
func (x *Exchange) resumePoint() (string, identifier.Tokens) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return string(x.text), x.tokens
}

// offer takes an attempt's whole text so far when the attempt leads or may take the lead.
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

// settle makes a finished attempt's text the answer. It returns false when the caller already has other text.
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

// release lets another attempt take the lead after this one failed.
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
