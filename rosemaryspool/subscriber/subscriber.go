// Package subscriber follows topics of the platform's store: the operator's configuration, the list of upstreams and
// the other instances. While the store is unavailable the instance continues with the state that it read last.
package subscriber

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

const (
	// memberReadInterval is the time between two reads of the members. A new instance announces itself and then reads,
	// so of two that start at the same time at least one has read the other's record. Later reads cover lost datagrams.
	memberReadInterval = 20 * time.Second
	// configurationHoldShare is the share of the apply limit for which the store may hold a long-poll read of the
	// configuration. It is less than one because the store may fail to wake the read.
	configurationHoldShare = 0.7
	// callTimeout is the limit for a call to the store, in addition to the hold time of a long poll. A slow store
	// takes some hundred ms.
	callTimeout = 900 * time.Millisecond
	// initialBackoff is the wait before the first retry of a failed call. It doubles up to maxBackoff, which leaves
	// time to read changes within the limits once the store is available again.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 900 * time.Millisecond
	// upstreamReadShare is the share of the drain limit after which the list of upstreams is read again. The rest
	// covers the call and one retry.
	upstreamReadShare = 0.45
)

// Subscriber follows the topics of one store and applies their records to the governor and the gossiper.
type Subscriber struct {
	store    *platform.Store
	governor *governor.Governor
	self     elector.Member
	log      zerolog.Logger
	done     chan struct{}

	// forward sends a view to the other instances of the data centre.
	forward func(topic string, v gossiper.View)

	mu     sync.Mutex
	topics []*topic
}

// NewSubscriber returns a subscriber; nothing is read before Run. forward is called with what this instance has read for
// the others of its data centre.
func NewSubscriber(
	store *platform.Store, g *governor.Governor, forward func(topic string, v gossiper.View),
	drainLimit, applyLimit time.Duration, log zerolog.Logger,
) *Subscriber {
	s := &Subscriber{
		store: store, governor: g, forward: forward, self: g.Self(), log: log, done: make(chan struct{}),
	}
	s.topics = []*topic{
		{name: platform.TopicConfiguration, apply: s.applyConfigurations},
		{name: platform.TopicServers, apply: s.applyServers, onFailure: g.StoreUnavailable},
		{name: platform.TopicMembers, apply: s.applyMembers},
	}
	for _, t := range s.topics {
		t.wake = make(chan struct{}, 1)
		t.pacer = pacer.NewPacer(memberReadInterval, 0)
	}
	s.SetLimits(drainLimit, applyLimit)
	return s
}

// SetLimits replaces the time limits within which draining upstreams and configurations must be applied.
func (s *Subscriber) SetLimits(drainLimit, applyLimit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		switch t.name {
		case platform.TopicConfiguration:
			t.wait = time.Duration(configurationHoldShare * float64(applyLimit))
			t.pacer.SetTimes(0, t.wait)
		case platform.TopicServers:
			t.pacer.SetTimes(time.Duration(upstreamReadShare*float64(drainLimit)), 0)
		}
	}
}

// Done is closed when Run has returned.
func (s *Subscriber) Done() <-chan struct{} { return s.done }

// Run follows all topics until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	defer close(s.done)
	var group conc.WaitGroup
	for _, t := range s.topics {
		group.Go(func() {
			if t.name == platform.TopicMembers {
				s.announce(ctx)
			}
			s.follow(ctx, t)
		})
	}
	group.Wait()
}

// topic is one followed topic.
type topic struct {
	name string
	// wait is how long the store may hold a read, pacer schedules the reads; the subscriber's mutex guards both.
	wait  time.Duration
	pacer *pacer.Pacer
	// apply applies records and returns those that other instances must read. snapshot is true when the records cover all
	// keys of the topic.
	apply     func(records []platform.Record, snapshot bool) []platform.Record
	onFailure func(now time.Time)
	// wake receives a value when another instance reports records that this one has not read.
	wake chan struct{}

	unavailable bool
	// failures counts the failed reads in a row.
	failures int
	// cancel ends the current read; nil between reads. The subscriber's mutex guards it.
	cancel context.CancelFunc
}

func (s *Subscriber) follow(ctx context.Context, t *topic) {
	for ctx.Err() == nil {
		if t.failures == 0 && !s.awaitDue(ctx, t) {
			return
		}
		err := s.read(ctx, t)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, context.Canceled) {
			continue
		}
		if err == nil {
			s.readSucceeded(t)
			continue
		}
		s.readFailed(t, err)
		sleepBackoff(ctx, t.failures)
	}
}

// awaitDue waits until the next read of a topic is due. It returns false if ctx ends first.
func (s *Subscriber) awaitDue(ctx context.Context, t *topic) bool {
	for {
		now := time.Now()
		s.mu.Lock()
		due := t.pacer.NextReadAt(s.governor.ReaderRank(now))
		s.mu.Unlock()
		left := due.Sub(now)
		if left <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.wake:
		case <-time.After(left):
		}
	}
}

// HandleView handles another instance's view of a topic and the records that it has read.
func (s *Subscriber) HandleView(name string, v gossiper.View) {
	for _, t := range s.topics {
		if t.name == name {
			s.handleView(t, v)
		}
	}
}

func (s *Subscriber) handleView(t *topic, v gossiper.View) {
	s.mu.Lock()
	next, _ := t.pacer.NextOffset()
	applies := t.pacer.PeerRecordsReceived(v.RecordsFrom, v.RecordsTo)
	s.mu.Unlock()
	if v.OutageAge > 0 && t.name == platform.TopicServers {
		s.governor.OutageReported(time.Now().Add(-v.OutageAge))
	}
	if applies {
		records := make([]platform.Record, 0, len(v.Records))
		for _, r := range v.Records {
			if r.Offset >= next {
				records = append(records, platform.Record(r))
			}
		}
		t.apply(records, false)
	}
	s.mu.Lock()
	mustRead := t.pacer.PeerViewReceived(v.View)
	s.mu.Unlock()
	if !mustRead {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
		// A wake-up is pending already.
	}
}

// read reads the next records, or a snapshot if the next offset is unknown or trimmed.
func (s *Subscriber) read(ctx context.Context, t *topic) error {
	s.mu.Lock()
	next, known := t.pacer.NextOffset()
	wait := t.wait
	catchesUp := t.pacer.BehindPeers()
	s.mu.Unlock()
	if !known {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	s.setCancel(t, cancel)
	defer s.setCancel(t, nil)
	if known {
		records, end, err := s.store.Read(ctx, t.name, next, wait)
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			s.log.Warn().Str("event", "historyTrimmed").Str("topic", t.name).Uint64("from", next).
				Uint64("start", trimmed.FirstOffset).Msg("Records were trimmed; reading a snapshot")
		case err != nil:
			return err
		default:
			relevant := t.apply(records, false)
			view := s.recordRead(t, next, end, relevant)
			if !catchesUp {
				s.forward(t.name, view)
			}
			return nil
		}
	}
	records, end, err := s.store.ReadNewest(ctx, t.name)
	if err != nil {
		return err
	}
	t.apply(records, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.pacer.SnapshotRead(time.Now(), end)
	return nil
}

// recordRead records a read of the records from one offset to another in the pacer, and returns the view of the topic with
// the relevant records.
func (s *Subscriber) recordRead(t *topic, from, to uint64, relevant []platform.Record) gossiper.View {
	now := time.Now()
	changed := uint64(0)
	records := make([]gossiper.Record, 0, len(relevant))
	for _, r := range relevant {
		changed = max(changed, r.Offset+1)
		records = append(records, gossiper.Record(r))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return gossiper.View{
		View: t.pacer.DeltaRead(now, to, changed), RecordsFrom: from, RecordsTo: to, Records: records,
		OutageAge: s.governor.OutageAge(now),
	}
}

// backoff returns the wait before the next retry after a number of failures in a row.
func backoff(failures int) time.Duration {
	pause := initialBackoff
	for range failures - 1 {
		pause = min(2*pause, maxBackoff)
	}
	return pause
}

// sleepBackoff waits before the retry of a failed call, or until ctx ends.
func sleepBackoff(ctx context.Context, failures int) {
	select {
	case <-ctx.Done():
	case <-time.After(backoff(failures)):
	}
}

func (s *Subscriber) readFailed(t *topic, err error) {
	t.failures++
	if t.onFailure != nil {
		t.onFailure(time.Now())
	}
	if !t.unavailable {
		t.unavailable = true
		s.log.Warn().Err(err).Str("event", "storeLost").Str("topic", t.name).Int("failures", t.failures).
			Msg("Store is unavailable; continuing with the state that was read last")
	}
}

func (s *Subscriber) readSucceeded(t *topic) {
	t.failures = 0
	if t.unavailable {
		t.unavailable = false
		s.log.Info().Str("event", "storeRegained").Str("topic", t.name).Msg("Store is available again")
		s.restartReads(t)
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

func (s *Subscriber) applyConfigurations(records []platform.Record, _ bool) []platform.Record {
	var relevant []platform.Record
	for _, r := range records {
		if r.Key != platform.KeyConfiguration || len(r.Value) == 0 {
			continue
		}
		c, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			s.log.Error().Err(err).Str("event", "configurationUnreadable").Uint64("offset", r.Offset).
				Msg("Skipping an invalid configuration; the previous one stays in force")
			continue
		}
		s.governor.SetConfiguration(c)
		relevant = append(relevant, r)
	}
	return relevant
}

func (s *Subscriber) applyServers(records []platform.Record, snapshot bool) []platform.Record {
	now := time.Now()
	var relevant []platform.Record
	cause := "records"
	if snapshot {
		cause = "newest"
	}
	s.governor.UpdateUpstreams(now, cause, func(t *tracker.Tracker) bool {
		t.StoreAvailable(now)
		changed := false
		listed := map[identifier.UpstreamID]bool{}
		for _, r := range records {
			id := identifier.UpstreamID(r.Key)
			if len(r.Value) == 0 {
				changed = t.Delete(now, id, r.Offset) || changed
				// An upstream that may be listed again is not removed yet, but the other instances must read the
				// record.
				relevant = append(relevant, r)
				continue
			}
			// An invalid entry doesn't invalidate the upstream's previous one.
			listed[id] = true
			e, err := platform.DecodeServer(r.Key, r.Value)
			if err != nil {
				s.log.Warn().Err(err).Str("event", "upstreamUnreadable").Uint64("offset", r.Offset).
					Msg("Skipping an invalid entry of an upstream")
				continue
			}
			if t.Update(e, r.Offset) {
				changed = true
				relevant = append(relevant, r)
			}
		}
		if snapshot {
			changed = t.Retain(now, listed) || changed
		}
		return changed
	})
	return relevant
}

func (s *Subscriber) applyMembers(records []platform.Record, _ bool) []platform.Record {
	var relevant []platform.Record
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		m, err := platform.DecodeMember(r.Key, r.Value)
		if err != nil {
			s.log.Warn().Err(err).Str("event", "memberUnreadable").Uint64("offset", r.Offset).
				Msg("Skipping an invalid entry of an instance")
			continue
		}
		s.governor.SetMember(time.Now(), m)
		relevant = append(relevant, r)
	}
	return relevant
}

// announce writes this instance's member record, with retries until the store has accepted it.
func (s *Subscriber) announce(ctx context.Context) {
	content, err := platform.EncodeMember(s.self)
	if err != nil {
		s.log.Error().Err(err).Str("event", "memberUnwritable").
			Msg("Encoding the member record failed; instance is not announced")
		return
	}
	for failures := 1; ctx.Err() == nil; failures++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.store.Write(call, platform.TopicMembers, string(s.self.Instance), content)
		cancel()
		if err == nil {
			return
		}
		s.log.Warn().Err(err).Str("event", "storeLost").Str("topic", platform.TopicMembers).
			Msg("Announcing the instance failed")
		sleepBackoff(ctx, failures)
	}
}
