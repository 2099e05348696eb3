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
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/wire/messenger"
)

const (
	// leastInterval is the time between two reports of changed work: half of the time in which a short answer moves on.
	minReportInterval = 5 * time.Millisecond
	// sendsPerSecond bounds the datagrams that one instance sends: at 30 µs for one it is 4 % of a core. In a larger system
	// reports become rarer instead.
	maxSendsPerSecond = 1200
	// meshLimit is the number of other instances up to which all are told of each change. In a larger system that holds
	// for the own data centre alone, whose upstreams these instances prefer.
	fullMeshLimit = 15
	// farInterval is the time between reports to instances of other data centres in a larger system.
	remoteInterval = 250 * time.Millisecond
	// restInterval is the time between reports of unchanged work; peers forget an instance after a second of silence.
	heartbeatInterval = 300 * time.Millisecond
	// silentAfter is when a member that is not heard is told more rarely.
	silentAfter = 5 * time.Second
	// goneAfter is when a silent member no longer counts among those that share bounds. It is long, since members behind
	// a partition go on to use their shares.
	memberTTL = 30 * time.Second
	// rankMemory is how long an instance counts in the order of those that read the store after its last report: it is
	// told of at least every restInterval.
	rankTTL = time.Second
	// silentInterval is the time between reports to silent members.
	silentInterval = 2 * time.Second
	// datagramBytes is the largest report: one packet of an ordinary network.
	maxDatagramBytes = 1400
)

// Source is where this instance's work is known and that of others is wanted.
type Source interface {
	OwnLoads() map[identifier.UpstreamID]allocator.Load
	Changed() <-chan struct{}
	UpdatePeer(now time.Time, instance identifier.InstanceID, loads map[identifier.UpstreamID]allocator.Load)
	// SetInstances tells the number of instances and the age that reports between data centres have on average.
	SetInstances(count int, remoteAge time.Duration)
	Expire(now time.Time)
}

// member is another instance.
type member struct {
	address    netip.AddrPort
	startedMs  int64
	sequence   uint64
	lastSeen   time.Time
	lastSentAt time.Time
	leaving    bool
	// near is true for an instance of the same data centre.
	sameDataCentre bool
}

// Member is an instance as it announces itself.
type Member struct {
	Instance   identifier.InstanceID
	Address    netip.AddrPort
	DataCentre identifier.DataCentre
	StartedMs  int64
}

// Gossiper exchanges work reports with all members. Members is safe for concurrent use.
type Gossiper struct {
	self   Member
	source Source
	socket *net.UDPConn
	log    zerolog.Logger
	done   chan struct{}
	// shared gets a value when a view of the store is to be told.
	viewsChanged chan struct{}

	mu      sync.Mutex
	members map[identifier.InstanceID]*member
	// views tells by topic how far this instance has followed the store.
	views    map[string]pacer.View
	onView   func(topic string, v pacer.View)
	sequence uint64
	leaving  bool
}

// NewGossiper opens the socket at this instance's address.
func NewGossiper(self Member, source Source, log zerolog.Logger) (*Gossiper, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self.Address))
	if err != nil {
		return nil, eris.Wrap(err, "gossiper: listen")
	}
	return &Gossiper{
		self: self, source: source, socket: socket, log: log,
		done: make(chan struct{}), viewsChanged: make(chan struct{}, 1), members: map[identifier.InstanceID]*member{},
		views: map[string]pacer.View{}, onView: func(string, pacer.View) {},
	}, nil
}

// Close closes the socket of a gossiper that does not run.
func (g *Gossiper) Close() error { return g.socket.Close() }

// Done is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// SetMember adds or moves another instance. A record of this instance itself is ignored, and so is one of an earlier
// process. Start times come from clocks that may go back, so they order processes only while the instance is heard.
func (g *Gossiper) SetMember(now time.Time, told Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setMember(now, told)
}

func (g *Gossiper) setMember(now time.Time, told Member) {
	if told.Instance == g.self.Instance {
		return
	}
	m := g.members[told.Instance]
	if m != nil && told.StartedMs < m.startedMs && now.Sub(m.lastSeen) < rankTTL {
		return
	}
	if m == nil || m.startedMs != told.StartedMs {
		m = &member{startedMs: told.StartedMs, lastSeen: now}
		g.members[told.Instance] = m
	}
	m.address, m.sameDataCentre = told.Address, told.DataCentre == g.self.DataCentre
}

// OnView sets what is called with each view of the store that another instance tells. It must be set before Run.
func (g *Gossiper) OnView(f func(topic string, v pacer.View)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onView = f
}

// ShareView tells the others how far this instance has followed a topic of the store.
func (g *Gossiper) ShareView(topic string, v pacer.View) {
	g.mu.Lock()
	g.views[topic] = v
	g.mu.Unlock()
	select {
	case g.viewsChanged <- struct{}{}:
	default:
		// The report that is due already tells it.
	}
}

// Rank returns how many near instances that were heard lately come before this one in the order of their ids.
func (g *Gossiper) Rank(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	rank := 0
	for id, m := range g.members {
		if (m.sameDataCentre || !g.isLarge()) && !m.leaving && m.sequence > 0 && now.Sub(m.lastSeen) < rankTTL && id < g.self.Instance {
			rank++
		}
	}
	return rank
}

// Leave tells the members that this instance stops.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.broadcast(time.Now())
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
	rest := time.NewTicker(heartbeatInterval)
	defer rest.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.source.Changed():
		case <-g.viewsChanged:
		case <-rest.C:
			g.source.Expire(time.Now())
		}
		told := g.broadcast(time.Now())
		interval := max(minReportInterval, time.Duration(told)*time.Second/maxSendsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// tell sends the work to all members and returns their number.
func (g *Gossiper) broadcast(now time.Time) int {
	loads := g.source.OwnLoads()
	g.mu.Lock()
	g.sequence++
	report := &messenger.WorkReport{
		Instance: string(g.self.Instance), StartedMs: g.self.StartedMs, Sequence: g.sequence, Leaving: g.leaving,
		Address: g.self.Address.String(), DataCentre: string(g.self.DataCentre),
		Upstreams: make([]*messenger.UpstreamWork, 0, len(loads)),
	}
	for topic, v := range g.views {
		report.Topics = append(report.Topics, &messenger.TopicView{
			Topic: topic, First: v.First, Next: v.Next, Changed: v.Changed, AgeMs: uint32(now.Sub(v.ReadAt).Milliseconds()),
		})
	}
	addresses, live := g.recipients(now)
	remoteAge := time.Duration(0)
	if g.isLarge() {
		remoteAge = remoteInterval / 2
	}
	g.mu.Unlock()
	g.source.SetInstances(1+live, remoteAge)
	for id, l := range loads {
		report.Upstreams = append(report.Upstreams, &messenger.UpstreamWork{
			Upstream: string(id), ShortAnswers: uint32(l.Short), LongAnswers: uint32(l.Long),
			ComingAnswers: uint32(l.AwaitingPrefill), PromptTokens: uint32(l.QueuedPrefill),
		})
	}
	content, err := proto.Marshal(report)
	if err != nil || len(content) > maxDatagramBytes {
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
func (g *Gossiper) isLarge() bool { return len(g.members) > fullMeshLimit }

// audience returns whom to tell now and how many other instances are live.
func (g *Gossiper) recipients(now time.Time) ([]netip.AddrPort, int) {
	addresses := make([]netip.AddrPort, 0, len(g.members))
	live := 0
	for _, m := range g.members {
		silent := now.Sub(m.lastSeen) > silentAfter
		if now.Sub(m.lastSeen) <= memberTTL && !m.leaving {
			live++
		}
		if silent && now.Sub(m.lastSentAt) < silentInterval {
			continue
		}
		if !m.sameDataCentre && g.isLarge() && now.Sub(m.lastSentAt) < remoteInterval {
			continue
		}
		m.lastSentAt = now
		addresses = append(addresses, m.address)
	}
	return addresses, live
}

func (g *Gossiper) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := g.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Warn().Err(err).Str("event", "reportsUnreadable").Msg("Reading work reports failed")
				time.Sleep(heartbeatInterval)
			}
			continue
		}
		var report messenger.WorkReport
		if err := proto.Unmarshal(buffer[:n], &report); err != nil {
			g.log.Warn().Err(err).Str("event", "reportUnreadable").Int("bytes", n).Msg("Work report is skipped")
			continue
		}
		g.handleReport(time.Now(), &report)
	}
}

func (g *Gossiper) handleReport(now time.Time, report *messenger.WorkReport) {
	instance := identifier.InstanceID(report.GetInstance())
	g.mu.Lock()
	g.updateSender(now, report)
	m := g.members[instance]
	if m == nil || report.GetStartedMs() != m.startedMs || report.GetSequence() <= m.sequence {
		g.mu.Unlock()
		return
	}
	m.sequence, m.lastSeen, m.leaving = report.GetSequence(), now, report.GetLeaving()
	onView := g.onView
	g.mu.Unlock()
	loads := make(map[identifier.UpstreamID]allocator.Load, len(report.GetUpstreams()))
	for _, w := range report.GetUpstreams() {
		loads[identifier.UpstreamID(w.GetUpstream())] = allocator.Load{
			Short: int(w.GetShortAnswers()), AwaitingPrefill: int(w.GetComingAnswers()), Long: int(w.GetLongAnswers()), QueuedPrefill: identifier.Tokens(w.GetPromptTokens()),
		}
	}
	g.source.UpdatePeer(now, instance, loads)
	for _, v := range report.GetTopics() {
		age := time.Duration(v.GetAgeMs()) * time.Millisecond
		onView(v.GetTopic(), pacer.View{First: v.GetFirst(), Next: v.GetNext(), Changed: v.GetChanged(), ReadAt: now.Add(-age)})
	}
}

// introduce makes an instance known that reports before its record in the store was read, or that was started again.
func (g *Gossiper) updateSender(now time.Time, report *messenger.WorkReport) {
	told := Member{
		Instance:   identifier.InstanceID(report.GetInstance()),
		DataCentre: identifier.DataCentre(report.GetDataCentre()), StartedMs: report.GetStartedMs(),
	}
	m := g.members[told.Instance]
	if m != nil && m.startedMs == told.StartedMs {
		return
	}
	if text := report.GetAddress(); text != "" || m == nil {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			g.log.Warn().Err(err).Str("event", "reportUnreadable").Str("peer", report.GetInstance()).Msg("Address of an instance is no address")
			return
		}
		told.Address = address
	} else {
		told.Address = m.address
	}
	g.setMember(now, told)
}
