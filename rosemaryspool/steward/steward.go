// Package steward holds the leases under which one instance at a time makes calls to the platform, and reports usage.
package steward

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/meterer"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/wire/messenger"
)

// Scopes of the duties' leases.
const (
	ScopeUsage identifier.Scope = "usage"
	ScopeScale identifier.Scope = "scale"
)

const (
	// Candidates is how many instances follow the leases and may hold them. Each makes about one call to the store a second.
	Candidates = 3
	// clockMargin covers the drift of two clocks over a lease.
	clockMargin = 250 * time.Millisecond
	// renewShare is the share of a lease after which it is renewed, so that one renewal may fail.
	renewShare = 1.0 / 3
	// claimInterval is the least time between two claims. A candidate leaves one claim more to each one before it.
	claimInterval = 300 * time.Millisecond
	// maxFlight is how long a call that got no response may be under way at the platform after its time limit. It counts
	// only where the platform doesn't refuse outdated tokens.
	maxFlight = 4 * time.Second
	// returnTime is how long an instance's last calls of an earlier lease may matter.
	returnTime = 30 * time.Second
)

// holderSeparator stands between an instance and the start of its process in the name of a holder.
const holderSeparator = "/"

// Store is the part of the platform's store that the steward uses.
type Store interface {
	ReadNewest(ctx context.Context, topic string, p platform.Paging) (platform.Batch, error)
	Read(ctx context.Context, topic string, from uint64, p platform.Polling) (platform.Batch, error)
	Append(ctx context.Context, topic string, at uint64, records []platform.Record) (identifier.Era, error)
}

// Cloud takes the reports of usage.
type Cloud interface {
	ReportUsage(ctx context.Context, fence platform.Fence, report []byte) error
}

// Peers tells which instances there are and which are candidates for the duties' leases, this one included.
type Peers interface {
	Self() elector.Member
	Stewards(limit int) []elector.Member
	// Instances returns how many instances there are.
	Instances() int
}

// Sender sends datagrams to other instances.
type Sender interface {
	Send(to elector.Member, d *messenger.Datagram)
}

// Steward holds the duties' leases of one instance and reports usage. It is safe for concurrent use.
type Steward struct {
	settings platform.DutySettings
	store    Store
	cloud    Cloud
	peers    Peers
	sender   Sender
	log      zerolog.Logger
	registry metrics.Registry
	// elapsed is a steady clock that also runs while the machine is suspended.
	elapsed func() time.Duration
	holder  string
	done    chan struct{}
	// appending holds a value from the choice of an append's offset to its result.
	appending chan struct{}

	mu      sync.Mutex
	leaser  *leaser.Leaser
	leaving bool
	// permitter decides when the calls of a lease may be made.
	permitter *leaser.Permitter
	// state replays the topic in one era; nil while this instance doesn't follow the topic.
	state *replayer.State
	era   identifier.Era
	// everRead is true once the topic was read.
	everRead bool
	// grantedAt is when the latest grant was read.
	grantedAt time.Time
	// deferred counts the claims that this candidate has left to those before it.
	deferred int
	// unsure is true if records of this instance may have been appended without its knowledge.
	unsure  bool
	records uint64

	clock     *meterer.Clock
	counter   *meterer.Counter
	collector *meterer.Collector
	// collected is the version of the counter up to which the collector has its counts.
	collected uint64
	ledger    *meterer.Ledger
	exchange  exchange
}

// NewSteward returns a steward; it holds and sends nothing before Run.
func NewSteward(
	settings platform.DutySettings, store Store, cloud Cloud, peers Peers, sender Sender, log zerolog.Logger,
	registry metrics.Registry,
) *Steward {
	return newSteward(settings, store, cloud, peers, sender, log, registry, sinceBoot())
}

func newSteward(
	settings platform.DutySettings, store Store, cloud Cloud, peers Peers, sender Sender, log zerolog.Logger,
	registry metrics.Registry, elapsed func() time.Duration,
) *Steward {
	self := peers.Self()
	s := &Steward{
		settings: settings, store: store, cloud: cloud, peers: peers, sender: sender, log: log, registry: registry,
		elapsed: elapsed, holder: fmt.Sprintf("%s%s%d", self.Instance, holderSeparator, self.StartedMs), done: make(chan struct{}),
		appending: make(chan struct{}, 1), counter: meterer.NewCounter(), collector: meterer.NewCollector(),
		exchange: newExchange(self),
	}
	s.leaser = leaser.NewLeaser(leaser.Settings{
		Holder: s.holder, Duration: settings.LeaseDuration, Margin: clockMargin, RetryEvery: claimInterval,
		RenewEvery: time.Duration(renewShare * float64(settings.LeaseDuration)),
	})
	s.permitter = leaser.NewPermitter(permitSettings(settings), s.now())
	s.clock = meterer.NewClock(time.Now(), s.elapsed())
	s.ledger = meterer.NewLedger(settings.ReportWindow, settings.ReportDelay, encodeUsage)
	return s
}

// Done is closed when Run has returned.
func (s *Steward) Done() <-chan struct{} { return s.done }

// Run holds leases and reports usage until ctx ends.
func (s *Steward) Run(ctx context.Context) {
	defer close(s.done)
	var group conc.WaitGroup
	group.Go(func() { s.keepLeases(ctx) })
	group.Go(func() { s.exchangeUsage(ctx) })
	group.Go(func() { s.watchStandstill(ctx) })
	if s.settings.ReportsUsage {
		group.Go(func() { s.reportUsage(ctx) })
	}
	group.Wait()
}

// Leave ends the candidacy of an instance that is stopping: its leases lapse.
func (s *Steward) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// now returns the time on the clock that bounds leases.
func (s *Steward) now() time.Time { return time.Unix(0, 0).Add(s.elapsed()) }

// Lease returns the fence of a duty's calls while this instance may make them. A call may be made only if it is certain
// to have been sent, and its time limit to be over, before until.
func (s *Steward) Lease(scope identifier.Scope) (fence platform.Fence, until time.Time, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	lease, held := s.leaser.Held(now, scope)
	if !held || !s.permitter.Permits(now, lease) {
		return platform.Fence{}, time.Time{}, false
	}
	fence = platform.Fence{Holder: s.peers.Self().Instance, Token: lease.Token}
	return fence, time.Now().Add(lease.ExpiresAt.Sub(now)), true
}

// permitSettings returns when the duties' calls may be made. Where the platform doesn't refuse outdated tokens, a holder
// waits for calls of earlier ones that may still arrive.
func permitSettings(settings platform.DutySettings) leaser.PermitSettings {
	permits := leaser.PermitSettings{ReturnWait: settings.LeaseDuration, ReturnTime: returnTime}
	if !settings.FencingEnforced {
		permits.Flight = maxFlight
	}
	return permits
}

// isOther reports whether a holder is a process of another instance.
func (s *Steward) isOther(holder string) bool {
	instance, _, _ := strings.Cut(holder, holderSeparator)
	return holder != "" && instance != string(s.peers.Self().Instance)
}

// Refused records that the platform refused a call for a higher token: no further call is made with this one.
func (s *Steward) Refused(scope identifier.Scope, token identifier.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.permitter.Refused(scope, token) {
		return
	}
	s.leaser.ReplaceToken(scope)
	s.count("tokensRefused")
	s.log.Warn().Str("event", "tokenRefused").Str("scope", string(scope)).Uint64("token", uint64(token)).
		Msg("The platform has seen a higher token; this one is not used any more")
}

// scopes returns the scopes of the duties that there are.
func (s *Steward) scopes() []identifier.Scope {
	var scopes []identifier.Scope
	if s.settings.OrdersServers {
		scopes = append(scopes, ScopeScale)
	}
	if s.settings.ReportsUsage {
		scopes = append(scopes, ScopeUsage)
	}
	return scopes
}

func (s *Steward) count(name string) {
	metrics.GetOrRegisterCounter("duties."+name, s.registry).Inc(1)
}

// pause waits, and returns false if ctx has ended.
func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
