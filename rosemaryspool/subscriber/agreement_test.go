package subscriber

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

// memoryStore is a store in this process. It runs meanwhile after it has computed the result of a read and before it
// returns it.
type memoryStore struct {
	records   []platform.Record
	start     uint64
	meanwhile func()
}

func (s *memoryStore) put(key string, value []byte) {
	s.records = append(s.records, platform.Record{Key: key, Value: value, Offset: s.end()})
}

func (s *memoryStore) end() uint64 { return s.start + uint64(len(s.records)) }

// trim moves the newest record of each key behind all others and removes these.
func (s *memoryStore) trim() {
	newest := s.newest()
	s.start, s.records = s.end(), nil
	for _, r := range newest {
		s.put(r.Key, r.Value)
	}
}

func (s *memoryStore) newest() []platform.Record {
	byKey := map[string]platform.Record{}
	for _, r := range s.records {
		byKey[r.Key] = r
		if r.Value == nil {
			delete(byKey, r.Key)
		}
	}
	var newest []platform.Record
	for _, r := range byKey {
		newest = append(newest, r)
	}
	slices.SortFunc(newest, func(a, b platform.Record) int { return int(a.Offset) - int(b.Offset) })
	return newest
}

func (s *memoryStore) pause() {
	if s.meanwhile != nil {
		s.meanwhile()
	}
}

// ReadNewest implements Store.
func (s *memoryStore) ReadNewest(_ context.Context, topic string) ([]platform.Record, uint64, error) {
	if topic != platform.TopicServers {
		return nil, 0, nil
	}
	newest, end := s.newest(), s.end()
	s.pause()
	return newest, end, nil
}

// Read implements Store.
func (s *memoryStore) Read(
	_ context.Context, topic string, from uint64, _ time.Duration,
) ([]platform.Record, uint64, error) {
	if topic != platform.TopicServers {
		return nil, from, nil
	}
	if from < s.start {
		return nil, from, &platform.TrimmedError{FirstOffset: s.start}
	}
	records, end := slices.Clone(s.records[from-s.start:]), s.end()
	s.pause()
	return records, end, nil
}

// Write implements Store.
func (s *memoryStore) Write(context.Context, string, string, []byte) error { return nil }

// delivery is a view on its way to an instance.
type delivery struct {
	to   int
	view gossiper.View
}

// simulation holds instances that share the list of upstreams. All of it runs in one goroutine.
type simulation struct {
	store     *memoryStore
	instances []*simulatedInstance
	sent      []delivery
}

// simulatedInstance is an instance's subscriber; it implements Exchange for it.
type simulatedInstance struct {
	*Subscriber
	number     int
	simulation *simulation
	topic      *topic
	// reading is true during a read; an instance makes one at a time.
	reading bool
}

func newSimulation(instances int) *simulation {
	s := &simulation{store: &memoryStore{}}
	for i := range instances {
		s.instances = append(s.instances, nil)
		s.start(i)
	}
	return s
}

// start starts an instance, or starts it again without what it knew.
func (s *simulation) start(number int) {
	id := identifier.InstanceID(fmt.Sprint("spool-", number))
	g := governor.NewGovernor(governor.Settings{
		Self: elector.Member{Instance: id}, Retry: budgeter.Settings{Window: time.Second},
		Allocator: allocator.DefaultSettings(),
	}, zerolog.Nop())
	i := &simulatedInstance{number: number, simulation: s}
	i.Subscriber = NewSubscriber(s.store, g, i, Settings{DrainLimit: drainLimit, ApplyLimit: applyLimit}, zerolog.Nop())
	for _, t := range i.topics {
		if t.name == platform.TopicServers {
			i.topic = t
		}
	}
	s.instances[number] = i
}

// ForwardView implements Exchange.
func (i *simulatedInstance) ForwardView(topic string, v gossiper.View) {
	for _, other := range i.simulation.instances {
		if other != nil && other.number != i.number {
			i.send(other.number, topic, v)
		}
	}
}

// SendView implements Exchange.
func (i *simulatedInstance) SendView(to []elector.Member, topic string, v gossiper.View) {
	for _, m := range to {
		var number int
		if _, err := fmt.Sscanf(string(m.Instance), "spool-%d", &number); err == nil {
			i.send(number, topic, v)
		}
	}
}

func (i *simulatedInstance) send(to int, topic string, v gossiper.View) {
	if topic == platform.TopicServers {
		v.Sender = i.governor.Self().Instance
		i.simulation.sent = append(i.simulation.sent, delivery{to: to, view: v})
	}
}

// Greet implements Exchange.
func (i *simulatedInstance) Greet() {}

// RequestView implements Exchange.
func (i *simulatedInstance) RequestView(topic string) {
	for _, other := range i.simulation.instances {
		if other.number != i.number {
			other.HandleViewRequest(i.governor.Self(), []string{topic})
		}
	}
}

// readStore reads the list once.
func (i *simulatedInstance) readStore(t *testing.T) {
	t.Helper()
	if i.reading {
		return
	}
	i.reading = true
	defer func() { i.reading = false }()
	require.NoError(t, i.read(context.Background(), i.topic))
}

// deliver delivers a view that is on its way; it stays on its way if it is to arrive twice.
func (s *simulation) deliver(index int, again bool) {
	d := s.sent[index]
	if !again {
		s.sent = slices.Delete(s.sent, index, index+1)
	}
	s.instances[d.to].HandleView(platform.TopicServers, d.view)
}

// settle delivers all views, and lets the first instance read the list for the others a few times.
func (s *simulation) settle(t *testing.T) {
	t.Helper()
	for range 4 {
		for _, i := range s.instances {
			if i.number == 0 || i.topic.pacer.BehindPeers() || !i.synced(i.topic) {
				i.readStore(t)
			}
		}
		for len(s.sent) > 0 {
			s.deliver(0, false)
		}
	}
}

// requireAgreement requires that each instance has the list that the store has.
func (s *simulation) requireAgreement(t *testing.T) {
	t.Helper()
	want := map[identifier.UpstreamID]bool{}
	for _, r := range s.store.newest() {
		e, err := platform.DecodeServer(r.Key, r.Value)
		require.NoError(t, err)
		want[e.Upstream] = e.Leaving
	}
	for _, i := range s.instances {
		got := map[identifier.UpstreamID]bool{}
		i.governor.UpdateUpstreams(time.Now(), governor.Origin{}, func(tr *tracker.Tracker) bool {
			for _, e := range tr.Entries() {
				got[e.Upstream] = e.Leaving
			}
			return false
		})
		require.Equal(t, want, got, "instance %d", i.number)
	}
}

func TestReadThatOverlapsForwardedRecordsHidesNone(t *testing.T) {
	s := newSimulation(3)
	s.store.put("a", serverRecord("ready"))
	for _, i := range s.instances {
		i.readStore(t)
	}
	s.sent = nil
	s.store.put("a", serverRecord("draining"))
	s.store.meanwhile = func() {
		s.store.meanwhile = nil
		s.instances[0].readStore(t)
		for index := len(s.sent) - 1; index >= 0; index-- {
			if s.sent[index].to == 1 {
				s.deliver(index, false)
			}
		}
		s.sent = nil
	}
	s.instances[1].readStore(t)
	s.settle(t)
	s.requireAgreement(t)
}

func TestInstancesAgreeOnTheListUnderLossDelayAndRestarts(t *testing.T) {
	const seeds, steps = 500, 120
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSimulation(4)
			born := map[string]int{}
			state := map[string]string{}
			var step func(depth int)
			step = func(depth int) {
				key := fmt.Sprint("u", random.IntN(3))
				switch n := random.IntN(100); {
				case n < 12 && (state[key] == "" || state[key] == "gone"):
					born[key]++
					state[key] = "ready"
					s.store.put(key, bornRecord("ready", born[key]))
				case n < 22 && state[key] == "ready":
					state[key] = "draining"
					s.store.put(key, bornRecord("draining", born[key]))
				case n < 27 && state[key] == "draining":
					state[key] = "gone"
					s.store.put(key, nil)
				case n < 40 && (state[key] == "ready" || state[key] == "draining"):
					s.store.put(key, bornRecord(state[key], born[key]))
				case n < 55 && depth < 3:
					if random.IntN(2) == 0 {
						s.store.meanwhile = func() {
							s.store.meanwhile = nil
							for range random.IntN(8) {
								step(depth + 1)
							}
						}
					}
					s.instances[random.IntN(len(s.instances))].readStore(t)
				case n < 85 && len(s.sent) > 0:
					s.deliver(random.IntN(len(s.sent)), random.IntN(10) == 0)
				case n < 93 && len(s.sent) > 0:
					index := random.IntN(len(s.sent))
					s.sent = slices.Delete(s.sent, index, index+1)
				case n < 95 && depth == 0:
					s.start(random.IntN(len(s.instances)))
				case n < 96:
					s.store.trim()
				}
			}
			for range steps {
				step(0)
			}
			s.store.meanwhile = nil
			s.settle(t)
			s.requireAgreement(t)
		})
	}
}

func bornRecord(state string, born int) []byte {
	return fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":%q,"sequence":1,"born":%d}`, state, born)
}
