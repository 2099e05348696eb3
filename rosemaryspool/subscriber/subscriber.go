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
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

const (
	// longWait is how long the store holds a read of the members; it returns earlier with a record.
	longWait = 20 * time.Second
	// memberInterval is the least time between two reads of the members: when a system starts they announce themselves
	// within a second, and one read for each of them would cost the square of their number.
	memberInterval = 2 * time.Second
	// applyShare is the part of the bound for configurations that the store holds a read of them: the store may fail to
	// wake it.
	applyShare = 0.7
	// callTimeout is the time beyond a read's wait in which the store must answer; a slow store takes some hundred ms.
	callTimeout = 900 * time.Millisecond
	// retryInterval is the time to the first repeat of a failed call; it doubles up to longestRetry, which leaves time to
	// read what changed within the bounds once the store is back.
	retryInterval = 300 * time.Millisecond
	longestRetry  = 900 * time.Millisecond
	// listShare is the part of the bound for leaving upstreams after which the list is read again. What is left covers
	// the call and its repeat.
	listShare = 0.45
)

// Subscriber follows the topics of one store.
type Subscriber struct {
	store        *platform.Store
	governor     *governor.Governor
	gossiper     *gossiper.Gossiper
	self         platform.Member
	listInterval time.Duration
	applyLimit   time.Duration
	log          zerolog.Logger
	done         chan struct{}

	mu     sync.Mutex
	topics []*topic
}

// NewSubscriber returns a subscriber; nothing is read before Run.
func NewSubscriber(
	store *platform.Store, g *governor.Governor, peers *gossiper.Gossiper, self platform.Member,
	drainLimit, applyLimit time.Duration,
	log zerolog.Logger,
) *Subscriber {
	return &Subscriber{
		store: store, governor: g, gossiper: peers, self: self,
		listInterval: time.Duration(listShare * float64(drainLimit)), applyLimit: applyLimit, log: log, done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (s *Subscriber) Done() <-chan struct{} { return s.done }

// Run follows all topics until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	defer close(s.done)
	configurations := &topic{
		name: platform.TopicConfiguration, wait: time.Duration(applyShare * float64(s.applyLimit)), take: s.takeConfigurations,
	}
	servers := &topic{
		name: platform.TopicServers, interval: s.listInterval, take: s.takeServers, failed: s.governor.StoreFailed,
	}
	members := &topic{name: platform.TopicMembers, wait: longWait, interval: memberInterval, take: s.takeMembers}
	s.topics = []*topic{configurations, servers, members}
	var group conc.WaitGroup
	group.Go(func() { s.follow(ctx, configurations) })
	group.Go(func() { s.follow(ctx, servers) })
	group.Go(func() {
		s.announce(ctx)
		s.follow(ctx, members)
	})
	group.Wait()
}

// topic is one followed topic. The store holds its reads for the wait; the interval is the least time between two reads.
type topic struct {
	name     string
	wait     time.Duration
	interval time.Duration
	// take applies records; whole is true when they are all keys that the topic holds.
	take   func(records []platform.Record, whole bool)
	failed func(now time.Time)

	next  uint64
	known bool
	away  bool
	// failures counts the failed reads in a row.
	failures int
	// cancel ends the read under way; nil between reads. The subscriber's mutex guards it.
	cancel context.CancelFunc
}

func (s *Subscriber) follow(ctx context.Context, t *topic) {
	for ctx.Err() == nil {
		started := time.Now()
		err := s.read(ctx, t)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, context.Canceled) {
			continue
		}
		pause := t.interval
		if err != nil {
			s.lose(t, err)
			pause = retryPause(t.failures)
		} else {
			s.regain(t)
		}
		if left := pause - time.Since(started); left > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(left):
			}
		}
	}
}

// read reads the next records, or all newest ones when the next are unknown or trimmed.
func (s *Subscriber) read(ctx context.Context, t *topic) error {
	wait := t.wait
	if !t.known {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	s.setCancel(t, cancel)
	defer s.setCancel(t, nil)
	if t.known {
		records, next, err := s.store.Read(ctx, t.name, t.next, t.wait)
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			s.log.Warn().Str("event", "historyTrimmed").Str("topic", t.name).Uint64("from", t.next).
				Uint64("start", trimmed.Start).Msg("Records were trimmed; reading the newest of each key")
		case err != nil:
			return err
		default:
			t.next = next
			t.take(records, false)
			return nil
		}
	}
	records, end, err := s.store.Newest(ctx, t.name)
	if err != nil {
		return err
	}
	t.next, t.known = end, true
	t.take(records, true)
	return nil
}

// retryPause returns the time between a failed call and its repeat after a number of failures in a row.
func retryPause(failures int) time.Duration {
	pause := retryInterval
	for range failures - 1 {
		pause = min(2*pause, longestRetry)
	}
	return pause
}

func (s *Subscriber) lose(t *topic, err error) {
	t.failures++
	if t.failed != nil {
		t.failed(time.Now())
	}
	if !t.away {
		t.away = true
		s.log.Warn().Err(err).Str("event", "storeLost").Str("topic", t.name).Uint64("next", t.next).
			Msg("Store does not answer; going on with what is known")
	}
}

func (s *Subscriber) regain(t *topic) {
	t.failures = 0
	if t.away {
		t.away = false
		s.log.Info().Str("event", "storeRegained").Str("topic", t.name).Uint64("next", t.next).Msg("Store answers again")
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

func (s *Subscriber) takeConfigurations(records []platform.Record, _ bool) {
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
	}
}

func (s *Subscriber) takeServers(records []platform.Record, whole bool) {
	now := time.Now()
	cause := "records"
	if whole {
		cause = "newest"
	}
	s.governor.UpdateUpstreams(now, cause, func(t *tracker.Tracker) bool {
		t.StoreBack(now)
		changed := false
		listed := map[identifier.UpstreamID]bool{}
		for _, r := range records {
			id := identifier.UpstreamID(r.Key)
			if len(r.Value) == 0 {
				changed = t.Dropped(now, id, r.Offset) || changed
				continue
			}
			// An entry that can't be read says nothing against the upstream's earlier one.
			listed[id] = true
			e, err := platform.DecodeServer(r.Key, r.Value)
			if err != nil {
				s.log.Warn().Err(err).Str("event", "upstreamUnreadable").Uint64("offset", r.Offset).Msg("Entry is skipped")
				continue
			}
			changed = t.Listed(e, r.Offset) || changed
		}
		if whole {
			changed = t.Retain(now, listed) || changed
		}
		return changed
	})
}

func (s *Subscriber) takeMembers(records []platform.Record, _ bool) {
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		m, err := platform.DecodeMember(r.Key, r.Value)
		if err != nil {
			s.log.Warn().Err(err).Str("event", "memberUnreadable").Uint64("offset", r.Offset).Msg("Entry is skipped")
			continue
		}
		s.gossiper.SetMember(gossiper.Member{
			Instance: m.Instance, Address: m.Address, StartedMs: m.StartedMs, Near: m.DataCentre == s.self.DataCentre,
		})
	}
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
		select {
		case <-ctx.Done():
		case <-time.After(retryPause(failures)):
		}
	}
}
