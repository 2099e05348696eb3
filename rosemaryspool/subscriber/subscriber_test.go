package subscriber

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/standin/platformer"
)

// Bounds of the platform.
const (
	drainLimit = 2 * time.Second
	applyLimit = 2 * time.Second
)

// startCalls are the calls of a start: the newest records of three topics, and the instance's own record.
const startCalls = 4

// world is a stand-in store and the instances that follow it.
type world struct {
	store *platformer.Store
	// governor belongs to the first instance.
	governor  *governor.Governor
	instances []*instance
}

type instance struct {
	governor *governor.Governor
	stop     func()
}

func newWorld(t *testing.T, prepare func(*platformer.Store)) *world {
	return newLargeWorld(t, 1, prepare)
}

func newLargeWorld(t *testing.T, instances int, prepare func(*platformer.Store)) *world {
	t.Helper()
	store := platformer.NewStore()
	if prepare != nil {
		prepare(store)
	}
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	w := &world{store: store}
	for i := range instances {
		w.instances = append(w.instances, newInstance(t, fmt.Sprint("spool-", i+1), strings.TrimPrefix(server.URL, "http://")))
	}
	w.governor = w.instances[0].governor
	return w
}

func newInstance(t *testing.T, name, store string) *instance {
	t.Helper()
	g := governor.NewGovernor(governor.Settings{
		Retry:    budgeter.Settings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		Allocate: allocator.DefaultSettings(),
	}, zerolog.Nop())
	self := platform.Member{Instance: identifier.InstanceID(name), Address: freeAddress(t), StartedMs: 1}
	peers, err := gossiper.NewGossiper(gossiper.Member(self), g, zerolog.Nop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s := NewSubscriber(platform.NewStore(store), g, peers, self, drainLimit, applyLimit, zerolog.Nop())
	go peers.Run(ctx)
	go s.Run(ctx)
	stop := func() {
		cancel()
		<-s.Done()
		<-peers.Done()
	}
	t.Cleanup(stop)
	return &instance{governor: g, stop: stop}
}

// freeAddress returns an address at which datagrams can be received.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { require.NoError(t, socket.Close()) }()
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// ready waits until all instances serve and have heard of each other.
func (w *world) ready(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, i := range w.instances {
			if !i.governor.Ready() || i.governor.Instances() != len(w.instances) {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond)
}

func configuration(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","path-prefix":"/p/","kind":"idempotent",`+
		`"service":"s","timeout-ms":1000}],"services":[{"name":"s","max-connections":10}]}`, version)
}

func server(state string) []byte {
	return fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":%q,"sequence":1,"born":1}`, state)
}

func (w *world) version() uint64 {
	if table := w.governor.Table(); table != nil {
		return table.Configuration().Version
	}
	return 0
}

func TestConfigurationIsInForceSoonAfterTheStoreReturns(t *testing.T) {
	for _, c := range []struct {
		name string
		// known is true when the instance had a configuration before the store went away.
		known bool
		fault platformer.Fault
	}{
		{"silent from the start", false, platformer.Silent},
		{"silent during a long read", true, platformer.Silent},
		{"busy", true, platformer.Busy},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, func(s *platformer.Store) {
				s.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(1))
				if !c.known {
					s.SetFault(c.fault)
				}
			})
			if c.known {
				require.Eventually(t, func() bool { return w.version() == 1 }, time.Second, time.Millisecond)
				w.store.SetFault(c.fault)
				w.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
			}
			time.Sleep(2 * time.Second)
			w.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(3))
			w.store.SetFault(platformer.Healthy)
			require.Eventually(t, func() bool { return w.version() == 3 }, drainLimit, time.Millisecond)
		})
	}
}

// listed tells whether the list of upstreams was read.
func (w *world) listed() bool { return w.store.Calls() >= startCalls }

func TestUnreadableEntriesLeaveTheOthers(t *testing.T) {
	w := newWorld(t, func(s *platformer.Store) {
		s.Put(platform.TopicServers, "good", server("ready"))
		s.Put(platform.TopicServers, "textSlots", []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":"6","state":"ready"}`))
		s.Put(platform.TopicServers, "noState", []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":6}`))
		s.Put(platform.TopicServers, "strange", []byte("\x00\xff"))
		s.Put(platform.TopicConfiguration, platform.KeyConfiguration, []byte("{"))
		s.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(4))
	})
	require.Eventually(t, w.governor.Ready, time.Second, time.Millisecond)
	_, listed := w.governor.Entry("good")
	require.True(t, listed)
	for _, id := range []string{"textSlots", "noState", "strange"} {
		_, listed := w.governor.Entry(identifier.UpstreamID(id))
		require.False(t, listed, id)
	}
}

func TestTrimmedHistoryIsReadFromTheNewestRecords(t *testing.T) {
	w := newWorld(t, func(s *platformer.Store) {
		s.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(1))
		s.Put(platform.TopicServers, "a", server("ready"))
		s.Put(platform.TopicServers, "b", server("ready"))
	})
	require.Eventually(t, w.governor.Ready, time.Second, time.Millisecond)
	w.store.Put(platform.TopicServers, "b", nil)
	w.store.Put(platform.TopicServers, "a", server("draining"))
	w.store.Trim(platform.TopicServers)
	require.Eventually(t, func() bool {
		a, _ := w.governor.Entry("a")
		_, listed := w.governor.Entry("b")
		return a.Leaving && !listed
	}, drainLimit, time.Millisecond)
}

func TestLeavingIsKnownWithinTheBound(t *testing.T) {
	w := newWorld(t, func(s *platformer.Store) {
		s.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(1))
		s.Put(platform.TopicServers, "a", server("ready"))
	})
	require.Eventually(t, w.governor.Ready, time.Second, time.Millisecond)
	w.store.Put(platform.TopicServers, "a", server("draining"))
	require.Eventually(t, func() bool {
		a, _ := w.governor.Entry("a")
		return a.Leaving
	}, drainLimit, time.Millisecond)
}

func TestConfigurationIsInForceThoughAReadIsNotWoken(t *testing.T) {
	w := newWorld(t, func(s *platformer.Store) {
		s.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(1))
		s.SetFault(platformer.NoWakeups)
	})
	require.Eventually(t, func() bool { return w.version() == 1 }, time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	w.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
	require.Eventually(t, func() bool { return w.version() == 2 }, applyLimit, time.Millisecond)
}

func TestManyMembersCostFewReads(t *testing.T) {
	w := newWorld(t, nil)
	require.Eventually(t, w.listed, time.Second, time.Millisecond)
	before := w.store.Calls()
	for i := range 40 {
		content, err := platform.EncodeMember(platform.Member{Address: netip.MustParseAddrPort("127.0.0.1:9")})
		require.NoError(t, err)
		w.store.Put(platform.TopicMembers, fmt.Sprint("spool-", i+2), content)
		time.Sleep(10 * time.Millisecond)
	}
	require.Less(t, w.store.Calls()-before, 8)
}

func TestAnOutageCostsFewCalls(t *testing.T) {
	w := newWorld(t, nil)
	require.Eventually(t, w.listed, time.Second, time.Millisecond)
	w.store.SetFault(platformer.Busy)
	before := w.store.Calls()
	time.Sleep(3 * time.Second)
	const topics, calls = 3, 5
	require.LessOrEqual(t, w.store.Calls()-before, topics*calls)
}

func oneUpstream(s *platformer.Store) {
	s.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(1))
	s.Put(platform.TopicServers, "a", server("ready"))
}

func TestInstancesShareTheirReadsOfTheStore(t *testing.T) {
	const count, seconds = 6, 4
	w := newLargeWorld(t, count, oneUpstream)
	w.ready(t)
	before := w.store.Calls()
	for range 10 * seconds {
		// Status reports of the upstream that change nothing.
		w.store.Put(platform.TopicServers, "a", server("ready"))
		time.Sleep(100 * time.Millisecond)
	}
	// One instance alone reads the list each 0.9 s and the configuration each 1.4 s.
	const alone = seconds * 2
	require.LessOrEqual(t, w.store.Calls()-before, 2*alone)
}

func TestAllInstancesKnowChangesWithinTheBounds(t *testing.T) {
	for _, c := range []struct {
		name string
		// stopped is the instance that ends before the change; 0 for none.
		stopped int
	}{
		{"all run", 0},
		{"the first reader is gone", 1},
		{"the second reader is gone", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newLargeWorld(t, 4, oneUpstream)
			w.ready(t)
			time.Sleep(time.Second)
			left := w.instances
			if c.stopped > 0 {
				left[c.stopped-1].stop()
				left = slices.Delete(slices.Clone(left), c.stopped-1, c.stopped)
			}
			w.store.Put(platform.TopicServers, "a", server("draining"))
			w.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
			require.Eventually(t, func() bool {
				for _, i := range left {
					a, _ := i.governor.Entry("a")
					if !a.Leaving || i.governor.Table().Configuration().Version != 2 {
						return false
					}
				}
				return true
			}, min(drainLimit, applyLimit), 10*time.Millisecond)
		})
	}
}
