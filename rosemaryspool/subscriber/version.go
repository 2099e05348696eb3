package subscriber

import (
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/platform"
)

const (
	// laterWait is how long a later configuration that is in force at another instance may take to arrive by itself, from the
	// store or from a neighbour that has read it. It doubles with each request for one that can't be applied, maxLaterDoublings
	// times.
	laterWait         = 500 * time.Millisecond
	maxLaterDoublings = 5
	// nameInterval is the minimum time between two messages that only tell another instance the version in force here.
	nameInterval = time.Second
)

// HandleVersion handles the version of the configuration that another instance names as in force there; zero if it names
// none. The store may have returned from a copy that lacks the later one of two.
func (s *Subscriber) HandleVersion(from elector.Member, version uint64) {
	own := s.governor.ConfigurationVersion()
	switch {
	case version > own:
		s.awaitVersion(from, version)
	case version > 0 && version < own:
		s.nameVersion(from)
	}
}

// awaitVersion asks another instance for its configuration if that hasn't arrived by itself after a while.
func (s *Subscriber) awaitVersion(from elector.Member, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.awaitsVersion {
		return
	}
	s.awaitsVersion = true
	if own := s.governor.ConfigurationVersion(); own != s.askedAt {
		s.asks, s.askedAt = 0, own
	}
	time.AfterFunc(laterWait<<min(s.asks, maxLaterDoublings), func() {
		s.mu.Lock()
		s.awaitsVersion = false
		due := false
		if s.governor.ConfigurationVersion() < version {
			_, due = s.topicOf(platform.TopicConfiguration).requests.Ask(time.Now())
			s.asks++
		}
		s.mu.Unlock()
		if due {
			s.log.Info().Str("event", "laterConfigurationKnown").Uint64("version", version).
				Uint64("own", s.governor.ConfigurationVersion()).
				Str("peer", string(from.Instance)).Msg("Another instance has a later configuration in force; asking it")
			s.exchange.RequestViewOf(from, platform.TopicConfiguration)
		}
	})
}

// nameVersion tells an instance with an earlier configuration the version in force here.
func (s *Subscriber) nameVersion(to elector.Member) {
	now := time.Now()
	s.mu.Lock()
	due := now.Sub(s.named) >= nameInterval
	if due {
		s.named = now
	}
	s.mu.Unlock()
	if due {
		s.exchange.NameConfiguration(to)
	}
}
