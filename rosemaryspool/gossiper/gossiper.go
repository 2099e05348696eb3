// Package gossiper keeps the instances informed of each other's work and of the store: each instance reports its work to
// the arbiter of the service and to the arbiter's stand-by, and the instance that reads the store forwards what it has
// read within its data centre. Reports contain the complete work, so the next one makes up for a lost one.
package gossiper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/limiter"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/transmitter"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/wire/messenger"
)

const (
	// minReportInterval is the minimum time between two reports of changed work: half of the time in which a short
	// answer progresses.
	minReportInterval = 5 * time.Millisecond
	// busyInterval is the time between reports of unchanged work. Arbiters discard an instance's work after a second
	// without reports.
	busyInterval = 300 * time.Millisecond
	// streamInterval is the time between reports to the stand-by while there are streams to report.
	streamInterval = 50 * time.Millisecond
	// maxStreamReports bounds the reports to one instance in that time about streams that began before.
	maxStreamReports = 8
	// idleInterval is the time between reports of an instance without work.
	idleInterval = 2 * time.Second
	// standbyReports is the number of instances that may become arbiter soon and therefore get reports at busyInterval.
	standbyReports = 1
)

// reportKey identifies the reports of one process about one service.
type reportKey struct {
	instance identifier.InstanceID
	service  identifier.ServiceName
}

type lastReport struct {
	startedMs int64
	sequence  uint64
}

// Gossiper sends and receives work reports and views of the store.
type Gossiper struct {
	governor *governor.Governor
	courier  *courier.Courier
	log      zerolog.Logger
	done     chan struct{}
	// crashesSyncedAt is when a digest of the knowledge of crashes was last sent. Only Run uses it.
	crashesSyncedAt time.Time
	crashesDropped  metrics.Counter
	// seeds are the addresses of instances that are asked for views of the store while no other instance is known.
	seeds  []string
	onView func(topic string, v View)
	// newest returns the newest record of a key that this instance has applied.
	newest func(topic, key string) (Record, bool)

	fragmenter       *fragmenter
	snapshotsDropped metrics.Counter
	// packer is used by sendSnapshots alone.
	packer *packer

	mu sync.Mutex
	// crashesSentAt is when all knowledge of crashes was last sent to another instance that lacked some of it.
	crashesSentAt time.Time
	crashQuota    crashQuota
	// assembler joins the fragments of records that other instances forward.
	assembler assembler
	// snapshotRequests are to be looked at, transmitter holds the snapshots under way. sendsSnapshots is true while
	// sendSnapshots runs.
	snapshotRequests []snapshotRequest
	transmitter      *transmitter.Transmitter[outgoing]
	sendsSnapshots   bool
	// received holds the newest report of each other instance, so that outdated ones are recognised.
	received map[reportKey]lastReport
	// sentAt is when the last report about a service was sent to its arbiter, standbySentAt the same for the stand-by.
	sentAt        map[identifier.ServiceName]time.Time
	standbySentAt map[identifier.ServiceName]time.Time
	// streamsSentAt is the same for reports of streams to the other instances that keep them.
	streamsSentAt map[identifier.ServiceName]time.Time
	// streamsLeft tells of which services there were more streams to report then. Only Run uses it.
	streamsLeft map[identifier.ServiceName]bool
	// speedsSentAt is when the speeds of a service's upstreams were last handed on.
	speedsSentAt map[identifier.ServiceName]time.Time
}

// NewGossiper returns a gossiper that calls onView with each view of the store that another instance forwards. While no
// other instance is known, those at the addresses of seeds are asked. link is the rate of this instance's link in bytes per
// second, zero if unknown.
func NewGossiper(
	g *governor.Governor, c *courier.Courier, seeds []string, link identifier.Bytes, onView func(topic string, v View),
	log zerolog.Logger, registry metrics.Registry,
) *Gossiper {
	return &Gossiper{
		crashesDropped: metrics.GetOrRegisterCounter("crashDatagramsDropped", registry),
		governor:       g, courier: c, log: log, done: make(chan struct{}), seeds: seeds, onView: onView,
		newest:   func(string, string) (Record, bool) { return Record{}, false },
		received: map[reportKey]lastReport{}, sentAt: map[identifier.ServiceName]time.Time{},
		standbySentAt: map[identifier.ServiceName]time.Time{}, assembler: newAssembler(),
		fragmenter: newFragmenter(), packer: newPacker(), transmitter: newTransmitter(link),
		snapshotsDropped: metrics.GetOrRegisterCounter("snapshotsDropped", registry),
		streamsLeft:      map[identifier.ServiceName]bool{},
		streamsSentAt:    map[identifier.ServiceName]time.Time{},
		speedsSentAt:     map[identifier.ServiceName]time.Time{},
	}
}

// RestoreFrom has changes of records restored from what newest returns, the newest record of a key that this instance has
// applied. It must be called before the first datagram arrives.
func (g *Gossiper) RestoreFrom(newest func(topic, key string) (Record, bool)) { g.newest = newest }

// Done is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// Run sends reports until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	defer close(g.done)
	expires := time.Now().Add(busyInterval)
	streamsLeft := false
	for {
		wait := time.Until(expires)
		if streamsLeft {
			wait = min(wait, streamInterval)
		}
		if wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-g.governor.Changed():
			case <-time.After(wait):
			}
		}
		if now := time.Now(); !now.Before(expires) {
			g.governor.Expire(now)
			expires = now.Add(busyInterval)
		}
		streamsLeft = g.sendReports(time.Now())
		g.sendCrashReports(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(minReportInterval):
		}
	}
}

// sendReports sends the reports that are due. It reports whether there are streams of which other instances are to be told soon.
func (g *Gossiper) sendReports(now time.Time) (streamsLeft bool) {
	for _, service := range g.governor.Services() {
		g.sendSpeeds(now, service)
		self := g.governor.Self().Instance
		chosen := g.governor.Arbiters(now, service, 1+standbyReports)
		report, changed := g.governor.TakeReport(service, chosen[0])
		for i, m := range chosen {
			if m.Instance == self {
				continue
			}
			interval := busyInterval
			if len(report.Loads) == 0 {
				interval = idleInterval
			}
			if i == 0 && (changed || len(report.Begun) > 0 || g.due(now, g.sentAt, service, interval)) {
				g.courier.Send(m, &messenger.Datagram{Body: &messenger.Datagram_WorkReport{WorkReport: EncodeReport(report)}})
				g.markSent(now, g.sentAt, service)
			}
			if i > 0 && g.governor.StreamReportDue(now, service, m) {
				interval = streamInterval
			}
			if i > 0 && g.due(now, g.standbySentAt, service, interval) {
				standby := g.governor.PeekReport(service, m)
				g.courier.Send(m, &messenger.Datagram{Body: &messenger.Datagram_WorkReport{WorkReport: EncodeReport(standby)}})
				g.markSent(now, g.standbySentAt, service)
			}
		}
		streamsLeft = g.sendStreams(now, service, chosen) || streamsLeft
	}
	return streamsLeft
}

// sendStreams tells the instances that keep a service's streams where they began, but for those that get that with their reports.
// It reports whether there are more to tell of.
func (g *Gossiper) sendStreams(now time.Time, service identifier.ServiceName, reported []elector.Member) (left bool) {
	if !g.due(now, g.streamsSentAt, service, streamInterval) {
		return g.streamsLeft[service]
	}
	g.markSent(now, g.streamsSentAt, service)
	for _, m := range g.governor.StreamKeepers(now, service) {
		if !slices.Contains(reported, m) {
			g.sendStreamsTo(now, service, m)
		}
		left = left || g.governor.StreamReportDue(now, service, m)
	}
	g.streamsLeft[service] = left
	return left
}

func (g *Gossiper) sendStreamsTo(now time.Time, service identifier.ServiceName, to elector.Member) {
	for range maxStreamReports {
		begun := g.governor.TakeStreams(now, service, to)
		if len(begun) == 0 {
			return
		}
		report := &messenger.StreamReport{Begun: encodeOrigins(now, begun)}
		g.courier.Send(to, &messenger.Datagram{Body: &messenger.Datagram_StreamReport{StreamReport: report}})
	}
}

// HandleStreamReport applies where streams began, as another instance knows it.
func (g *Gossiper) HandleStreamReport(r courier.Received, m *messenger.StreamReport) {
	g.governor.LearnStream(r.At, decodeOrigins(r.At, m.GetBegun())...)
}

// due reports whether the last report about a service was sent at least an interval ago.
func (g *Gossiper) due(
	now time.Time, sentAt map[identifier.ServiceName]time.Time, service identifier.ServiceName, interval time.Duration,
) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(sentAt[service]) >= interval
}

func (g *Gossiper) markSent(now time.Time, sentAt map[identifier.ServiceName]time.Time, service identifier.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sentAt[service] = now
}

// Greet makes this instance known to its neighbours.
func (g *Gossiper) Greet() {
	for _, m := range g.governor.Neighbours() {
		g.courier.Send(m, &messenger.Datagram{})
	}
}

// Leave tells the other instances that this one is stopping.
func (g *Gossiper) Leave() {
	g.courier.Leave()
	told := map[identifier.InstanceID]bool{}
	tell := func(members []elector.Member) {
		for _, m := range members {
			if !told[m.Instance] && m.Instance != g.governor.Self().Instance {
				told[m.Instance] = true
				g.courier.Send(m, &messenger.Datagram{})
			}
		}
	}
	tell(g.governor.Neighbours())
	for _, service := range g.governor.Services() {
		tell(g.governor.Arbiters(time.Now(), service, 1+standbyReports))
	}
}

// HandleReport applies a work report unless it is older than the latest one of its sender.
func (g *Gossiper) HandleReport(r courier.Received, report *messenger.WorkReport) {
	key := reportKey{instance: r.Sender.Instance, service: identifier.ServiceName(report.GetService())}
	g.mu.Lock()
	last := g.received[key]
	isNew := last.startedMs != r.Sender.StartedMs || report.GetSequence() > last.sequence
	if isNew && g.governor.IsCurrent(r.Sender) {
		g.received[key] = lastReport{startedMs: r.Sender.StartedMs, sequence: report.GetSequence()}
	}
	g.mu.Unlock()
	if isNew {
		g.governor.ApplyReport(r.At, r.Sender, decodeReport(r.At, report))
	}
}

// EncodeReport returns the message for a report.
func EncodeReport(r governor.Report) *messenger.WorkReport {
	m := &messenger.WorkReport{
		Service: string(r.Service), Sequence: r.Sequence, FirstPending: r.FirstPending, PathLost: r.PathLost,
		Upstreams: make([]*messenger.UpstreamWork, 0, len(r.Loads)),
	}
	for id, l := range r.Loads {
		if tokens := encodeLevels(l); tokens != nil {
			m.Ranked = append(m.Ranked, &messenger.RankedWork{Upstream: uint32(len(m.Upstreams)), Tokens: tokens})
		}
		m.Upstreams = append(m.Upstreams, EncodeLoad(id, l))
	}
	m.Leaving, m.Removed = encodeLeaving(r.Leaving), encodeLeaving(r.Removed)
	for _, n := range r.Limits {
		m.Limits = append(m.Limits, &messenger.UpstreamLimit{
			Upstream: string(n.Upstream), Incarnation: n.Incarnation, Limited: n.Limit.Limited, PerSecond: n.Limit.PerSecond,
			AgeMs: identifier.Milliseconds(time.Since(n.Limit.NamedAt)),
		})
	}
	m.Begun = encodeOrigins(time.Now(), r.Begun)
	for _, o := range r.Observations {
		m.Observations = append(m.Observations, &messenger.Observation{
			Upstream: string(o.Upstream), Event: messenger.Observation_Event(o.Event), Outcome: uint32(o.Outcome),
			TookUs: uint32(max(0, o.Took.Microseconds())), Tokens: uint32(max(0, o.Tokens)), Direct: o.Direct,
			Incarnation: o.Incarnation,
		})
	}
	return m
}

func encodeLeaving(upstreams []governor.LeavingUpstream) []*messenger.LeavingUpstream {
	var encoded []*messenger.LeavingUpstream
	for _, l := range upstreams {
		encoded = append(encoded, &messenger.LeavingUpstream{
			Upstream: string(l.Upstream), Incarnation: l.Incarnation, Sequence: l.Sequence,
		})
	}
	return encoded
}

func decodeLeaving(encoded []*messenger.LeavingUpstream) []governor.LeavingUpstream {
	var upstreams []governor.LeavingUpstream
	for _, l := range encoded {
		upstreams = append(upstreams, governor.LeavingUpstream{
			Upstream: identifier.UpstreamID(l.GetUpstream()), Incarnation: l.GetIncarnation(), Sequence: l.GetSequence(),
		})
	}
	return upstreams
}

func decodeReport(at time.Time, m *messenger.WorkReport) governor.Report {
	r := governor.Report{
		Service: identifier.ServiceName(m.GetService()), Sequence: m.GetSequence(), FirstPending: m.GetFirstPending(),
		Loads: make(allocator.Loads, len(m.GetUpstreams())), PathLost: m.GetPathLost(),
	}
	for _, w := range m.GetUpstreams() {
		r.Loads[identifier.UpstreamID(w.GetUpstream())] = DecodeLoad(w)
	}
	for _, w := range m.GetRanked() {
		if i := int(w.GetUpstream()); i < len(m.GetUpstreams()) {
			id := identifier.UpstreamID(m.GetUpstreams()[i].GetUpstream())
			r.Loads[id] = decodeLevels(r.Loads[id], w.GetTokens())
		}
	}
	r.Leaving, r.Removed = decodeLeaving(m.GetLeaving()), decodeLeaving(m.GetRemoved())
	for _, n := range m.GetLimits() {
		r.Limits = append(r.Limits, allocator.NamedLimit{
			Upstream: identifier.UpstreamID(n.GetUpstream()), Incarnation: n.GetIncarnation(), Limit: limiter.Limit{
				Limited: n.GetLimited(), PerSecond: n.GetPerSecond(),
				NamedAt: at.Add(-time.Duration(n.GetAgeMs()) * time.Millisecond),
			},
		})
	}
	r.Begun = decodeOrigins(at, m.GetBegun())
	for _, o := range m.GetObservations() {
		r.Observations = append(r.Observations, allocator.Observation{
			Upstream: identifier.UpstreamID(o.GetUpstream()), Event: allocator.Event(o.GetEvent()),
			Outcome: allocator.Outcome(o.GetOutcome()), Took: time.Duration(o.GetTookUs()) * time.Microsecond,
			Tokens: identifier.Tokens(o.GetTokens()), Direct: o.GetDirect(), Incarnation: o.GetIncarnation(),
		})
	}
	return r
}

func encodeOrigins(now time.Time, origins []resumer.Origin) []*messenger.StreamOrigin {
	var encoded []*messenger.StreamOrigin
	for _, o := range origins {
		encoded = append(encoded, EncodeOrigin(now, o))
	}
	return encoded
}

func decodeOrigins(at time.Time, encoded []*messenger.StreamOrigin) []resumer.Origin {
	var origins []resumer.Origin
	for _, o := range encoded {
		origins = append(origins, DecodeOrigin(at, o))
	}
	return origins
}

// EncodeOrigin returns the message for the origin of a stream.
func EncodeOrigin(now time.Time, o resumer.Origin) *messenger.StreamOrigin {
	m := &messenger.StreamOrigin{
		Stream: uint64(o.Stream), Service: string(o.Service), Version: string(o.Version),
		LeftMs: identifier.Milliseconds(o.Until.Sub(now)),
	}
	if o.Process != (resumer.Process{}) {
		m.Upstream, m.Incarnation = string(o.Process.Upstream), o.Process.Incarnation
		m.ProcessAgeMs = identifier.Milliseconds(now.Sub(o.Process.Since))
	}
	return m
}

// DecodeOrigin returns the origin in a message that arrived at a time.
func DecodeOrigin(at time.Time, m *messenger.StreamOrigin) resumer.Origin {
	o := resumer.Origin{
		Stream: resumer.StreamID(m.GetStream()), Service: identifier.ServiceName(m.GetService()),
		Version: identifier.SoftwareVersion(m.GetVersion()),
		Until:   at.Add(time.Duration(m.GetLeftMs()) * time.Millisecond),
	}
	if m.GetUpstream() != "" {
		o.Process = resumer.Process{
			Upstream: identifier.UpstreamID(m.GetUpstream()), Incarnation: m.GetIncarnation(), Version: o.Version,
			Since: at.Add(-time.Duration(m.GetProcessAgeMs()) * time.Millisecond),
		}
	}
	return o
}

// EncodeLoad returns the message for the load at an upstream.
func EncodeLoad(id identifier.UpstreamID, l allocator.Load) *messenger.UpstreamWork {
	return &messenger.UpstreamWork{
		Upstream: string(id), ShortAnswers: uint32(max(0, l.Short)), LongAnswers: uint32(max(0, l.Long)),
		ComingAnswers: uint32(max(0, l.AwaitingPrefill)), PromptTokens: uint32(max(0, l.QueuedPrefill)),
		DeferredTokens: uint32(max(0, l.DeferredPrefill)),
	}
}

// DecodeLoad returns the load in a message.
func DecodeLoad(w *messenger.UpstreamWork) allocator.Load {
	return allocator.Load{
		Short: int(w.GetShortAnswers()), AwaitingPrefill: int(w.GetComingAnswers()), Long: int(w.GetLongAnswers()),
		QueuedPrefill:   identifier.Tokens(w.GetPromptTokens()),
		DeferredPrefill: identifier.Tokens(w.GetDeferredTokens()),
	}
}
