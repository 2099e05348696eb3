package subscriber

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

const (
	// callTimeout is the limit for a call to the store, in addition to the hold time of a long poll, and for each part of a
	// long response. A slow store takes some hundred ms.
	callTimeout = 900 * time.Millisecond
	// initialBackoff is the wait before the first retry of a failed call. It doubles up to maxBackoff, which leaves
	// time to read changes within the limits once the store is available again.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 900 * time.Millisecond
	// mainReaders is the number of instances that retry with maxBackoff. The others leave it to them to find the end of an
	// outage, and retry with patientBackoff.
	mainReaders    = 3
	patientBackoff = 2500 * time.Millisecond
	// overtakenWait is how long a held read may go on after another instance has read records that it should have returned.
	// Usually it returns them a moment later.
	overtakenWait = 150 * time.Millisecond
	// repeatDelay is how long after records were forwarded the neighbours are told again that there are some. Those that
	// have missed them then read the store.
	repeatDelay = 100 * time.Millisecond
)

// topic is one followed topic.
type topic struct {
	name string
	// wait is how long the store may hold a read, pacer schedules the reads; the subscriber's mutex guards both.
	wait  time.Duration
	pacer *pacer.Pacer
	// applying is held while records are applied and the pacer learns how far they reach. It guards newest together with
	// the subscriber's mutex.
	applying sync.Mutex
	// newest holds the newest record of each key that said anything new.
	newest map[string]platform.Record
	// incoming holds the records of a snapshot that the instance incomingOf is sending, up to the offset incomingTo.
	incoming   []platform.Record
	incomingTo uint64
	incomingOf identifier.InstanceID
	// requests decides when another instance is asked for a snapshot; the subscriber's mutex guards it.
	requests pacer.Requests
	// pageReadAt is when a page of a snapshot was read from the store of which others follow; the subscriber's mutex guards
	// it.
	pageReadAt time.Time
	// progressedAt is when the last datagram of a snapshot arrived; the subscriber's mutex guards it.
	progressedAt time.Time
	// changes reports whether a record says anything new after the newest one of its key; nil if each one does.
	changes func(newest, next platform.Record) bool
	// apply applies records and returns those that could be read.
	apply func(records []platform.Record, origin governor.Origin) []platform.Record
	// onFailure is called when a read that began at a time has failed, onOutage when one at a time was the first of any
	// instance to succeed after an outage; nil if there is nothing to do.
	onFailure func(at time.Time)
	onOutage  func(before, at time.Time)
	// keepsNewest reports whether the newest record of a key outlasts another one, such as that in an older copy of the store;
	// nil if none does. next is the zero record if the copy has none.
	keepsNewest func(newest, next platform.Record) bool
	// onReturn is called when the store has returned from an older copy; nil if there is nothing to do.
	onReturn func(now time.Time)
	// returned is true if the store has returned from an older copy since the last read; the subscriber's mutex guards it.
	returned bool
	// readStarted is when the current or last read began, held how long the store might hold it.
	readStarted time.Time
	held        time.Duration
	// respondedAt is when the response to the current or last read began, the zero time before that; the subscriber's mutex
	// guards it.
	respondedAt time.Time
	// overtaken is true if the current read is ended soon because another instance has read more.
	overtaken bool
	// wake receives a value when another instance reports records that this one has not read, or has sent a snapshot.
	wake chan struct{}
	// wanted receives a value when the topic should be read at once; nil if it never should.
	wanted <-chan struct{}

	// repeated is the view whose offsets are sent again at repeatAt; the zero time for none.
	repeated gossiper.View
	repeatAt time.Time

	unavailable bool
	// failures counts the failed reads in a row, retryAt is the earliest time of the next one.
	failures int
	retryAt  time.Time
	// cancel ends the current read; nil between reads. The subscriber's mutex guards it.
	cancel context.CancelFunc
}

func (s *Subscriber) follow(ctx context.Context, t *topic) {
	for s.awaitDue(ctx, t) {
		err := s.read(ctx, t)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
		case err == nil:
			s.readSucceeded(t)
			s.noteFollowed(t)
			s.announceAgain(ctx, t)
		default:
			s.readFailed(t, err)
		}
	}
}

// awaitDue waits until the next read of a topic is due. After a failure that is not before the retry, and as long as
// another instance reads for this one it is never due, unless the topic is wanted at once. It returns false if ctx ends first.
func (s *Subscriber) awaitDue(ctx context.Context, t *topic) bool {
	wanted := false
	for {
		now := time.Now()
		s.mu.Lock()
		due := t.pacer.NextReadAt(s.governor.ReaderRank(now))
		if wanted && t.pacer.Synced() && !t.pacer.ReadsTakeLong() {
			due = now
		}
		s.mu.Unlock()
		if due.Before(t.retryAt) {
			due = t.retryAt
		}
		left := s.repeat(t, now, due.Sub(now))
		if left <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.wake:
		case <-t.wanted:
			wanted = true
		case <-time.After(left):
		}
	}
}

// read reads the next records, or a snapshot if the next offset is unknown or trimmed.
func (s *Subscriber) read(ctx context.Context, t *topic) error {
	s.mu.Lock()
	next, known := t.pacer.NextOffset()
	era := t.pacer.Era()
	wait := t.wait
	catchesUp := t.pacer.BehindPeers()
	if !known || catchesUp {
		// The records are there, or another instance has followed the topic in another copy of the store.
		wait = 0
	}
	t.pacer.ReadStarted()
	t.readStarted, t.held, t.overtaken, t.respondedAt = time.Now(), wait, false, time.Time{}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setCancel(t, cancel)
	defer s.setCancel(t, nil)
	if known {
		batch, err := s.store.Read(ctx, t.name, next, platform.Polling{Wait: wait, Timeout: callTimeout, Responded: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			t.respondedAt = time.Now()
		}})
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			s.log.Warn().Str("event", "historyTrimmed").Str("topic", t.name).Uint64("from", next).
				Uint64("start", trimmed.FirstOffset).Msg("Records were trimmed; reading a snapshot")
		case err != nil:
			return err
		case batch.Era == era:
			view, current := s.applyRead(t, next, batch)
			if current && !catchesUp {
				s.forward(t, view)
			}
			return nil
		}
	}
	batch, err := s.store.ReadNewest(ctx, t.name, platform.Paging{Timeout: callTimeout, Arrived: func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		t.pageReadAt = time.Now()
	}})
	if err != nil {
		return err
	}
	view, current := s.applyNewest(t, batch)
	if !current {
		return eris.Errorf("snapshot of %s is of the earlier era %d", t.name, batch.Era)
	}
	if s.governor.ReaderRank(time.Now()) == 0 {
		// Neighbours that have not read as far ask for the snapshot.
		s.exchange.ForwardView(t.name, gossiper.View{View: view, RecordsFrom: batch.Next, RecordsTo: batch.Next})
	}
	return nil
}

// forward sends a view of a topic to the neighbours, and its offsets once more soon if it has records.
func (s *Subscriber) forward(t *topic, v gossiper.View) {
	s.exchange.ForwardView(t.name, v)
	t.repeatAt = time.Time{}
	if len(v.Records) > 0 {
		t.repeatAt, t.repeated = time.Now().Add(repeatDelay), v
		t.repeated.RecordsFrom, t.repeated.Records = v.RecordsTo, nil
	}
}

// repeat sends the offsets of the last view with records again if that is due, or if another read is, and returns the
// time until then.
func (s *Subscriber) repeat(t *topic, now time.Time, readIn time.Duration) time.Duration {
	if t.repeatAt.IsZero() {
		return readIn
	}
	if left := t.repeatAt.Sub(now); left > 0 && readIn > 0 {
		return min(left, readIn)
	}
	t.repeatAt = time.Time{}
	s.exchange.ForwardView(t.name, t.repeated)
	return readIn
}

// backoff returns the wait before the next retry after a number of failures in a row, for an instance that rank others
// precede in reading the store. If reads take long, all but the main readers leave the first retry to them as well.
func backoff(failures, rank int, long bool) time.Duration {
	limit := maxBackoff
	if rank >= mainReaders {
		limit = patientBackoff
		if long {
			return limit
		}
	}
	pause := initialBackoff
	for range failures - 1 {
		pause = min(2*pause, limit)
	}
	return pause
}

func (s *Subscriber) readFailed(t *topic, err error) {
	now := time.Now()
	rank := s.governor.ReaderRank(now)
	t.failures++
	s.mu.Lock()
	long := t.pacer.ReadsTakeLong()
	s.mu.Unlock()
	t.retryAt = now.Add(backoff(t.failures, rank, long))
	if t.onFailure != nil {
		t.onFailure(t.readStarted)
	}
	s.logFailure(t, err)
	t.unavailable = true
	// An instance that reads for others, or for itself alone, may not know those that the store answers.
	mayBeAlone := t.name == platform.TopicServers && rank < mainReaders
	if mayBeAlone {
		s.exchange.RequestView(platform.TopicMembers, t.failures)
	}
	if t.failures == 1 || mayBeAlone {
		// One that doesn't know this instance forwards nothing to it.
		s.exchange.Greet()
	}
	s.mu.Lock()
	knowsLess := !t.pacer.Synced() || t.pacer.BehindPeers()
	s.mu.Unlock()
	if knowsLess {
		// Another instance may know what this one can't read.
		s.requestView(t)
	}
}

// logFailure logs a failed read: one whose response is refused each time, as no later one can succeed, any other only if it
// is the first in a row.
func (s *Subscriber) logFailure(t *topic, err error) {
	var refused *platform.TooLongError
	switch {
	case errors.As(err, &refused):
		s.log.Error().Err(err).Str("event", "storeResponseRefused").Str("topic", t.name).Int("limitBytes", refused.Limit).
			Int("failures", t.failures).Msg("Response of the store is too long; its records can't be applied")
	case !t.unavailable:
		s.log.Warn().Err(err).Str("event", "storeLost").Str("topic", t.name).Int("failures", t.failures).
			Msg("Store is unavailable; continuing with the state that was read last")
	}
}

func (s *Subscriber) readSucceeded(t *topic) {
	t.failures, t.retryAt = 0, time.Time{}
	if t.unavailable {
		t.unavailable = false
		s.log.Info().Str("event", "storeRegained").Str("topic", t.name).Msg("Store is available again")
		s.restartReads(t)
	}
}

// endOvertakenRead ends the current read of a topic in a moment if the store still holds it then, although another instance
// has read records that it should have returned: the store has not woken it.
func (s *Subscriber) endOvertakenRead(t *topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.cancel == nil || t.held == 0 || t.overtaken {
		return
	}
	t.overtaken = true
	time.AfterFunc(overtakenWait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if t.overtaken && t.cancel != nil && t.respondedAt.IsZero() && t.pacer.BehindPeers() {
			s.log.Info().Str("event", "readOvertaken").Str("topic", t.name).Msg("Store holds a read although there are records; reading anew")
			t.cancel()
		}
	})
}

// readAt returns the time for which the response to the last read certainly holds. A long response takes its time to arrive, and
// the process may have been stopped meanwhile. The subscriber's mutex must be held.
func (t *topic) readAt(now time.Time) time.Time {
	if latest := t.readStarted.Add(t.held); latest.Before(now) {
		now = latest
	}
	if !t.respondedAt.IsZero() && t.respondedAt.Before(now) {
		return t.respondedAt
	}
	return now
}

// confirmRead records that a read of any instance has succeeded whose result is not older than a time. Reads that fail
// here while others succeed are no outage of the store.
func (s *Subscriber) confirmRead(t *topic, at time.Time) {
	s.mu.Lock()
	before, outage := t.pacer.ReadConfirmed(at)
	s.mu.Unlock()
	if outage && t.onOutage != nil {
		t.onOutage(before, at)
	}
}

func (s *Subscriber) setCancel(t *topic, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.cancel = cancel
}

// restartReads cancels the long polls of the other topics, which the store may have lost during its outage.
func (s *Subscriber) restartReads(regained *topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		if t != regained && t.cancel != nil {
			t.cancel()
		}
	}
}
