// Package gossiper tells other instances what this one has running at each upstream, in datagrams: a lost one is replaced
// by the next.
package gossiper

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

const (
	// leastInterval is the time between two reports of changed work: about the time in which a short answer moves on.
	leastInterval = 10 * time.Millisecond
	// sendsPerSecond bounds the datagrams that one instance sends: at 30 µs for one it is 4 % of a core. In a larger system
	// reports become rarer instead.
	sendsPerSecond = 1200
	// meshLimit is the number of other instances up to which all are told of each change. In a larger system that holds
	// for the own data centre alone, whose upstreams these instances prefer.
	meshLimit = 15
	// farInterval is the time between reports to instances of other data centres in a larger system.
	farInterval = 250 * time.Millisecond
	// restInterval is the time between reports of unchanged work; peers forget an instance after a second of silence.
	restInterval = 300 * time.Millisecond
	// silentAfter is when a member that is not heard is told more rarely.
	silentAfter = 5 * time.Second
	// goneAfter is when a silent member no longer counts among those that share bounds. It is long, since members behind
	// a partition go on to use their shares.
	goneAfter = 30 * time.Second
	// silentInterval is the time between reports to silent members.
	silentInterval = 2 * time.Second
	// datagramBytes is the largest report: one packet of an ordinary network.
	datagramBytes = 1400
)

// Source is where this instance's work is known and that of others is wanted.
type Source interface {
	OwnLoads() map[identifier.UpstreamID]allocator.Load
	Changed() <-chan struct{}
	Learn(now time.Time, instance identifier.InstanceID, loads map[identifier.UpstreamID]allocator.Load)
	// SetInstances tells the number of instances and the age that reports between data centres have on average.
	SetInstances(count int, remoteAge time.Duration)
	Expire(now time.Time)
}

// member is another instance.
type member struct {
	address   netip.AddrPort
	startedMs int64
	sequence  uint64
	heard     time.Time
	toldAt    time.Time
	leaving   bool
	// near is true for an instance of the same data centre.
	near bool
}

// Member is another instance as it announced itself.
type Member struct {
	Instance  identifier.InstanceID
	Address   netip.AddrPort
	StartedMs int64
	// Near is true for an instance of the same data centre.
	Near bool
}

// Gossiper exchanges work reports with all members. Members is safe for concurrent use.
type Gossiper struct {
	instance  identifier.InstanceID
	startedMs int64
	source    Source
	socket    *net.UDPConn
	log       zerolog.Logger
	done      chan struct{}

	mu       sync.Mutex
	members  map[identifier.InstanceID]*member
	sequence uint64
	leaving  bool
}

// NewGossiper opens the socket at an address.
func NewGossiper(
	address netip.AddrPort, instance identifier.InstanceID, startedMs int64, source Source, log zerolog.Logger,
) (*Gossiper, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrap(err, "gossiper: listen")
	}
	return &Gossiper{
		instance: instance, startedMs: startedMs, source: source, socket: socket, log: log,
		done: make(chan struct{}), members: map[identifier.InstanceID]*member{},
	}, nil
}

// Close closes the socket of a gossiper that does not run.
func (g *Gossiper) Close() error { return g.socket.Close() }

// Done is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// SetMember adds or moves another instance. A record of this instance itself is ignored.
func (g *Gossiper) SetMember(told Member) {
	if told.Instance == g.instance {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[told.Instance]
	if m != nil && told.StartedMs < m.startedMs {
		return
	}
	if m == nil || m.startedMs != told.StartedMs {
		m = &member{startedMs: told.StartedMs, heard: time.Now()}
		g.members[told.Instance] = m
	}
	m.address, m.near = told.Address, told.Near
}

// Leave tells the members that this instance stops.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.tell(time.Now())
}

// Run receives and sends reports until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	defer close(g.done)
	received := make(chan struct{})
	go func() {
		defer close(received)
		g.receive(ctx)
	}()
	g.send(ctx)
	// The end of the socket ends the receiver.
	_ = g.socket.Close()
	<-received
}

func (g *Gossiper) send(ctx context.Context) {
	rest := time.NewTicker(restInterval)
	defer rest.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.source.Changed():
		case <-rest.C:
			g.source.Expire(time.Now())
		}
		told := g.tell(time.Now())
		interval := max(leastInterval, time.Duration(told)*time.Second/sendsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// tell sends the work to all members and returns their number.
func (g *Gossiper) tell(now time.Time) int {
	loads := g.source.OwnLoads()
	g.mu.Lock()
	g.sequence++
	report := &messenger.WorkReport{
		Instance: string(g.instance), StartedMs: g.startedMs, Sequence: g.sequence, Leaving: g.leaving,
		Upstreams: make([]*messenger.UpstreamWork, 0, len(loads)),
	}
	addresses, live := g.audience(now)
	remoteAge := time.Duration(0)
	if g.large() {
		remoteAge = farInterval / 2
	}
	g.mu.Unlock()
	g.source.SetInstances(1+live, remoteAge)
	for id, l := range loads {
		report.Upstreams = append(report.Upstreams, &messenger.UpstreamWork{
			Upstream: string(id), ShortAnswers: uint32(l.Short), LongAnswers: uint32(l.Long),
			ComingAnswers: uint32(l.Coming), PromptTokens: uint32(l.Reading),
		})
	}
	content, err := proto.Marshal(report)
	if err != nil || len(content) > datagramBytes {
		g.log.Error().Err(err).Str("event", "reportDropped").Int("bytes", len(content)).Msg("Work report is not sent")
		return len(addresses)
	}
	for _, address := range addresses {
		if _, err := g.socket.WriteToUDPAddrPort(content, address); err != nil {
			g.log.Debug().Err(err).Str("event", "reportDropped").Str("to", address.String()).Msg("Work report is not sent")
		}
	}
	return len(addresses)
}

// large tells whether there are too many instances to tell all of them each change.
func (g *Gossiper) large() bool { return len(g.members) > meshLimit }

// audience returns whom to tell now and how many other instances are live.
func (g *Gossiper) audience(now time.Time) ([]netip.AddrPort, int) {
	addresses := make([]netip.AddrPort, 0, len(g.members))
	live := 0
	for _, m := range g.members {
		silent := now.Sub(m.heard) > silentAfter
		if now.Sub(m.heard) <= goneAfter && !m.leaving {
			live++
		}
		if silent && now.Sub(m.toldAt) < silentInterval {
			continue
		}
		if !m.near && g.large() && now.Sub(m.toldAt) < farInterval {
			continue
		}
		m.toldAt = now
		addresses = append(addresses, m.address)
	}
	return addresses, live
}

func (g *Gossiper) receive(ctx context.Context) {
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		n, _, err := g.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Warn().Err(err).Str("event", "reportsUnreadable").Msg("Reading work reports failed")
				time.Sleep(restInterval)
			}
			continue
		}
		var report messenger.WorkReport
		if err := proto.Unmarshal(buffer[:n], &report); err != nil {
			g.log.Warn().Err(err).Str("event", "reportUnreadable").Int("bytes", n).Msg("Work report is skipped")
			continue
		}
		g.take(time.Now(), &report)
	}
}

func (g *Gossiper) take(now time.Time, report *messenger.WorkReport) {
	instance := identifier.InstanceID(report.GetInstance())
	g.mu.Lock()
	m := g.members[instance]
	if m == nil || report.GetStartedMs() < m.startedMs ||
		(report.GetStartedMs() == m.startedMs && report.GetSequence() <= m.sequence) {
		g.mu.Unlock()
		return
	}
	m.startedMs, m.sequence, m.heard, m.leaving = report.GetStartedMs(), report.GetSequence(), now, report.GetLeaving()
	g.mu.Unlock()
	loads := make(map[identifier.UpstreamID]allocator.Load, len(report.GetUpstreams()))
	for _, w := range report.GetUpstreams() {
		loads[identifier.UpstreamID(w.GetUpstream())] = allocator.Load{
			Short: int(w.GetShortAnswers()), Coming: int(w.GetComingAnswers()), Long: int(w.GetLongAnswers()), Reading: identifier.Tokens(w.GetPromptTokens()),
		}
	}
	g.source.Learn(now, instance, loads)
}
