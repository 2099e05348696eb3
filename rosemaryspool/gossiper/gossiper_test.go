package gossiper

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// source is a Source that holds one instance's load and the loads received from others.
type source struct {
	mu        sync.Mutex
	own       map[identifier.UpstreamID]allocator.Load
	received  map[identifier.InstanceID]map[identifier.UpstreamID]allocator.Load
	instances int
	remoteAge time.Duration
	changed   chan struct{}
}

func newSource() *source {
	return &source{
		own:      map[identifier.UpstreamID]allocator.Load{},
		received: map[identifier.InstanceID]map[identifier.UpstreamID]allocator.Load{},
		changed:  make(chan struct{}, 1),
	}
}

func (s *source) OwnLoads() map[identifier.UpstreamID]allocator.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own
}

func (s *source) Changed() <-chan struct{} { return s.changed }

func (s *source) UpdatePeer(_ time.Time, i identifier.InstanceID, loads map[identifier.UpstreamID]allocator.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[i] = loads
}

func (s *source) SetInstances(count int, remoteAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances, s.remoteAge = count, remoteAge
}

func (s *source) Expire(time.Time) {}

func (s *source) peerLoad(i identifier.InstanceID) allocator.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[i]["u"]
}

func (s *source) setOwnLoad(l allocator.Load) {
	s.mu.Lock()
	s.own = map[identifier.UpstreamID]allocator.Load{"u": l}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func start(t *testing.T, name identifier.InstanceID) (*Gossiper, *source) {
	t.Helper()
	s := newSource()
	g, err := NewGossiper(Member{Instance: name, Address: loopback, DataCentre: "here", StartedMs: 5}, s, zerolog.Nop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go g.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-g.Done()
	})
	return g, s
}

func address(t *testing.T, g *Gossiper) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(g.socket.LocalAddr().String())
	require.NoError(t, err)
	return a
}

func TestInstancesExchangeLoads(t *testing.T) {
	a, sourceOfA := start(t, "a")
	b, sourceOfB := start(t, "b")
	a.SetMember(time.Now(), Member{Instance: "b", Address: address(t, b), StartedMs: 5})
	b.SetMember(time.Now(), Member{Instance: "a", Address: address(t, a), StartedMs: 5})
	load := allocator.Load{Short: 3, Long: 2, AwaitingPrefill: 1, QueuedPrefill: 9000}
	sourceOfA.setOwnLoad(load)
	require.Eventually(t, func() bool { return sourceOfB.peerLoad("a") == load }, time.Second, time.Millisecond)
	sourceOfA.setOwnLoad(allocator.Load{})
	require.Eventually(t, func() bool {
		return sourceOfB.peerLoad("a") == allocator.Load{}
	}, time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		sourceOfB.mu.Lock()
		defer sourceOfB.mu.Unlock()
		return sourceOfB.instances == 2
	}, time.Second, time.Millisecond)
}

func TestStaleReportsAreDropped(t *testing.T) {
	g, s := start(t, "a")
	g.SetMember(time.Now(), Member{Instance: "b", Address: netip.MustParseAddrPort("127.0.0.1:9"), StartedMs: 5})
	report := func(started int64, sequence uint64, short uint32) {
		g.handleReport(time.Now(), &messenger.WorkReport{
			Instance: "b", StartedMs: started, Sequence: sequence,
			Upstreams: []*messenger.UpstreamWork{{Upstream: "u", ShortAnswers: short}},
		})
	}
	for _, c := range []struct {
		name     string
		started  int64
		sequence uint64
		short    uint32
		want     int
	}{
		{"first report", 5, 2, 1, 1},
		{"report with an earlier sequence number", 5, 1, 9, 1},
		{"next report", 5, 3, 2, 2},
		{"report of an earlier process", 4, 9, 9, 2},
		{"first report after a restart", 6, 1, 3, 3},
	} {
		report(c.started, c.sequence, c.short)
		require.Equal(t, c.want, s.peerLoad("b").Short, c.name)
	}
	g.handleReport(time.Now(), &messenger.WorkReport{Instance: "stranger", Sequence: 1})
	require.NotContains(t, s.received, identifier.InstanceID("stranger"))
}

func TestLargeSystemReportsLessOftenToOtherDataCentres(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name       string
		members    int
		recipients int
		remoteAge  time.Duration
	}{
		{"small: every change is reported to all", 12, 12, 0},
		{"large: every change is reported within the data centre", 40, 20, remoteInterval / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSource()
			g, err := NewGossiper(
				Member{Instance: "self", Address: loopback, DataCentre: "here", StartedMs: 5}, s, zerolog.Nop(),
			)
			require.NoError(t, err)
			defer func() { require.NoError(t, g.Close()) }()
			for i := range c.members {
				g.SetMember(time.Now(), Member{
					Instance: identifier.InstanceID(fmt.Sprint(i)), Address: netip.MustParseAddrPort("127.0.0.1:9"),
					StartedMs: 5, DataCentre: []identifier.DataCentre{"here", "there"}[i%2],
				})
			}
			require.Equal(t, c.members, g.broadcast(now), "the first report must go to all")
			require.Equal(t, c.recipients, g.broadcast(now.Add(minReportInterval)))
			require.Equal(t, c.members, g.broadcast(now.Add(remoteInterval)))
			require.Equal(t, c.remoteAge, s.remoteAge)
		})
	}
}

func TestRestartAfterClockWentBackIsAccepted(t *testing.T) {
	s := newSource()
	g, err := NewGossiper(Member{Instance: "a", Address: loopback, StartedMs: 5}, s, zerolog.Nop())
	require.NoError(t, err)
	defer func() { require.NoError(t, g.Close()) }()
	report := func(at time.Time, started int64, short uint32) {
		g.handleReport(at, &messenger.WorkReport{
			Instance: "b", Address: "127.0.0.1:9", StartedMs: started, Sequence: 1,
			Upstreams: []*messenger.UpstreamWork{{Upstream: "u", ShortAnswers: short}},
		})
	}
	now := time.Now()
	report(now, 9000, 1)
	report(now.Add(heartbeatInterval), 5000, 2)
	require.Equal(t, 1, s.peerLoad("b").Short, "a late report of an earlier process must be dropped")
	report(now.Add(2*rankTTL), 5000, 3)
	require.Equal(t, 3, s.peerLoad("b").Short, "a process that started after the clock went back must be accepted")
}
