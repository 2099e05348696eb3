package gossiper

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/core/limiter"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/governor"
)

// sink receives the datagrams for all other instances and counts them.
type sink struct {
	socket           net.PacketConn
	datagrams, bytes atomic.Int64
}

func newSink(b *testing.B) *sink {
	b.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(b, err)
	s := &sink{socket: socket}
	b.Cleanup(func() { _ = socket.Close() })
	go func() {
		buffer := make([]byte, courier.MaxDatagramBytes)
		for {
			n, _, err := socket.ReadFrom(buffer)
			if err != nil {
				return
			}
			s.datagrams.Add(1)
			s.bytes.Add(int64(n))
		}
	}()
	return s
}

// newBusyInstance starts the gossiper of one of many instances in three data centres, before 30 upstreams.
func newBusyInstance(b *testing.B, instances int, s *sink) (*Gossiper, *governor.Governor) {
	b.Helper()
	self := elector.Member{Instance: "instance-0", Address: "127.0.0.1:0", DataCentre: "dc-0", Capacity: 1, StartedMs: 5}
	g := governor.NewGovernor(governor.Settings{
		Self:  self,
		Retry: budgeter.Settings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, Allocator: allocator.DefaultSettings(),
	}, zerolog.Nop())
	for n := 1; n < instances; n++ {
		g.SetMember(time.Now(), elector.Member{
			Instance: identifier.InstanceID(fmt.Sprint("instance-", n)), Address: s.socket.LocalAddr().String(),
			DataCentre: identifier.DataCentre(fmt.Sprint("dc-", n%3)), Capacity: 400, StartedMs: 5,
		})
	}
	g.UpdateUpstreams(time.Now(), governor.Origin{}, func(tr *tracker.Tracker) bool {
		for n := range 30 {
			tr.Update(tracker.Entry{
				Upstream: identifier.UpstreamID(fmt.Sprintf("i-%010x", n)), Service: service, Slots: 6, Incarnation: 1,
			}, uint64(n+1))
		}
		return true
	})
	socket, err := courier.Listen(self.Address)
	require.NoError(b, err)
	c := courier.NewCourier(self, socket, zerolog.Nop(), metrics.NewRegistry())
	peers := NewGossiper(g, c, nil, 0, nil, zerolog.Nop(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	go peers.Run(ctx)
	b.Cleanup(func() {
		cancel()
		<-peers.Done()
		_ = c.Close()
	})
	return peers, g
}

// request places requests of the instance, 35 a second, until stop is closed.
func request(g *governor.Governor, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / 35)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		placement, refusal := g.Place(time.Now(), allocator.Request{
			Service: service, Target: time.Second, TimeToTarget: time.Second, TimeToDeadline: 2 * time.Second, RateShare: 1,
		})
		if refusal == nil {
			time.AfterFunc(60*time.Millisecond, func() {
				g.Ended(time.Now(), time.Now(), placement, allocator.OutcomeCompleted)
			})
		}
	}
}

// BenchmarkMessages counts the datagrams that one instance sends in a second, without placement requests, their replies and
// forwarded records of the store.
func BenchmarkMessages(b *testing.B) {
	for _, instances := range []int{7, 83, 295} {
		for _, scenario := range []struct {
			name string
			play func(*Gossiper, *governor.Governor, tracker.Entry)
		}{
			{"calm", func(*Gossiper, *governor.Governor, tracker.Entry) {}},
			{"crash", func(_ *Gossiper, g *governor.Governor, e tracker.Entry) {
				traits := make([]isolator.Trait, 12)
				for n := range traits {
					traits[n] = isolator.Trait(n + 1)
				}
				g.RecordBroken(time.Now(), time.Now().Add(-time.Millisecond), e, traits)
				g.RecordEnd(time.Now(), e)
			}},
			{"lostPath", func(_ *Gossiper, g *governor.Governor, _ tracker.Entry) {
				g.ProbeEnded(time.Now(), service, false)
			}},
			{"limit", func(_ *Gossiper, g *governor.Governor, e tracker.Entry) {
				g.Notify(e, allocator.Notice{Limit: limiter.Limit{Limited: true, PerSecond: 5, NamedAt: time.Now()}})
			}},
			{"leaving", func(_ *Gossiper, g *governor.Governor, e tracker.Entry) {
				g.Notify(e, allocator.Notice{Leaving: true})
			}},
			{"start", func(peers *Gossiper, _ *governor.Governor, _ tracker.Entry) { peers.Greet() }},
		} {
			b.Run(fmt.Sprintf("%d/%s", instances, scenario.name), func(b *testing.B) {
				s := newSink(b)
				peers, g := newBusyInstance(b, instances, s)
				stop, stopped := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(stopped)
					request(g, stop)
				}()
				time.Sleep(500 * time.Millisecond)
				for b.Loop() {
					datagrams, bytes := s.datagrams.Load(), s.bytes.Load()
					entry, listed := g.Entry("i-0000000000")
					require.True(b, listed)
					scenario.play(peers, g, entry)
					time.Sleep(time.Second)
					b.ReportMetric(float64(s.datagrams.Load()-datagrams), "datagrams/s")
					b.ReportMetric(float64(s.bytes.Load()-bytes), "bytes/s")
				}
				close(stop)
				<-stopped
			})
		}
	}
}
