package meterer

import (
	"bytes"
	"crypto/sha256"
	"maps"
	"time"
)

const (
	// settleShare is how much of the delay passes before a window is reported: instances send their counts each second,
	// once more if they are lost. The rest is for a successor.
	settleShare = 0.2
	// keptWindows is how many windows a ledger remembers beyond those that are due.
	keptWindows = 16
	// lastCall is how long before a report is late it is recorded with the counts that are known.
	lastCall = time.Second
	// firstPause and lastPause bound the time between two calls for the same window.
	firstPause = 300 * time.Millisecond
	lastPause  = 2 * time.Second
)

// Digest identifies the body of a report.
type Digest [sha256.Size]byte

// Task is what a ledger asks for.
type Task interface{ task() }

// Record asks to record a report. It is sent only once that is done.
type Record struct {
	Window Window
	Body   []byte
	Digest Digest
}

// Send asks to send a report that is recorded.
type Send struct {
	Window Window
	Body   []byte
}

// Missed says that a window's report is late and won't be sent any more.
type Missed struct {
	Window Window
	Cause  string
}

func (Record) task() {}
func (Send) task()   {}
func (Missed) task() {}

// page is what a ledger knows of one window.
type page struct {
	body     []byte
	digest   Digest
	recorded bool
	// closed is true once the report was accepted or given up.
	closed bool
	nextAt time.Time
	pause  time.Duration
}

// Ledger decides which windows are recorded and sent, so that each is sent with one body only.
type Ledger struct {
	length, delay time.Duration
	// encode returns the body of a report. It must return the same bytes for the same counts.
	encode func(Window, Usage) ([]byte, error)
	pages  map[Window]*page
	// sureFrom is the first window of which it is known whether a report was recorded.
	sureFrom Window
}

// NewLedger returns a ledger for windows of a length whose reports are due a delay after their end.
func NewLedger(length, delay time.Duration, encode func(Window, Usage) ([]byte, error)) *Ledger {
	return &Ledger{length: length, delay: delay, encode: encode, pages: map[Window]*page{}}
}

// settleAt returns when the counts of a window are complete.
func (l *Ledger) settleAt(w Window) time.Time {
	return w.End(l.length).Add(time.Duration(settleShare * float64(l.delay)))
}

// DoubtBefore makes the ledger report no window that another instance may have recorded before now, unless it knows that
// record: the store has lost what was written last.
func (l *Ledger) DoubtBefore(now time.Time) {
	w := WindowAt(now.Add(-l.delay), l.length)
	for l.settleAt(w).Before(now) {
		w++
	}
	l.sureFrom = max(l.sureFrom, w)
}

// Recorded takes over the record of a report; the first one of a window counts. body is nil if the record has none.
func (l *Ledger) Recorded(w Window, body []byte, digest Digest) {
	p := l.page(w)
	if p.recorded {
		return
	}
	p.recorded = true
	if body == nil && p.digest == digest {
		return
	}
	p.body, p.digest = body, digest
}

// Decide returns the next task of the duty's holder; nil if there is none now. While complete is false, the counts of too
// many instances are unknown, and windows are recorded only when they would be late otherwise.
func (l *Ledger) Decide(now time.Time, complete bool, total func(Window) Usage) (Task, error) {
	l.discard(now)
	newest := WindowAt(now, l.length)
	for w := WindowAt(now.Add(-l.delay), l.length) - 1; w < newest; w++ {
		if now.Before(l.settleAt(w)) {
			break
		}
		task, err := l.decide(now, w, complete, total)
		if task != nil || err != nil {
			return task, err
		}
	}
	return nil, nil
}

func (l *Ledger) decide(now time.Time, w Window, complete bool, total func(Window) Usage) (Task, error) {
	p := l.pages[w]
	late := !now.Before(w.End(l.length).Add(l.delay))
	switch {
	case p != nil && p.closed:
		return nil, nil
	case late && p == nil && len(total(w)) == 0:
		return nil, nil
	case late:
		l.page(w).closed = true
		return Missed{Window: w, Cause: "late"}, nil
	case p != nil && now.Before(p.nextAt):
		return nil, nil
	case p == nil && w < l.sureFrom:
		return nil, nil
	case (p == nil || !p.recorded) && !complete && now.Before(w.End(l.length).Add(l.delay-lastCall)):
		return nil, nil
	}
	if p == nil || p.body == nil {
		if missed, err := l.fill(w, total(w)); missed != nil || err != nil || l.pages[w] == nil {
			return missed, err
		}
		p = l.pages[w]
	}
	if !p.recorded {
		return Record{Window: w, Body: p.body, Digest: p.digest}, nil
	}
	return Send{Window: w, Body: p.body}, nil
}

// fill sets the body of a window from its counts. A window without requests has no report.
func (l *Ledger) fill(w Window, counts Usage) (Task, error) {
	if len(counts) == 0 {
		return nil, nil
	}
	body, err := l.encode(w, counts)
	if err != nil {
		return nil, err
	}
	digest := Digest(sha256.Sum256(body))
	p := l.page(w)
	if p.recorded && !bytes.Equal(p.digest[:], digest[:]) {
		// Another instance may have sent a report with other counts.
		p.closed = true
		return Missed{Window: w, Cause: "differs"}, nil
	}
	p.body, p.digest = body, digest
	return nil, nil
}

// Accepted records that the platform has accepted a report.
func (l *Ledger) Accepted(w Window) { l.page(w).closed = true }

// Failed records that a report could not be recorded or sent, or that its outcome is unknown.
func (l *Ledger) Failed(now time.Time, w Window) {
	p := l.page(w)
	p.pause = min(max(firstPause, 2*p.pause), lastPause)
	p.nextAt = now.Add(p.pause)
}

func (l *Ledger) page(w Window) *page {
	p := l.pages[w]
	if p == nil {
		p = &page{}
		l.pages[w] = p
	}
	return p
}

func (l *Ledger) discard(now time.Time) {
	oldest := WindowAt(now.Add(-l.delay), l.length)
	if oldest < keptWindows {
		return
	}
	maps.DeleteFunc(l.pages, func(w Window, _ *page) bool { return w < oldest-keptWindows })
}
