// Package soaker runs soak tests: it starts gateways as separate processes against stand-ins of the platform, injects
// random faults from outside, and checks every invariant against what callers and upstreams observe.
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/standin/emulator"
)

// Settings configures one run.
type Settings struct {
	// Seed seeds the random choice of the faults and of the callers' requests.
	Seed uint64
	// Rounds is the number of rounds, each a fault phase of length FaultPhase and a maintenance phase.
	Rounds     int
	FaultPhase time.Duration
	// Gateways is the number of gateway processes, Callers that of concurrent callers.
	Gateways int
	Callers  int
	// FatalRequests is true if some requests crash the upstreams that run them.
	FatalRequests bool
	// FalseAnswers is true if upstreams that respond falsely are the only faults.
	FalseAnswers bool
	// MixedVersions is true if upstreams of several software versions serve side by side.
	MixedVersions bool
	// Accounts is true if requests need the key of a client account, gateways report the accounts' usage, and some callers
	// are slow.
	Accounts bool
	// EventPause is the time between two events of a stream.
	EventPause time.Duration
	// Command starts one gateway, which finds the path of its settings file in the variable ROSEMARYSPOOL_CONFIG.
	Command []string
	// EarlierCommand starts a gateway of an earlier version; each gateway starts as one and is upgraded by its first restart.
	// Empty if there is none.
	EarlierCommand []string
	// Directory holds the gateways' settings files and logs.
	Directory string
	// Network is the second byte of the loopback addresses of gateways and upstreams. Concurrent runs need different ones.
	Network int
	// Log receives the log lines of the soak test itself.
	Log io.Writer
}

func (s *Settings) gatewayIP(i int) string { return fmt.Sprintf("127.%d.0.%d", s.Network, i+1) }

// upstreamIP returns the address of all upstreams and their proxies. No other run uses it: a gateway that doesn't know
// yet that an upstream has ended would else reach one of another run at the same port.
func (s *Settings) upstreamIP() string { return fmt.Sprintf("127.%d.1.1", s.Network) }

// claimAddress returns the address that a run keeps open, so that no other one uses its network.
func (s *Settings) claimAddress() string { return fmt.Sprintf("127.%d.2.1:47077", s.Network) }

// Report counts what one run sent, observed and injected, and lists the violations found.
type Report struct {
	Seed     uint64
	Attempts int
	Served   int
	Arrivals int
	Faults   int
	// Resumed counts the streams that callers have taken up again, WentOn those of them that were completed by that.
	Resumed int
	WentOn  int
	// UsageReports counts the reports of usage that reached the platform.
	UsageReports int
	Violations   []Violation
}

// String returns the report as one line of text.
func (r Report) String() string {
	return fmt.Sprintf(
		"seed %d: %d requests, %d served, %d arrivals at upstreams, %d disturbances, %d of %d resumed streams went on, %d usage reports, %d breaches",
		r.Seed, r.Attempts, r.Served, r.Arrivals, r.Faults, r.WentOn, r.Resumed, r.UsageReports, len(r.Violations))
}

const (
	// DefaultFaultPhase is long enough for about ten overlapping faults; the last one may end a little later.
	DefaultFaultPhase = 6 * time.Second
	// maintenanceLength is the time from the changes of a maintenance phase to its end. The limits for a change and a
	// planned stop fit in.
	maintenanceLength = 4 * time.Second
	// recoveryLimit is how long the gateways may take to be ready after the last disturbance; the platform allows 12 s.
	recoveryLimit = 12 * time.Second
	// startLimit is how long all gateways may take to be ready at the start, without faults.
	startLimit = 10 * time.Second
	// streamEvents is the number of events in each stream.
	streamEvents = 6
	// responseDelay is how long an upstream takes to respond to a request.
	responseDelay = 10 * time.Millisecond
)

// Services of the upstreams. The plain routes lead to one of the first two in turn, the streaming routes to the third.
const (
	plainService = "plain"
	spareService = "spare"
	modelService = "model"
)

// Soaker runs one soak test: the stand-ins, the gateway processes and the callers.
type Soaker struct {
	settings Settings
	random   *rand.Rand
	// copies draws the upstreams that copy refusals beside other faults, so that a seed's other faults are the same without.
	copies     *rand.Rand
	departures departures
	log        zerolog.Logger
	store      *emulator.Store
	server     *httptest.Server
	// claim is open as long as no other run may use the network.
	claim net.Listener
	// backends grows when upstreams are replaced; backendsMu guards it.
	backendsMu sync.Mutex
	backends   []*backend
	// replacing counts the crashed upstreams that are still to be replaced, crashes records when they crashed.
	replacing sync.WaitGroup
	crashes   []crash
	processes []*process
	callers   []*caller
	// keys, cloud and cloudServer are nil if there are no accounts.
	keys        *keyring
	cloud       *emulator.Cloud
	cloudServer *httptest.Server
	client      *http.Client
	// version is that of the latest configuration, service the one to which it routes plain requests.
	version int
	service string
	// older is the store's contents before the latest planned changes.
	older emulator.Copy

	// closed is closed at the end of the run.
	closed chan struct{}

	mu sync.Mutex
	// started counts the upstreams that replaced crashed ones.
	started      int
	disturbances []disturbance
	changes      []plannedChange
	revision     int
}

// NewSoaker starts the stand-ins. The gateways are started by Run.
func NewSoaker(settings Settings) (*Soaker, error) {
	claim, err := net.Listen("tcp", settings.claimAddress())
	if err != nil {
		return nil, fmt.Errorf("soaker: network %d is used by another run: %w", settings.Network, err)
	}
	s := &Soaker{
		claim:    claim,
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1)), departures: newDepartures(settings.Seed),
		copies: rand.New(rand.NewPCG(settings.Seed, copiesStream)),
		log:    zerolog.New(zerolog.SyncWriter(settings.Log)).With().Timestamp().Logger(),
		store:  emulator.NewStore(), client: &http.Client{Timeout: time.Second}, closed: make(chan struct{}),
	}
	s.server = httptest.NewServer(s.store)
	if settings.Accounts {
		// Some platforms refuse outdated tokens, others don't.
		s.cloud, s.keys = emulator.NewCloud(settings.Seed%2 == 1), newKeyring(settings.Callers)
		s.cloudServer = httptest.NewServer(s.cloud)
	}
	type backendSettings struct{ id, service, stage string }
	backends := []backendSettings{
		{"plain-1", plainService, ""},
		{"plain-2", plainService, ""},
		{"spare-1", spareService, ""},
		{"spare-2", spareService, ""},
		{"reader-1", modelService, "prefill"},
		{"model-1", modelService, "decode"},
		{"model-2", modelService, "decode"},
		{"model-3", modelService, "decode"},
		{"model-4", modelService, "decode"},
	}
	if settings.MixedVersions {
		// Three engines of each version.
		backends = append(backends,
			backendSettings{"model-5", modelService, "decode"}, backendSettings{"model-6", modelService, "decode"})
	}
	for _, b := range backends {
		if err := s.addBackend(b.id, b.service, b.stage); err != nil {
			s.Close()
			return nil, err
		}
	}
	store := strings.TrimPrefix(s.server.URL, "http://")
	for i := range settings.Gateways {
		p, err := newProcess(
			settings.Directory, fmt.Sprint(gatewayName, i+1), settings.gatewayIP(i), store, settings.Command,
		)
		if err != nil {
			s.Close()
			return nil, err
		}
		p.first = settings.EarlierCommand
		s.processes = append(s.processes, p)
		if settings.Accounts {
			p.duties, p.enforced = strings.TrimPrefix(s.cloudServer.URL, "http://"), settings.Seed%2 == 1
		}
		if err := p.writeSettings(0); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Close ends all processes, proxies and servers of the run.
func (s *Soaker) Close() {
	defer s.claim.Close()
	for _, p := range s.processes {
		p.close()
	}
	for _, b := range s.listBackends() {
		b.proxy.close()
		b.upstream.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
	if s.cloudServer != nil {
		s.cloudServer.Close()
	}
}

// Run runs all rounds and audits the observed history.
func (s *Soaker) Run(ctx context.Context) (Report, error) {
	s.configure(plainService)
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return Report{}, err
		}
	}
	if notReady := s.awaitReady(ctx, startLimit); notReady != "" {
		return Report{}, fmt.Errorf("soaker: %s was not ready within %v", notReady, startLimit)
	}
	callerContext, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	go s.watchStalls(callerContext)
	var callers sync.WaitGroup
	targets := make([]string, len(s.processes))
	for i, p := range s.processes {
		targets[i] = p.address(callerPort)
	}
	for i := range s.settings.Callers {
		c := newCaller(fmt.Sprint("c", i), rand.New(rand.NewPCG(s.settings.Seed, uint64(2+i))), targets)
		c.fatal = s.settings.FatalRequests && i < fatalCallers
		if s.settings.Accounts {
			c.keys, c.number, c.draws = s.keys, i, rand.New(rand.NewPCG(s.settings.Seed, keyStream+uint64(i)))
		}
		s.callers = append(s.callers, c)
		callers.Go(func() { c.run(callerContext) })
	}
	if s.settings.Accounts {
		for i := range slowCallers {
			c := newSlowCaller(i, rand.New(rand.NewPCG(s.settings.Seed, slowStream+uint64(i))), targets, s.keys)
			s.callers = append(s.callers, c)
			callers.Go(func() { c.runSlowly(callerContext) })
		}
	}
	var violations []Violation
	for round := range s.settings.Rounds {
		s.runFaultPhase(ctx, s.settings.FaultPhase)
		violations = append(violations, s.auditRecovery(ctx)...)
		sleep(ctx, settleTime)
		s.runMaintenancePhase(ctx, round)
		violations = append(violations, s.auditRecovery(ctx)...)
	}
	stopCallers()
	callers.Wait()
	close(s.closed)
	s.replacing.Wait()
	if s.settings.Accounts {
		violations = append(violations, s.auditMemory(ctx)...)
	}
	h := s.gather()
	violations = append(violations, h.audit()...)
	report := Report{
		Seed: s.settings.Seed, Attempts: len(h.attempts), Arrivals: len(h.arrivals), Faults: len(s.disturbances),
		UsageReports: len(h.calls), Violations: violations,
	}
	for _, a := range h.attempts {
		served, resumed := a.complete && a.status == http.StatusOK, a.resumes != ""
		if served {
			report.Served++
		}
		if resumed {
			report.Resumed++
		}
		if served && resumed {
			report.WentOn++
		}
	}
	return report, ctx.Err()
}

// runMaintenancePhase makes planned changes without faults, shortly after each other: it writes a configuration, drains
// one upstream, and stops and restarts one gateway.
func (s *Soaker) runMaintenancePhase(ctx context.Context, round int) {
	s.older = s.store.Copy()
	services := []string{spareService, plainService}
	service := services[round%len(services)]
	s.configure(service)
	b := s.pickServing(service)
	b.draining = true
	s.markEnded(b)
	var departed sync.WaitGroup
	d := s.drawDeparture()
	departed.Go(func() { s.depart(ctx, b, d) })
	sleep(ctx, s.randomDuration(shortGap, longGap))
	instance := s.random.IntN(len(s.processes))
	s.recordChange(plannedChange{stoppedInstance: instance + 1})
	var stopped sync.WaitGroup
	stopped.Go(func() {
		s.processes[instance].stop()
		s.restart(s.processes[instance])
	})
	sleep(ctx, maintenanceLength)
	stopped.Wait()
	departed.Wait()
	// Replace the drained upstream by a new one of the same service and stage.
	s.store.Put(emulator.TopicServers, b.upstream.ID, nil)
	id := fmt.Sprintf("%s-%d", strings.Split(b.upstream.ID, "-")[0], 10+round)
	if err := s.addBackend(id, b.service, b.upstream.Stage); err != nil {
		s.log.Error().Err(err).Str("event", "upstreamMissing").Str("upstream", id).
			Msg("Can't start the replacement upstream")
	}
}

func (s *Soaker) configure(service string) {
	s.version++
	s.service = service
	confirm := func() {}
	if s.keys != nil && s.version > 1 {
		confirm = s.keys.rotate(s.version)
	}
	s.putConfiguration()
	confirm()
	s.recordChange(plannedChange{service: service})
}

// putConfiguration writes the latest configuration.
func (s *Soaker) putConfiguration() {
	accounts := ""
	if s.keys != nil {
		accounts = `,"tenants":[` + s.keys.encode() + "]"
	}
	s.store.Put(
		emulator.TopicConfiguration, emulator.KeyConfiguration,
		fmt.Appendf(nil, routeTable, s.version, s.service, s.service, accounts),
	)
}

func (s *Soaker) recordChange(c plannedChange) {
	c.at = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, c)
	s.log.Info().Str("event", "changed").Str("service", c.service).Str("leaving", c.draining).
		Int("stopped", c.stoppedInstance).Msg("Planned change")
}

// auditRecovery waits until all gateways are ready and returns a violation if one isn't within recoveryLimit.
func (s *Soaker) auditRecovery(ctx context.Context) []Violation {
	notReady := s.awaitReady(ctx, recoveryLimit)
	if notReady == "" {
		return nil
	}
	return []Violation{{
		InvariantRecovery, notReady, fmt.Sprintf("not ready %v after the last disturbance", recoveryLimit),
	}}
}

// awaitReady waits until all gateways are ready. It returns the name of one that isn't when the limit has passed or ctx
// has ended, else the empty string. Time in which a gateway isn't ready counts as a disturbance of it.
func (s *Soaker) awaitReady(ctx context.Context, limit time.Duration) string {
	start := time.Now()
	for {
		notReady := ""
		for i, p := range s.processes {
			if !p.ready(s.client) {
				notReady = p.name
				s.recordDisturbance(instanceSubject(i), start, time.Now())
			}
		}
		if notReady == "" || ctx.Err() != nil || time.Since(start) > limit {
			return notReady
		}
		sleep(ctx, shortGap)
	}
}
