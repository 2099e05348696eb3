// Package subscriber follows the platform's store: the operator's configuration, the list of upstreams and the other
// instances. While the store is away the instance goes on with what it knows.
package subscriber

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

const (
	// memberInterval is the time between two reads of the members. New ones announce themselves and then read, so of two
	// that start at once one knows the other and reports to it; the interval is for those whose reports are lost.
	memberReadInterval = 20 * time.Second
	// applyShare is the part of the bound for configurations that the store holds a read of them: the store may fail to
	// wake it.
	configurationHoldShare = 0.7
	// callTimeout is the time beyond a read's wait in which the store must answer; a slow store takes some hundred ms.
	callTimeout = 900 * time.Millisecond
	// retryInterval is the time to the first repeat of a failed call; it doubles up to longestRetry, which leaves time to
	// read what changed within the bounds once the store is back.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 900 * time.Millisecond
	// listShare is the part of the bound for leaving upstreams after which the list is read again. What is left covers
	// the call and its repeat.
	upstreamReadShare = 0.45
)

// Subscriber follows the topics of one store.
type Subscriber struct {
	store    *platform.Store
	governor *governor.Governor
	gossiper *gossiper.Gossiper
	self     platform.Member
	log      zerolog.Logger
	done     chan struct{}

	mu     sync.Mutex
	topics []*topic
}

// NewSubscriber returns a subscriber; nothing is read before Run.
func NewSubscriber(
	store *platform.Store, g *governor.Governor, peers *gossiper.Gossiper, self platform.Member,
	drainLimit, applyLimit time.Duration,
	log zerolog.Logger,
) *Subscriber {
	s := &Subscriber{
		store: store, governor: g, gossiper: peers, self: self, log: log, done: make(chan struct{}),
	}
	s.topics = []*topic{
		{name: platform.TopicConfiguration, apply: s.applyConfigurations, shared: true},
		{name: platform.TopicServers, apply: s.applyServers, onFailure: g.StoreUnavailable, shared: true},
		{name: platform.TopicMembers, apply: s.applyMembers},
	}
	for _, t := range s.topics {
		t.wake = make(chan struct{}, 1)
		t.pacer = pacer.NewPacer(memberReadInterval, 0)
	}
	s.SetLimits(drainLimit, applyLimit)
	peers.OnView(s.peerViewReceived)
	return s
}

// SetLimits replaces the bounds in which leaving upstreams and configurations must be known.
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
	// wait is how long the store holds a read, pacer tells when the next one is due; the subscriber's mutex guards both.
	wait  time.Duration
	pacer *pacer.Pacer
	// take applies records and returns the offset after the last one that mattered; whole is true when they are all keys
	// that the topic holds.
	apply     func(records []platform.Record, whole bool) uint64
	onFailure func(now time.Time)
	// shared is true where instances tell each other what they have read.
	shared bool
	// wake gets a value when another instance has found something.
	wake chan struct{}

	unavailable bool
	// failures counts the failed reads in a row.
	failures int
	// cancel ends the read under way; nil between reads. The subscriber's mutex guards it.
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

// await waits until the next read of a topic is due; false when ctx ends first.
func (s *Subscriber) awaitDue(ctx context.Context, t *topic) bool {
	for {
		now := time.Now()
		s.mu.Lock()
		due := t.pacer.NextReadAt(s.rank(now, t))
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

// rank returns how many instances read a topic before this one.
func (s *Subscriber) rank(now time.Time, t *topic) int {
	if !t.shared {
		return 0
	}
	return s.gossiper.Rank(now)
}

// heard takes what another instance tells of a topic.
func (s *Subscriber) peerViewReceived(name string, v pacer.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		if t.name != name || !t.pacer.PeerViewReceived(v) {
			continue
		}
		select {
		case t.wake <- struct{}{}:
		default:
			// It is awake already.
		}
	}
}

// read reads the next records, or all newest ones when the next are unknown or trimmed.
func (s *Subscriber) read(ctx context.Context, t *topic) error {
	s.mu.Lock()
	next, known := t.pacer.NextOffset()
	wait := t.wait
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
				Uint64("start", trimmed.Start).Msg("Records were trimmed; reading the newest of each key")
		case err != nil:
			return err
		default:
			changed := t.apply(records, false)
			s.publishView(t, func(p *pacer.Pacer) pacer.View { return p.DeltaRead(time.Now(), end, changed) })
			return nil
		}
	}
	records, end, err := s.store.Newest(ctx, t.name)
	if err != nil {
		return err
	}
	t.apply(records, true)
	s.publishView(t, func(p *pacer.Pacer) pacer.View { return p.SnapshotRead(time.Now(), end) })
	return nil
}

// share notes a read and tells the other instances.
func (s *Subscriber) publishView(t *topic, note func(*pacer.Pacer) pacer.View) {
	s.mu.Lock()
	v := note(t.pacer)
	s.mu.Unlock()
	if t.shared {
		s.gossiper.ShareView(t.name, v)
	}
}

// retryPause returns the time between a failed call and its repeat after a number of failures in a row.
func backoff(failures int) time.Duration {
	pause := initialBackoff
	for range failures - 1 {
		pause = min(2*pause, maxBackoff)
	}
	return pause
}

// pause waits before a failed call is repeated, or until ctx ends.
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
			Msg("Store does not answer; going on with what is known")
	}
}

func (s *Subscriber) readSucceeded(t *topic) {
	t.failures = 0
	if t.unavailable {
		t.unavailable = false
		s.log.Info().Str("event", "storeRegained").Str("topic", t.name).Msg("Store answers again")
		s.restartReads(t)
	}
}

func (s *Subscriber) setCancel(t *topic, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.cancel = cancel
}

// restartReads ends the long reads of the other topics: the store may have lost them while it was away.
func (s *Subscriber) restartReads(regained *topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		if t != regained && t.cancel != nil {
			t.cancel()
		}
	}
}

func (s *Subscriber) applyConfigurations(records []platform.Record, _ bool) uint64 {
	mattered := uint64(0)
	for _, r := range records {
		if r.Key != platform.KeyConfiguration || len(r.Value) == 0 {
			continue
		}
		c, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			s.log.Error().Err(err).Str("event", "configurationUnreadable").Uint64("offset", r.Offset).
				Msg("Configuration is skipped; the one before stays in force")
			continue
		}
		s.governor.SetConfiguration(c)
		mattered = r.Offset + 1
	}
	return mattered
}

func (s *Subscriber) applyServers(records []platform.Record, whole bool) uint64 {
	now := time.Now()
	mattered := uint64(0)
	cause := "records"
	if whole {
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
				// One that may still come back is not dropped yet, but others must see its record.
				mattered = r.Offset + 1
				continue
			}
			// An entry that can't be read says nothing against the upstream's earlier one.
			listed[id] = true
			e, err := platform.DecodeServer(r.Key, r.Value)
			if err != nil {
				s.log.Warn().Err(err).Str("event", "upstreamUnreadable").Uint64("offset", r.Offset).Msg("Entry is skipped")
				continue
			}
			if t.Update(e, r.Offset) {
				changed, mattered = true, r.Offset+1
			}
		}
		if whole {
			changed = t.Retain(now, listed) || changed
		}
		return changed
	})
	return mattered
}

func (s *Subscriber) applyMembers(records []platform.Record, _ bool) uint64 {
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		m, err := platform.DecodeMember(r.Key, r.Value)
		if err != nil {
			s.log.Warn().Err(err).Str("event", "memberUnreadable").Uint64("offset", r.Offset).Msg("Entry is skipped")
			continue
		}
		s.gossiper.SetMember(time.Now(), gossiper.Member(m))
	}
	return 0
}

// announce writes this instance's record until the store has it.
func (s *Subscriber) announce(ctx context.Context) {
	content, err := platform.EncodeMember(s.self)
	if err != nil {
		s.log.Error().Err(err).Str("event", "memberUnwritable").Msg("Instance does not announce itself")
		return
	}
	for failures := 1; ctx.Err() == nil; failures++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.store.Write(call, platform.TopicMembers, string(s.self.Instance), content)
		cancel()
		if err == nil {
			return
		}
		s.log.Warn().Err(err).Str("event", "storeLost").Str("topic", platform.TopicMembers).Msg("Announcing the instance failed")
		sleepBackoff(ctx, failures)
	}
}
