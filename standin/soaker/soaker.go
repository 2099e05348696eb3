// Package soaker runs gateways as separate processes before stand-ins of the platform, disturbs them at random from
// outside, and checks from what callers and upstreams see that every promise holds.
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/standin/platformer"
)

// Settings of one run.
type Settings struct {
	// Seed draws the faults and the callers' requests.
	Seed uint64
	// Rounds is how often a storm of faults and a calm follow each other; Storm is the length of one storm.
	Rounds int
	FaultPhase  time.Duration
	// Gateways and Callers are how many of them run.
	Gateways int
	Callers  int
	// Command starts one gateway; its settings file is named in the environment.
	Command []string
	// Directory keeps the gateways' settings and logs.
	Directory string
	// Network is the second byte of the loopback addresses, so that runs at the same time don't meet.
	Network int
	// Log takes the soak's own lines.
	Log io.Writer
}

// Report is the outcome of one run.
type Report struct {
	Seed     uint64
	Attempts int
	Served   int
	Arrivals int
	Faults   int
	Breaches []Breach
}

// String is the report's line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d requests, %d served, %d arrivals at upstreams, %d disturbances, %d breaches",
		r.Seed, r.Attempts, r.Served, r.Arrivals, r.Faults, len(r.Breaches))
}

const (
	// DefaultStorm is one storm in which about ten faults overlap; its last one may end a little later.
	DefaultFaultPhase = 6 * time.Second
	// calmLength is the time after the changes of a calm until the next storm: the bounds and a planned stop fit in.
	maintenanceLength = 4 * time.Second
	// recoveryLimit is the time in which all gateways serve again after the last disturbance; the platform gives 12 s.
	recoveryLimit = 12 * time.Second
	// startLimit is the time in which a calm system is ready.
	startLimit = 10 * time.Second
	// streamEvents is the length of each stream.
	streamEvents = 6
	// answerDelay is how long an upstream works on a request.
	answerDelay = 10 * time.Millisecond
)

// Services of the upstreams.
const (
	plainService = "plain"
	spareService = "spare"
	modelService = "model"
)

// backend is an upstream behind a proxy.
type backend struct {
	upstream *platformer.Upstream
	service  string
	proxy    *proxy
	// left is true once the upstream was told to leave.
	draining bool
}

// Soaker is one run.
type Soaker struct {
	settings  Settings
	random    *rand.Rand
	log       zerolog.Logger
	store     *platformer.Store
	server    *httptest.Server
	backends  []*backend
	processes []*process
	callers   []*caller
	client    *http.Client
	version   int

	mu       sync.Mutex
	disturbances    []disturbance
	changes  []plannedChange
	revision int
}

// NewSoaker starts the stand-ins; the gateways start with Run.
func NewSoaker(settings Settings) (*Soaker, error) {
	s := &Soaker{
		settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1)),
		log:   zerolog.New(zerolog.SyncWriter(settings.Log)).With().Timestamp().Logger(),
		store: platformer.NewStore(), client: &http.Client{Timeout: time.Second},
	}
	s.server = httptest.NewServer(s.store)
	for _, b := range []struct {
		id, service, stage string
	}{
		{"plain-1", plainService, ""},
		{"plain-2", plainService, ""},
		{"spare-1", spareService, ""},
		{"spare-2", spareService, ""},
		{"reader-1", modelService, "prefill"},
		{"model-1", modelService, "decode"},
		{"model-2", modelService, "decode"},
		{"model-3", modelService, "decode"},
	} {
		if err := s.addBackend(b.id, b.service, b.stage); err != nil {
			s.Close()
			return nil, err
		}
	}
	store := strings.TrimPrefix(s.server.URL, "http://")
	for i := range settings.Gateways {
		ip := fmt.Sprintf("127.%d.0.%d", settings.Network, i+1)
		p, err := newProcess(settings.Directory, fmt.Sprint("gateway-", i+1), ip, store, settings.Command)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.processes = append(s.processes, p)
	}
	return s, nil
}

func (s *Soaker) addBackend(id, service, stage string) error {
	events := 0
	if service == modelService {
		events = streamEvents
	}
	u := platformer.NewUpstream(id, stage, events)
	u.SetDelay(answerDelay)
	p, err := newProxy(u.Address())
	if err != nil {
		u.Close()
		return err
	}
	b := &backend{upstream: u, service: service, proxy: p}
	s.backends = append(s.backends, b)
	s.publish(b, "ready")
	return nil
}

func (s *Soaker) publish(b *backend, state string) {
	s.store.Put(platformer.TopicServers, b.upstream.ID, b.upstream.EntryAt(b.proxy.address(), b.service, state))
}

// Close ends all that the run started.
func (s *Soaker) Close() {
	for _, p := range s.processes {
		p.close()
	}
	for _, b := range s.backends {
		b.proxy.close()
		b.upstream.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

// Run plays all rounds and checks what was seen.
func (s *Soaker) Run(ctx context.Context) (Report, error) {
	s.configure(plainService)
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return Report{}, err
		}
	}
	if late := s.awaitReady(ctx, startLimit); late != "" {
		return Report{}, fmt.Errorf("soaker: %s was not ready within %v", late, startLimit)
	}
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	targets := make([]string, len(s.processes))
	for i, p := range s.processes {
		targets[i] = p.address(callerPort)
	}
	for i := range s.settings.Callers {
		c := newCaller(fmt.Sprint("c", i), rand.New(rand.NewPCG(s.settings.Seed, uint64(2+i))), targets)
		s.callers = append(s.callers, c)
		callers.Go(func() { c.run(calling) })
	}
	var breaches []Breach
	for round := range s.settings.Rounds {
		s.runFaultPhase(ctx, s.settings.FaultPhase)
		breaches = append(breaches, s.auditRecovery(ctx)...)
		sleep(ctx, settleTime)
		s.runMaintenancePhase(ctx, round)
		breaches = append(breaches, s.auditRecovery(ctx)...)
	}
	stopCalling()
	callers.Wait()
	h := s.gather()
	breaches = append(breaches, h.audit()...)
	served := 0
	for _, a := range h.attempts {
		if a.complete && a.status == http.StatusOK {
			served++
		}
	}
	return Report{s.settings.Seed, len(h.attempts), served, len(h.arrivals), len(s.disturbances), breaches}, ctx.Err()
}

// calm writes a configuration, lets one upstream leave and stops one gateway as planned, one shortly after the other.
func (s *Soaker) runMaintenancePhase(ctx context.Context, round int) {
	services := []string{spareService, plainService}
	service := services[round%len(services)]
	s.configure(service)
	b := s.pickServing(service)
	b.draining = true
	s.publish(b, "draining")
	s.recordChange(plannedChange{draining: b.upstream.ID})
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
	// The leaving upstream is replaced by a new one of the same kind.
	s.store.Put(platformer.TopicServers, b.upstream.ID, nil)
	id := fmt.Sprintf("%s-%d", strings.Split(b.upstream.ID, "-")[0], 10+round)
	if err := s.addBackend(id, b.service, b.upstream.Stage); err != nil {
		s.log.Error().Err(err).Str("event", "upstreamMissing").Str("upstream", id).Msg("Upstream is not replaced")
	}
}

// drawUsed chooses an upstream that gets requests while the plain routes lead to a service.
func (s *Soaker) pickServing(service string) *backend {
	var used []*backend
	for _, b := range s.backends {
		if !b.draining && (b.service == service || b.service == modelService) {
			used = append(used, b)
		}
	}
	return used[s.random.IntN(len(used))]
}

func (s *Soaker) configure(service string) {
	s.version++
	s.store.Put(platformer.TopicConfiguration, platformer.KeyConfiguration, fmt.Appendf(nil, routeTable, s.version, service, service))
	s.recordChange(plannedChange{service: service})
}

func (s *Soaker) recordChange(c plannedChange) {
	c.at = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, c)
	s.log.Info().Str("event", "changed").Str("service", c.service).Str("leaving", c.draining).Int("stopped", c.stoppedInstance).Msg("Planned change")
}

// auditRecovery waits until all gateways serve after the last disturbance.
func (s *Soaker) auditRecovery(ctx context.Context) []Breach {
	late := s.awaitReady(ctx, recoveryLimit)
	if late == "" {
		return nil
	}
	return []Breach{{PromiseRecovery, late, fmt.Sprintf("is not ready %v after the last disturbance", recoveryLimit)}}
}

// awaitReady waits until all gateways are ready; otherwise it names one that is not.
func (s *Soaker) awaitReady(ctx context.Context, limit time.Duration) string {
	from := time.Now()
	for {
		late := ""
		for i, p := range s.processes {
			if !p.ready(s.client) {
				late = p.name
				s.recordDisturbance(instanceSubject(i), from, time.Now())
			}
		}
		if late == "" || ctx.Err() != nil || time.Since(from) > limit {
			return late
		}
		sleep(ctx, shortGap)
	}
}

// gather collects what callers and upstreams have seen.
func (s *Soaker) gather() *history {
	h := &history{changes: s.changes, disturbances: s.disturbances, streamEvents: streamEvents}
	for _, c := range s.callers {
		c.mu.Lock()
		h.attempts = append(h.attempts, c.attempts...)
		c.mu.Unlock()
	}
	for _, b := range s.backends {
		for _, r := range b.upstream.Runs() {
			h.arrivals = append(h.arrivals, arrival{Run: r, upstream: b.upstream.ID, service: b.service})
		}
		for _, r := range b.upstream.Rejections() {
			h.arrivals = append(h.arrivals, arrival{Run: r, upstream: b.upstream.ID, service: b.service, rejected: true})
		}
	}
	slices.SortFunc(h.attempts, func(a, b *attempt) int { return a.sent.Compare(b.sent) })
	return h
}
