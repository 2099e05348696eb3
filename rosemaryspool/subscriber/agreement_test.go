package subscriber

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

// memoryStore is a store in this process. It runs meanwhile after it has computed the result of a read and before it
// returns it.
type memoryStore struct {
	// reports counts the reports of each start of an upstream.
	reports   map[string]int
	records   []platform.Record
	start     uint64
	era       identifier.Era
	meanwhile func()
	// hidesEra is true if the responses do not name the era.
	hidesEra bool
	// pagesApart is true if meanwhile runs between the pages of the newest records.
	pagesApart bool
}

func (s *memoryStore) put(key string, value []byte) {
	s.records = append(s.records, platform.Record{Key: key, Value: value, Offset: s.end()})
}

// report writes the next report of an upstream that started under a key for a number of times.
func (s *memoryStore) report(key, state string, born int) {
	if s.reports == nil {
		s.reports = map[string]int{}
	}
	start := fmt.Sprint(key, "/", born)
	s.reports[start]++
	s.put(key, bornRecord(state, born, s.reports[start]))
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

// restore returns to a copy that lacks the last records.
func (s *memoryStore) restore(lost int) {
	s.records = s.records[:max(0, len(s.records)-lost)]
	s.era++
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

func (s *memoryStore) namedEra() identifier.Era {
	if s.hidesEra {
		return 0
	}
	return s.era
}

func (s *memoryStore) pause() {
	if s.meanwhile != nil {
		s.meanwhile()
	}
}

// ReadNewest implements Store.
func (s *memoryStore) ReadNewest(_ context.Context, topic string, _ platform.Paging) (platform.Batch, error) {
	if topic != platform.TopicServers {
		return platform.Batch{}, nil
	}
	before := s.era
	batch := platform.Batch{Records: s.newest(), Next: s.end(), Era: s.namedEra()}
	s.pause()
	if s.pagesApart && before == s.era {
		batch.Records = s.newest()
	}
	return batch, nil
}

// Read implements Store.
func (s *memoryStore) Read(
	_ context.Context, topic string, from uint64, _ platform.Polling,
) (platform.Batch, error) {
	if topic != platform.TopicServers {
		return platform.Batch{Next: from}, nil
	}
	if from < s.start || from > s.end() {
		return platform.Batch{}, &platform.TrimmedError{FirstOffset: s.start}
	}
	batch := platform.Batch{Records: slices.Clone(s.records[from-s.start:]), Next: s.end(), Era: s.namedEra()}
	s.pause()
	return batch, nil
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
	// hidesEra is true if the views that instances send do not name the era.
	hidesEra bool
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

// startFromNeighbours starts an instance that gets the list from the others.
func (s *simulation) startFromNeighbours(number int) {
	s.start(number)
	s.instances[number].requestView(s.instances[number].topic)
	for len(s.sent) > 0 {
		s.deliver(0, false)
	}
}

// ForwardView implements Exchange.
func (i *simulatedInstance) ForwardView(topic string, v gossiper.View) {
	for _, other := range i.simulation.instances {
		if other != nil && other.number != i.number {
			i.send(other.number, topic, v)
		}
	}
}

// SendPending implements Exchange.
func (i *simulatedInstance) SendPending(elector.Member, string) {}

// SendSnapshot implements Exchange.
func (i *simulatedInstance) SendSnapshot(to elector.Member, topic string, _ bool, take func() gossiper.View) {
	var number int
	if _, err := fmt.Sscanf(string(to.Instance), "spool-%d", &number); err == nil {
		i.send(number, topic, take())
	}
}

func (i *simulatedInstance) send(to int, topic string, v gossiper.View) {
	if topic == platform.TopicServers {
		v.Sender = i.governor.Self().Instance
		if i.simulation.hidesEra {
			v.Era = 0
		}
		i.simulation.sent = append(i.simulation.sent, delivery{to: to, view: v})
	}
}

// Greet implements Exchange.
func (i *simulatedInstance) Greet() {}

// ReportRemoved implements Exchange.
func (i *simulatedInstance) ReportRemoved(to identifier.InstanceID, removed []governor.LeavingUpstream) {
	var number int
	if _, err := fmt.Sscanf(string(to), "spool-%d", &number); err == nil {
		i.simulation.instances[number].governor.MarkRemoved(i.governor.Self().Instance, removed)
	}
}

// ConfigurationApplied implements Exchange.
func (i *simulatedInstance) ConfigurationApplied(uint64) {}

// NameConfiguration implements Exchange.
func (i *simulatedInstance) NameConfiguration(elector.Member) {}

// RequestViewOf implements Exchange.
func (i *simulatedInstance) RequestViewOf(elector.Member, string) {}

// RequestView implements Exchange.
func (i *simulatedInstance) RequestView(topic string, _ int) {
	for _, other := range i.simulation.instances {
		if other.number != i.number {
			other.HandleViewRequest(i.governor.Self(), []string{topic}, true)
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
	if err := i.read(context.Background(), i.topic); err != nil {
		require.ErrorContains(t, err, "earlier era")
	}
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
			// Enough time has passed for another request.
			i.topic.requests = pacer.Requests{}
			if i.number == 0 || i.topic.pacer.BehindPeers() || !i.synced(i.topic) {
				i.readStore(t)
			}
		}
		for len(s.sent) > 0 {
			s.deliver(0, false)
		}
	}
}

// disagreement returns how an instance's list differs from the store's, or an empty string if none does. After the store
// has returned from an older copy, upstreams that leave may be missing: if the copy lacks one, it is removed and not listed
// again.
func (s *simulation) disagreement(t *testing.T) string {
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
		for id, leaving := range want {
			if _, listed := got[id]; !listed && leaving && s.store.era > 0 {
				got[id] = leaving
			}
		}
		if !maps.Equal(want, got) {
			return fmt.Sprintf("instance %d: upstreams and whether they leave: %v, want %v", i.number, got, want)
		}
	}
	return ""
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
	require.Empty(t, s.disagreement(t))
}

// listed returns the upstreams that an instance lists.
func (i *simulatedInstance) listed() []identifier.UpstreamID {
	var listed []identifier.UpstreamID
	i.governor.UpdateUpstreams(time.Now(), governor.Origin{}, func(tr *tracker.Tracker) bool {
		for _, e := range tr.Entries() {
			listed = append(listed, e.Upstream)
		}
		return false
	})
	return listed
}

func TestUpstreamsThatLeftWithoutSayingSoAreNotListedAgainFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(4)
		s.store.report("a", "ready", 1)
		s.store.report("b", "ready", 1)
		s.settle(t)
		s.store.put("a", nil)
		s.settle(t)
		requireListed := func(want ...identifier.UpstreamID) {
			t.Helper()
			for _, i := range s.instances {
				require.Equal(t, want, i.listed(), "instance %d", i.number)
			}
		}
		requireListed("b")

		s.store.restore(1)
		s.settle(t)
		requireListed("b")
		s.startFromNeighbours(3)
		requireListed("b")

		// The reader tells an instance that has read the copy itself.
		s.start(2)
		s.instances[2].readStore(t)
		require.Len(t, s.instances[2].listed(), 2)
		s.instances[2].governor.ApplyReport(time.Now(), elector.Member{Instance: "spool-0", DataCentre: "z"}, s.instances[0].governor.PeekReport("s", s.instances[2].governor.Self()))
		requireListed("b")

		// One that was removed for its silence is alive.
		s.store.report("a", "ready", 1)
		s.settle(t)
		requireListed("a", "b")
	})
}

func TestReaderThatNeverKnewARemovalIsToldOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(3)
		s.store.report("a", "ready", 1)
		s.store.report("b", "ready", 1)
		s.settle(t)
		s.store.put("a", nil)
		s.settle(t)
		s.store.restore(1)
		s.start(0)
		s.settle(t)
		for _, i := range s.instances {
			require.Equal(t, []identifier.UpstreamID{"b"}, i.listed(), "instance %d", i.number)
		}
		// It is alive.
		s.store.report("a", "ready", 1)
		s.settle(t)
		for _, i := range s.instances {
			require.Equal(t, []identifier.UpstreamID{"a", "b"}, i.listed(), "instance %d", i.number)
		}
	})
}

func TestUpstreamsThatSaidThatTheyLeaveAreNotListedFromAnOlderCopyByInstancesThatStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(3)
		s.store.report("a", "ready", 1)
		s.store.report("b", "ready", 1)
		s.settle(t)
		s.store.report("a", "draining", 1)
		s.settle(t)
		s.store.put("a", nil)
		s.settle(t)
		s.store.restore(2)
		s.settle(t)
		s.startFromNeighbours(2)
		for _, i := range s.instances {
			require.Equal(t, []identifier.UpstreamID{"b"}, i.listed(), "instance %d", i.number)
		}
	})
}

// history is a random sequence of changes, reads, deliveries, losses and restarts.
type history struct {
	*simulation
	t      *testing.T
	random *rand.Rand
	// restores is true if the store returns from older copies.
	restores bool
	// silent is true if entries are removed of upstreams that never said that they leave, of which some are alive.
	silent bool
	born   map[string]int
	state  map[string]string
	// rewrite holds the keys that are to be written again after the store has returned from an older copy.
	rewrite []string
}

// upstreamKeys are the upstreams of a history.
var upstreamKeys = []string{"u0", "u1", "u2"}

// step makes a random step; depth counts the reads during which it happens.
func (h *history) step(depth int) {
	key := upstreamKeys[h.random.IntN(len(upstreamKeys))]
	switch n := h.random.IntN(100); {
	case h.silent && n < 25 && h.state[key] == "expired":
		h.set(key, "ready")
	case h.silent && n >= 12 && n < 16 && h.state[key] == "ready":
		h.set(key, "expired")
	case h.silent && n >= 16 && n < 20 && h.state[key] == "ready":
		h.set(key, "gone")
	case len(h.rewrite) > 0 && n < 30:
		h.writeAgain()
	case n < 12 && (h.state[key] == "" || h.state[key] == "gone"):
		h.born[key]++
		h.set(key, "ready")
	case n < 22 && h.state[key] == "ready":
		h.set(key, "draining")
	case n < 27 && h.state[key] == "draining":
		h.set(key, "gone")
	case n < 40 && (h.state[key] == "ready" || h.state[key] == "draining"):
		h.set(key, h.state[key])
	case n < 55 && depth < 3:
		h.read(depth)
	case n < 85 && len(h.sent) > 0:
		h.deliver(h.random.IntN(len(h.sent)), h.random.IntN(10) == 0)
	case n < 93 && len(h.sent) > 0:
		index := h.random.IntN(len(h.sent))
		h.sent = slices.Delete(h.sent, index, index+1)
	case n < 95 && depth == 0:
		h.start(h.random.IntN(len(h.instances)))
	case n < 96:
		h.store.trim()
	case n < 98 && h.restores:
		h.store.restore(h.random.IntN(6))
		h.rewrite = slices.Clone(upstreamKeys)
	}
}

// set writes an upstream's state.
func (h *history) set(key, state string) {
	h.state[key] = state
	if state == "gone" || state == "expired" {
		h.store.put(key, nil)
		return
	}
	h.store.report(key, state, h.born[key])
}

// writeAgain writes the state of one upstream again, as it does itself.
func (h *history) writeAgain() {
	key := h.rewrite[0]
	h.rewrite = h.rewrite[1:]
	if h.state[key] != "" {
		h.set(key, h.state[key])
	}
}

// read lets an instance read the list; other steps may happen before the response arrives.
func (h *history) read(depth int) {
	if h.random.IntN(2) == 0 {
		h.store.pagesApart = h.random.IntN(2) == 0
		h.store.meanwhile = func() {
			h.store.meanwhile = nil
			for range h.random.IntN(8) {
				h.step(depth + 1)
			}
		}
	}
	h.instances[h.random.IntN(len(h.instances))].readStore(h.t)
}

// variant is what differs in a history from the system as it is.
type variant struct {
	// restores is true if the store returns from older copies, silent if entries are removed of upstreams that never said
	// that they leave.
	restores, silent bool
	// The responses of the store, or the views of instances, do not name the era.
	storeHidesEra, viewsHideEra bool
}

// playHistory plays the history of a seed and returns how an instance's list then differs from the store's.
func playHistory(t *testing.T, seed uint64, v variant) (disagreement string) {
	synctest.Test(t, func(t *testing.T) {
		const steps = 120
		h := &history{
			simulation: newSimulation(4), t: t, random: rand.New(rand.NewPCG(seed, 1)), restores: v.restores, silent: v.silent,
			born: map[string]int{}, state: map[string]string{},
		}
		h.hidesEra, h.store.hidesEra = v.viewsHideEra, v.storeHidesEra
		for range steps {
			h.step(0)
		}
		h.store.meanwhile = nil
		for len(h.rewrite) > 0 {
			h.writeAgain()
		}
		h.settle(t)
		if v.silent {
			for _, key := range upstreamKeys {
				if h.state[key] == "expired" || h.state[key] == "ready" {
					// It is alive and reports.
					h.set(key, "ready")
				}
			}
			h.settle(t)
		}
		time.Sleep(tracker.RelistGracePeriod)
		for _, i := range h.instances {
			i.governor.Expire(time.Now())
		}
		disagreement = h.disagreement(t)
	})
	return disagreement
}

// historySeeds is the number of histories that each test plays.
const historySeeds = 500

func TestInstancesAgreeOnTheListUnderLossDelayAndRestarts(t *testing.T) {
	for seed := range uint64(historySeeds) {
		require.Empty(t, playHistory(t, seed, variant{}), "seed %d", seed)
	}
}

func TestInstancesAgreeOnTheListWhenTheStoreReturnsFromOlderCopies(t *testing.T) {
	for seed := range uint64(historySeeds) {
		require.Empty(t, playHistory(t, seed, variant{restores: true}), "seed %d", seed)
	}
}

func TestUpstreamThatRegistersAgainInTheReadOfItsRemovalIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(2)
		s.store.report("a", "ready", 1)
		s.settle(t)
		s.store.put("a", nil)
		s.store.report("a", "ready", 1)
		s.settle(t)
		require.Empty(t, s.disagreement(t))
	})
}

func TestInstancesAgreeOnTheListWhenEntriesAreRemovedWithoutNotice(t *testing.T) {
	for seed := range uint64(historySeeds) {
		require.Empty(t, playHistory(t, seed, variant{silent: true}), "seed %d", seed)
		require.Empty(t, playHistory(t, seed, variant{silent: true, restores: true}), "seed %d, with returns", seed)
	}
}

func TestHistoriesDetectAnEraThatIsNotNamed(t *testing.T) {
	for _, c := range []struct {
		name    string
		variant variant
	}{
		{"by the store", variant{restores: true, storeHidesEra: true}},
		{"in views", variant{restores: true, viewsHideEra: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(historySeeds) {
				if playHistory(t, seed, c.variant) != "" {
					return
				}
			}
			t.Fatal("no history detects it")
		})
	}
}

func bornRecord(state string, born, sequence int) []byte {
	return fmt.Appendf(nil,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":%q,"sequence":%d,"born":%d}`, state, sequence, born)
}

// A report that an upstream sent before it left without notice, and that the store executes late, had the upstream listed again.
func TestLateReportOfARemovedUpstreamIsNotListed(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is called before the removal is read, after once it is known.
		before, after func(t *testing.T, s *simulation)
		// reader reads the late report.
		reader int
	}{
		{"the reader knows the removal", nil, nil, 0},
		{"another one reads, which was told of the removal", nil, nil, 1},
		{"the reader has started since", nil, func(_ *testing.T, s *simulation) { s.startFromNeighbours(0) }, 0},
		{"an instance has started before", func(_ *testing.T, s *simulation) { s.startFromNeighbours(2) }, nil, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(3)
				s.store.report("b", "ready", 1)
				for range 8 {
					// Only the reader sees those that say nothing new.
					s.store.report("a", "ready", 1)
					s.settle(t)
				}
				if c.before != nil {
					c.before(t, s)
				}
				s.store.put("a", nil)
				s.settle(t)
				if c.after != nil {
					c.after(t, s)
				}
				requireListed := func(want ...identifier.UpstreamID) {
					t.Helper()
					for _, i := range s.instances {
						require.Equal(t, want, i.listed(), "instance %d", i.number)
					}
				}
				requireListed("b")
				s.store.put("a", bornRecord("ready", 1, 5))
				s.instances[c.reader].readStore(t)
				s.settle(t)
				requireListed("b")

				// One that was removed for its silence is alive.
				s.store.report("a", "ready", 1)
				s.settle(t)
				requireListed("a", "b")
				// So is one that has started again.
				s.store.put("a", nil)
				s.settle(t)
				requireListed("b")
				s.store.report("a", "ready", 2)
				s.settle(t)
				requireListed("a", "b")
			})
		})
	}
}

// Parts of a forwarded view counted as read at the time of the whole.
func TestForwardedViewNamesTheReadBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(2)
		reader := s.instances[0]
		reader.readStore(t)
		before := reader.topic.pacer.View().ReadAt
		time.Sleep(time.Second)
		s.store.report("a", "ready", 1)
		s.sent = nil
		reader.readStore(t)
		require.Len(t, s.sent, 1)
		require.Equal(t, before, s.sent[0].view.PreviousReadAt)
		require.Equal(t, time.Now(), s.sent[0].view.ReadAt)
	})
}

// A stream that began just after the list had been applied, and before its time was noted, was resumed nowhere.
func TestFirstListIsUsedOnlyWithItsTime(t *testing.T) {
	for _, c := range []struct {
		name string
		read func(t *testing.T, s *simulation, i *simulatedInstance)
	}{
		{"read from the store", func(t *testing.T, _ *simulation, i *simulatedInstance) { i.readStore(t) }},
		{"sent by a neighbour", func(_ *testing.T, s *simulation, i *simulatedInstance) {
			i.requestView(i.topic)
			for len(s.sent) > 0 {
				s.deliver(0, false)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(2)
				s.store.report("a", "ready", 1)
				s.settle(t)
				s.start(1)
				i := s.instances[1]
				applied := 0
				i.topic.apply = func(records []platform.Record, origin governor.Origin) []platform.Record {
					accepted := i.applyServers(records, origin)
					if entry, listed := i.governor.Entry("a"); listed {
						applied++
						require.True(t, i.governor.KnowsProcess(entry, time.Now()))
					}
					return accepted
				}
				c.read(t, s, i)
				require.Positive(t, applied)
			})
		})
	}
}
