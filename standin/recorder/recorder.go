// Package recorder is a stand-in for the platform's log service, in memory and over HTTP.
package recorder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/switcher"
)

const (
	// DefaultAppendsPerSecond is the rate limit of the platform's log, shared by all its clients.
	DefaultAppendsPerSecond = 400
	// DefaultKeepRecords is the number of records that each stream retains.
	DefaultKeepRecords = 1 << 20
	// maxQueueDelay is the longest wait for the rate limiter; an append that would wait longer is refused at once.
	maxQueueDelay = time.Second
	// maxReadRecords is the maximum number of records in one read.
	maxReadRecords = 10_000
	// maxWait is the maximum duration of a long poll.
	maxWait = time.Minute
)

// Settings describes the log's limits and initial faults. Zero values take the defaults.
type Settings struct {
	AppendsPerSecond float64
	// KeepRecords is the number of records that each stream retains.
	KeepRecords int
	Faults      Faults
}

// Faults are the log's fault switches; counters decrease by one with each use.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Silent keeps every call pending without effect or response, as a network partition does.
	Silent bool `json:"silent"`
	// LoseAnswers is the number of appends that take effect but get no response.
	LoseAnswers int `json:"loseAnswers"`
	// DropAppends is the number of appends that neither take effect nor get a response.
	DropAppends int `json:"dropAppends"`
	// DelayMS delays every call by this many milliseconds.
	DelayMS int `json:"delayMs"`
}

// Log is an append-only log in memory with named streams. It is safe for concurrent use.
type Log struct {
	Switches    *switcher.Switches[Faults]
	keepRecords int
	limiter     *rate.Limiter
	// heldCalls is the number of calls that wait while the log is silent.
	heldCalls atomic.Int64
	mutex     sync.Mutex
	streams   map[appender.Stream]*stream
}

var _ appender.Log = (*Log)(nil)

// stream holds the retained records of one stream; records[0] has the offset first. appended is closed and replaced at
// each append.
type stream struct {
	first    identifier.Offset
	records  [][]byte
	appended chan struct{}
}

// NewLog returns an empty log.
func NewLog(settings Settings) *Log {
	if settings.AppendsPerSecond <= 0 {
		settings.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if settings.KeepRecords <= 0 {
		settings.KeepRecords = DefaultKeepRecords
	}
	burst := max(1, int(settings.AppendsPerSecond))
	return &Log{
		Switches:    switcher.NewSwitches(settings.Faults, nil),
		keepRecords: settings.KeepRecords,
		limiter:     rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), burst),
		streams:     map[appender.Stream]*stream{},
	}
}

// Append adds the records atomically and in order, and returns the offset of the first.
func (l *Log) Append(ctx context.Context, name appender.Stream, records [][]byte) (identifier.Offset, error) {
	if len(records) == 0 {
		return 0, eris.Wrap(appender.ErrUnavailable, "no records")
	}
	if err := l.applyCallFaults(ctx); err != nil {
		return 0, eris.Wrap(appender.ErrOutcomeUnknown, err.Error())
	}
	if l.Switches.Get().Outage {
		return 0, eris.Wrap(appender.ErrUnavailable, "outage")
	}
	if err := l.awaitRateLimit(ctx); err != nil {
		return 0, err
	}
	if l.Switches.Take(func(f *Faults) *int { return &f.DropAppends }) {
		return 0, eris.Wrap(appender.ErrOutcomeUnknown, "append dropped")
	}
	offset := l.appendRecords(name, records)
	if l.Switches.Take(func(f *Faults) *int { return &f.LoseAnswers }) {
		return 0, eris.Wrap(appender.ErrOutcomeUnknown, "response lost")
	}
	return offset, nil
}

// errSilent ends a call that was pending while the log was silent.
var errSilent = eris.New("recorder: silent")

// applyCallFaults delays a call, or blocks it while the log is silent and then fails it with an error.
func (l *Log) applyCallFaults(ctx context.Context) error {
	changed := l.Switches.Changed()
	faults := l.Switches.Get()
	if !faults.Silent {
		return switcher.Sleep(ctx, faults.DelayMS)
	}
	l.heldCalls.Add(1)
	defer l.heldCalls.Add(-1)
	select {
	case <-changed:
		return errSilent
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitRateLimit waits until the rate limiter admits an append, and refuses it if the wait would be too long.
func (l *Log) awaitRateLimit(ctx context.Context) error {
	now := time.Now()
	reservation := l.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay > maxQueueDelay {
		reservation.CancelAt(now)
		return eris.Wrap(appender.ErrUnavailable, "over the append rate")
	}
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(appender.ErrUnavailable, ctx.Err().Error())
	}
}

// appendRecords appends copies of the records, applies the retention and wakes the waiting reads.
func (l *Log) appendRecords(name appender.Stream, records [][]byte) identifier.Offset {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.stream(name)
	offset := s.end()
	for _, r := range records {
		s.records = append(s.records, append([]byte(nil), r...))
	}
	if excess := len(s.records) - l.keepRecords; excess > 0 {
		s.trim(excess)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// stream returns a stream and creates it on first use; the caller holds the mutex.
func (l *Log) stream(name appender.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// end returns the offset of the next record.
func (s *stream) end() identifier.Offset { return s.first + identifier.Offset(len(s.records)) }

// trim removes the oldest records.
func (s *stream) trim(count int) {
	clear(s.records[:count])
	s.records = s.records[count:]
	s.first += identifier.Offset(count)
}

// Trim removes a stream's records before an offset, as the retention does.
func (l *Log) Trim(name appender.Stream, before identifier.Offset) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.stream(name)
	if before <= s.first {
		return
	}
	s.trim(int(min(before, s.end()) - s.first))
}

// Read returns records from an offset on. If there are none, it waits for the next append, at most for the given time.
func (l *Log) Read(
	ctx context.Context, name appender.Stream, from identifier.Offset, limit int, wait time.Duration,
) (appender.Batch, error) {
	if err := l.applyCallFaults(ctx); err != nil {
		return appender.Batch{}, eris.Wrap(appender.ErrUnavailable, err.Error())
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		switched := l.Switches.Changed()
		if l.Switches.Get().Outage {
			return appender.Batch{}, eris.Wrap(appender.ErrUnavailable, "outage")
		}
		batch, appended, err := l.available(name, from, limit)
		if err != nil || len(batch.Entries) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-switched:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return appender.Batch{}, eris.Wrap(appender.ErrUnavailable, ctx.Err().Error())
		}
	}
}

// available returns the records from an offset on, up to the limit, and a channel that is closed at the next append.
func (l *Log) available(
	name appender.Stream, from identifier.Offset, limit int,
) (appender.Batch, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.stream(name)
	from = max(from, 1)
	if from < s.first {
		return appender.Batch{}, nil, &appender.TrimmedError{Requested: from, FirstOffset: s.first}
	}
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	batch := appender.Batch{FirstOffset: s.first, EndOffset: s.end()}
	for offset := from; offset < s.end() && len(batch.Entries) < limit; offset++ {
		record := s.records[offset-s.first]
		batch.Entries = append(batch.Entries, appender.Entry{Offset: offset, Record: record})
	}
	return batch, s.appended, nil
}
