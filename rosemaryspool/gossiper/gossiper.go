// Package gossiper exchanges work reports between instances: the requests that each has in flight at every upstream.
// Reports are UDP datagrams that hold the complete state, so the next one makes up for a lost one.
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
	// minReportInterval is the minimum time between two reports of changed load: half of the time in which a short
	// answer progresses.
	minReportInterval = 5 * time.Millisecond
	// maxSendsPerSecond limits the datagrams that one instance sends. At 30 µs per datagram that is 4 % of a core. In
	// a larger system reports become less frequent.
	maxSendsPerSecond = 1200
	// fullMeshLimit is the number of other instances up to which every change is reported to all of them. In a larger
	// system that applies only to instances in the same data centre, as they prefer the same upstreams.
	fullMeshLimit = 15
	// remoteInterval is the time between reports to instances in other data centres in a larger system.
	remoteInterval = 250 * time.Millisecond
	// heartbeatInterval is the time between reports of unchanged load. Peers discard an instance's load after a second
	// without reports.
	heartbeatInterval = 300 * time.Millisecond
	// silentAfter is the time without reports after which a member receives reports less often.
	silentAfter = 5 * time.Second
	// memberTTL is the time without reports after which a member no longer counts among the instances that share
	// limits. It is long because members behind a network partition continue to use their shares.
	memberTTL = 30 * time.Second
	// rankTTL is how long after its last report an instance counts in the order in which instances read the store. A
	// report is due at least every heartbeatInterval.
	rankTTL = time.Second
	// silentInterval is the time between reports to silent members.
	silentInterval = 2 * time.Second
	// maxDatagramBytes is the maximum size of a report; it fits into one packet at the usual MTU of 1500 bytes.
	maxDatagramBytes = 1400
)

// Source provides this instance's load and receives the loads of other instances.
type Source interface {
	// OwnLoads returns the requests that this instance has in flight, by upstream.
	OwnLoads() map[identifier.UpstreamID]allocator.Load
	// Changed receives a value after a change of this instance's load.
	Changed() <-chan struct{}
	// UpdatePeer replaces another instance's load.
	UpdatePeer(now time.Time, instance identifier.InstanceID, loads map[identifier.UpstreamID]allocator.Load)
	// SetInstances sets the number of instances and the average age of reports from other data centres.
	SetInstances(count int, remoteAge time.Duration)
	// Expire discards the loads of instances that have stopped reporting.
	Expire(now time.Time)
}

// member is the state of another instance.
type member struct {
	address        netip.AddrPort
	startedMs      int64
	sequence       uint64
	lastSeen       time.Time
	lastSentAt     time.Time
	leaving        bool
	sameDataCentre bool
}

// Member identifies an instance and where it receives reports.
type Member struct {
	Instance   identifier.InstanceID
	Address    netip.AddrPort
	DataCentre identifier.DataCentre
	StartedMs  int64
}

// Gossiper exchanges work reports with all members. Its methods are safe for concurrent use.
type Gossiper struct {
	self   Member
	source Source
	socket *net.UDPConn
	log    zerolog.Logger
	done   chan struct{}
	// viewsChanged receives a value when a new view of the store is to be reported.
	viewsChanged chan struct{}

	mu      sync.Mutex
	members map[identifier.InstanceID]*member
	// views holds by topic how far this instance has read the store.
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

// Close closes the socket of a gossiper that was never run.
func (g *Gossiper) Close() error { return g.socket.Close() }

// Done is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// SetMember adds another instance or updates its address. A record of this instance itself is ignored, and so is one
// of an earlier process. Start times are read from clocks that may be set back, so they order processes only while
// the instance reports.
func (g *Gossiper) SetMember(now time.Time, announced Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setMember(now, announced)
}

func (g *Gossiper) setMember(now time.Time, announced Member) {
	if announced.Instance == g.self.Instance {
		return
	}
	m := g.members[announced.Instance]
	if m != nil && announced.StartedMs < m.startedMs && now.Sub(m.lastSeen) < rankTTL {
		return
	}
	if m == nil || m.startedMs != announced.StartedMs {
		m = &member{startedMs: announced.StartedMs, lastSeen: now}
		g.members[announced.Instance] = m
	}
	m.address, m.sameDataCentre = announced.Address, announced.DataCentre == g.self.DataCentre
}

// OnView sets the function that is called with each view of the store that another instance reports. It must be set
// before Run.
func (g *Gossiper) OnView(f func(topic string, v pacer.View)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onView = f
}

// ShareView reports to the other instances how far this one has read a topic of the store.
func (g *Gossiper) ShareView(topic string, v pacer.View) {
	g.mu.Lock()
	g.views[topic] = v
	g.mu.Unlock()
	select {
	case g.viewsChanged <- struct{}{}:
	default:
		// A report is due already and will include the view.
	}
}

// Rank returns how many instances with recent reports precede this one in the order of their IDs. In a larger system
// only those in the same data centre count.
func (g *Gossiper) Rank(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	rank := 0
	for id, m := range g.members {
		if (m.sameDataCentre || !g.isLarge()) && !m.leaving && m.sequence > 0 && now.Sub(m.lastSeen) < rankTTL &&
			id < g.self.Instance {
			rank++
		}
	}
	return rank
}

// Leave reports to the members that this instance is stopping. Its later reports include this as well.
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
	// Closing the socket unblocks the receiver.
	_ = g.socket.Close()
	<-received
}

func (g *Gossiper) send(ctx context.Context) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.source.Changed():
		case <-g.viewsChanged:
		case <-heartbeat.C:
			g.source.Expire(time.Now())
		}
		sent := g.broadcast(time.Now())
		interval := max(minReportInterval, time.Duration(sent)*time.Second/maxSendsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// broadcast sends a report to all members to whom one is due and returns their number.
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
		g.log.Error().Err(err).Str("event", "reportDropped").Int("bytes", len(content)).
			Msg("Work report can't be encoded or is too large; not sent")
		return len(addresses)
	}
	for _, address := range addresses {
		if _, err := g.socket.WriteToUDPAddrPort(content, address); err != nil {
			g.log.Debug().Err(err).Str("event", "reportDropped").Str("to", address.String()).
				Msg("Sending a work report failed")
		}
	}
	return len(addresses)
}

// isLarge reports whether there are too many instances to report every change to all of them.
func (g *Gossiper) isLarge() bool { return len(g.members) > fullMeshLimit }

// recipients returns the members to whom a report is due, and how many other instances are live.
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
				g.log.Warn().Err(err).Str("event", "reportsUnreadable").Msg("Receiving work reports failed")
				time.Sleep(heartbeatInterval)
			}
			continue
		}
		var report messenger.WorkReport
		if err := proto.Unmarshal(buffer[:n], &report); err != nil {
			g.log.Warn().Err(err).Str("event", "reportUnreadable").Int("bytes", n).Msg("Skipping an invalid work report")
			continue
		}
		g.handleReport(time.Now(), &report)
	}
}

// handleReport passes a report's load and views on, unless it is older than the latest report of its sender.
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
			Short: int(w.GetShortAnswers()), AwaitingPrefill: int(w.GetComingAnswers()), Long: int(w.GetLongAnswers()),
			QueuedPrefill: identifier.Tokens(w.GetPromptTokens()),
		}
	}
	g.source.UpdatePeer(now, instance, loads)
	for _, v := range report.GetTopics() {
		age := time.Duration(v.GetAgeMs()) * time.Millisecond
		onView(v.GetTopic(), pacer.View{
			First: v.GetFirst(), Next: v.GetNext(), Changed: v.GetChanged(), ReadAt: now.Add(-age),
		})
	}
}

// updateSender adds a sender whose member record has not been read from the store yet, or that has restarted.
func (g *Gossiper) updateSender(now time.Time, report *messenger.WorkReport) {
	announced := Member{
		Instance:   identifier.InstanceID(report.GetInstance()),
		DataCentre: identifier.DataCentre(report.GetDataCentre()), StartedMs: report.GetStartedMs(),
	}
	m := g.members[announced.Instance]
	if m != nil && m.startedMs == announced.StartedMs {
		return
	}
	if text := report.GetAddress(); text != "" || m == nil {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			g.log.Warn().Err(err).Str("event", "reportUnreadable").Str("peer", report.GetInstance()).
				Msg("Skipping a work report with an invalid address")
			return
		}
		announced.Address = address
	} else {
		announced.Address = m.address
	}
	g.setMember(now, announced)
}
