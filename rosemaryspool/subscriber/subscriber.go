// Package subscriber follows topics of the platform's store: the operator's configuration, the list of upstreams and
// the other instances. Few instances read the store and forward what they have read to their neighbours. While the store
// is unavailable the instance continues with the state that it knows.
package subscriber

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

const (
	// memberHold is how long the store may hold a read of the members. memberGap is the time between two of these reads,
	// so that instances that start together are read together.
	memberHold = 20 * time.Second
	memberGap  = time.Second
	// configurationHoldShare is the share of the apply limit for which the store may hold a long-poll read of the
	// configuration. The store may fail to wake the read, and its reader may be lost with all but the last backups: what
	// these need for their own reads and for applying is left of the limit.
	configurationHoldShare = 0.35
	// configurationGapShare is the share of the apply limit between two reads of the configuration, so that quick changes
	// are read together.
	configurationGapShare = 0.05
	// upstreamReadShare is the share of the drain limit after which the list of upstreams is read again. The rest
	// covers the call and one retry.
	upstreamReadShare = 0.45
)

// Store is the platform's store.
type Store interface {
	// ReadNewest returns the newest record of each key of a topic and the offset from which Read continues.
	ReadNewest(ctx context.Context, topic string, p platform.Paging) (platform.Batch, error)
	// Read returns the first records of a topic from an offset on. It waits for the first one.
	Read(ctx context.Context, topic string, from uint64, p platform.Polling) (platform.Batch, error)
	// Write appends a new value of a key.
	Write(ctx context.Context, topic, key string, value []byte) error
}

// Exchange carries views of the store between instances.
type Exchange interface {
	// ForwardView sends a view to the neighbours.
	ForwardView(topic string, v gossiper.View)
	// SendSnapshot sends what take returns to an instance that has asked for it; packed is true if it reads packed records.
	SendSnapshot(to elector.Member, topic string, packed bool, take func() gossiper.View)
	// SendPending tells an instance that has asked for a snapshot that there is one soon.
	SendPending(to elector.Member, topic string)
	// Greet makes this instance known to its neighbours.
	Greet()
	// RequestView asks another instance for the newest records of a topic, another one with each try.
	RequestView(topic string, try int)
	// RequestViewOf asks a certain instance for the newest records of a topic.
	RequestViewOf(to elector.Member, topic string)
	// ReportRemoved tells an instance the upstreams whose removal is known here and which an older copy of the store lists.
	ReportRemoved(to identifier.InstanceID, removed []governor.LeavingUpstream)
	// ConfigurationApplied has all further messages name the version of the configuration that is in force.
	ConfigurationApplied(version uint64)
	// NameConfiguration tells an instance the version of the configuration that is in force here.
	NameConfiguration(to elector.Member)
}

// Settings holds what determines when a subscriber calls the store.
type Settings struct {
	// DrainLimit and ApplyLimit are the times within which draining upstreams and configurations must be applied.
	DrainLimit time.Duration
	ApplyLimit time.Duration
	// KeyLimit is how old the knowledge of removed keys may be; zero means any age.
	KeyLimit time.Duration
	// FirstStart is true when the whole system starts for the first time, so no instance has a record in the store yet.
	FirstStart bool
}

// Subscriber follows the topics of one store and applies their records to the governor.
type Subscriber struct {
	store      Store
	governor   *governor.Governor
	exchange   Exchange
	firstStart bool
	log        zerolog.Logger
	done       chan struct{}
	// membersKnown is closed when the members have been read for the first time.
	membersKnown chan struct{}
	// configurations is used while the topic's applying mutex is held.
	configurations configurations
	// reports holds upstreams' reports that say nothing new, in the order of their offsets, until they are applied with the
	// records between them. It is used while the topic's applying mutex is held.
	reports []report

	mu     sync.Mutex
	topics []*topic
	// awaitsVersion is true while a later configuration may still arrive by itself, named is when another instance was last
	// told the version in force here.
	awaitsVersion bool
	named         time.Time
	// asks counts the requests for a later configuration while the version askedAt was in force.
	asks    int
	askedAt uint64
}

// NewSubscriber returns a subscriber; nothing is read before Run.
func NewSubscriber(
	store Store, g *governor.Governor, exchange Exchange, settings Settings, log zerolog.Logger,
) *Subscriber {
	s := &Subscriber{
		store: store, governor: g, exchange: exchange, firstStart: settings.FirstStart, log: log,
		done: make(chan struct{}), membersKnown: make(chan struct{}),
	}
	s.topics = []*topic{
		{name: platform.TopicConfiguration, apply: s.applyConfigurations, keepsNewest: s.configurations.outlasts},
		{
			name: platform.TopicServers, changes: s.serverChanges, apply: s.applyServers, onFailure: g.StoreUnavailable,
			onOutage: g.StoreAvailable, onReturn: g.StoreReturned, wanted: g.ListWanted(),
		},
		{name: platform.TopicMembers, apply: s.applyMembers},
	}
	for _, t := range s.topics {
		t.wake = make(chan struct{}, 1)
		t.wait = memberHold
		t.pacer = pacer.NewPacer(memberGap, memberHold)
		t.newest = map[string]platform.Record{}
	}
	s.SetLimits(settings.DrainLimit, settings.ApplyLimit, settings.KeyLimit)
	return s
}

// SetLimits replaces the time limits within which draining upstreams and configurations must be applied, and the age that
// the knowledge of removed keys may have.
func (s *Subscriber) SetLimits(drainLimit, applyLimit, keyLimit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if keyLimit > 0 {
		// A read must end well before the knowledge becomes too old.
		applyLimit = min(applyLimit, keyLimit-callTimeout)
	}
	for _, t := range s.topics {
		switch t.name {
		case platform.TopicConfiguration:
			t.wait = time.Duration(configurationHoldShare * float64(applyLimit))
			t.pacer.SetTimes(time.Duration(configurationGapShare*float64(applyLimit)), t.wait)
		case platform.TopicServers:
			t.wait = 0
			interval := time.Duration(upstreamReadShare * float64(drainLimit))
			t.pacer.SetTimes(interval, 0)
			s.governor.SetListInterval(interval)
		}
	}
}

// noteFollowed tells the governor how recent this instance's knowledge of the configuration or of the upstreams is. The
// store may have taken up to callTimeout to begin its response.
func (s *Subscriber) noteFollowed(t *topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	completeAt := t.pacer.CompleteAt()
	if !t.pacer.Synced() || completeAt.IsZero() {
		return
	}
	switch t.name {
	case platform.TopicConfiguration:
		s.governor.ConfigurationKnown(completeAt.Add(-callTimeout))
	case platform.TopicServers:
		if !t.pacer.BehindPeers() {
			s.governor.UpstreamsKnown(completeAt)
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
				s.join(ctx, t)
			} else {
				s.requestSnapshot(ctx, t)
			}
			s.follow(ctx, t)
		})
	}
	group.Wait()
}
