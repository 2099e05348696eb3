package subscriber

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
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
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

// hangingStore is a store in this process to which calls of some instances get no response.
type hangingStore struct {
	mu    sync.Mutex
	topic map[string]*memoryStore
	hangs map[int]bool
	// silent is a topic to whose calls nobody gets a response.
	silent string
	// recordTime is how long the link of an instance takes for one record.
	recordTime time.Duration
	// transferred counts the records that have come over each instance's link.
	transferred map[int]int
	// changed is closed with the next record; nil if no read is woken.
	changed chan struct{}
}

// Records in one page of the newest ones, and in one read.
const (
	pageRecords = 500
	readRecords = 1000
)

func (s *hangingStore) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic[topic].put(key, value)
	if s.changed != nil {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *hangingStore) setHangs(hangs bool, instances ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range instances {
		s.hangs[i] = hangs
	}
}

// transfers returns how many records have come over each instance's link.
func (s *hangingStore) transfers() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.transferred)
}

// setSilent ends the responses about one topic, and those about any other begin again.
func (s *hangingStore) setSilent(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = topic
}

// storeClient is the store as one instance calls it.
type storeClient struct {
	*hangingStore
	instance int
}

// await waits for the response to a call about a topic.
func (c storeClient) await(ctx context.Context, topic string) error {
	c.mu.Lock()
	hangs := c.hangs[c.instance] || c.silent == topic
	c.mu.Unlock()
	if hangs {
		<-ctx.Done()
	}
	return ctx.Err()
}

// ReadNewest implements Store.
func (c storeClient) ReadNewest(
	ctx context.Context, topic string, p platform.Paging,
) (platform.Batch, error) {
	limited, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	if err := c.await(limited, topic); err != nil {
		return platform.Batch{}, err
	}
	c.mu.Lock()
	newest, end := c.topic[topic].newest(), c.topic[topic].end()
	c.mu.Unlock()
	for n := 0; n < len(newest); n += pageRecords {
		if err := c.transfer(ctx, min(len(newest)-n, pageRecords)); err != nil {
			return platform.Batch{}, err
		}
		if n+pageRecords < len(newest) && p.Arrived != nil {
			p.Arrived()
		}
	}
	return platform.Batch{Records: newest, Next: end, End: end}, nil
}

// transfer waits until records have come over the instance's link.
func (c storeClient) transfer(ctx context.Context, records int) error {
	if length := time.Duration(records) * c.recordTime; length > 0 {
		select {
		case <-time.After(length):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transferred[c.instance] += records
	return nil
}

// Read implements Store.
func (c storeClient) Read(ctx context.Context, topic string, from uint64, p platform.Polling) (platform.Batch, error) {
	response, cancel := context.WithTimeout(ctx, p.Wait+p.Timeout)
	defer cancel()
	if err := c.await(response, topic); err != nil {
		return platform.Batch{}, err
	}
	c.mu.Lock()
	t := c.topic[topic]
	for until := time.Now().Add(p.Wait); time.Now().Before(until) && from == t.end(); {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-time.After(time.Until(until)):
		case <-changed:
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		}
		if err := c.await(response, topic); err != nil {
			return platform.Batch{}, err
		}
		c.mu.Lock()
	}
	records, end := slices.Clone(t.records[from:]), t.end()
	c.mu.Unlock()
	records = records[:min(len(records), readRecords)]
	if p.Responded != nil {
		p.Responded()
	}
	if err := c.transfer(ctx, len(records)); err != nil {
		return platform.Batch{}, err
	}
	return platform.Batch{Records: records, Next: from + uint64(len(records)), End: end}, nil
}

// Write implements Store.
func (c storeClient) Write(ctx context.Context, topic, key string, value []byte) error {
	if err := c.await(ctx, topic); err != nil {
		return err
	}
	c.put(topic, key, value)
	return nil
}

// neighbourhood holds instances that exchange views without loss.
type neighbourhood struct {
	store     *hangingStore
	instances []*neighbour
	// unreached holds the instances whose datagrams are lost, in both directions.
	unreached sync.Map
}

// neighbour is one instance; it implements Exchange.
type neighbour struct {
	*neighbourhood
	self       elector.Member
	governor   *governor.Governor
	subscriber *Subscriber
	// named counts the messages that only name the configuration in force here, asked the requests to a certain instance.
	named, asked atomic.Int64
}

// reached returns the other instances at which this one's datagrams arrive.
func (i *neighbour) reached() []*neighbour {
	if _, lost := i.unreached.Load(i); lost {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(i.instances), func(other *neighbour) bool {
		_, lost := i.unreached.Load(other)
		return lost || other == i
	})
}

// newNeighbourhood returns instances before their start.
func newNeighbourhood(count int) *neighbourhood {
	n := &neighbourhood{store: &hangingStore{hangs: map[int]bool{}, transferred: map[int]int{}, topic: map[string]*memoryStore{
		platform.TopicConfiguration: {}, platform.TopicServers: {}, platform.TopicMembers: {},
	}}}
	n.store.put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(1))
	for _, id := range []string{"a", "b"} {
		n.store.put(platform.TopicServers, id, bornRecord("ready", 1, 1))
	}
	for i := range count {
		self := elector.Member{Instance: identifier.InstanceID(fmt.Sprint("spool-", i)), StartedMs: 1}
		n.instances = append(n.instances, &neighbour{neighbourhood: n, self: self, governor: governor.NewGovernor(governor.Settings{
			Self: self, Retry: budgeter.Settings{Window: time.Second}, Allocator: allocator.DefaultSettings(),
		}, zerolog.Nop())})
	}
	for number, i := range n.instances {
		for _, other := range n.instances {
			i.governor.SetMember(time.Now(), other.self)
		}
		i.subscriber = NewSubscriber(storeClient{n.store, number}, i.governor, i, Settings{
			DrainLimit: drainLimit, ApplyLimit: applyLimit,
		}, zerolog.Nop())
	}
	return n
}

func (n *neighbourhood) start(ctx context.Context) {
	for _, i := range n.instances {
		go i.subscriber.Run(ctx)
		go func() {
			for ctx.Err() == nil {
				time.Sleep(300 * time.Millisecond)
				i.governor.Expire(time.Now())
			}
		}()
	}
}

// ForwardView implements Exchange.
func (i *neighbour) ForwardView(topic string, v gossiper.View) {
	v.Sender = i.self.Instance
	for _, other := range i.reached() {
		go other.subscriber.HandleView(topic, v)
	}
}

// SendPending implements Exchange.
func (i *neighbour) SendPending(to elector.Member, topic string) {
	for _, other := range i.reached() {
		if other.self.Instance == to.Instance {
			go other.subscriber.HandleView(topic, gossiper.View{Sender: i.self.Instance, Pending: true})
		}
	}
}

// SendSnapshot implements Exchange.
func (i *neighbour) SendSnapshot(to elector.Member, topic string, _ bool, take func() gossiper.View) {
	v := take()
	v.Sender = i.self.Instance
	for _, other := range i.reached() {
		if other.self.Instance == to.Instance {
			go other.subscriber.HandleView(topic, v)
		}
	}
}

// Greet implements Exchange.
func (i *neighbour) Greet() {}

// ReportRemoved implements Exchange.
func (i *neighbour) ReportRemoved(to identifier.InstanceID, removed []governor.LeavingUpstream) {
	for _, other := range i.instances {
		if other.self.Instance == to {
			go other.governor.MarkRemoved(i.self.Instance, removed)
		}
	}
}

// ConfigurationApplied implements Exchange.
func (i *neighbour) ConfigurationApplied(uint64) {}

// NameConfiguration implements Exchange.
func (i *neighbour) NameConfiguration(elector.Member) { i.named.Add(1) }

// RequestViewOf implements Exchange.
func (i *neighbour) RequestViewOf(to elector.Member, topic string) {
	i.asked.Add(1)
	for _, other := range i.reached() {
		if other.self.Instance == to.Instance {
			go other.subscriber.HandleViewRequest(i.self, []string{topic}, true)
		}
	}
}

// RequestView implements Exchange.
func (i *neighbour) RequestView(topic string, _ int) {
	for _, other := range i.reached() {
		go other.subscriber.HandleViewRequest(i.self, []string{topic}, true)
	}
}

// reader returns the number of the instance that reads the store for the others.
func (n *neighbourhood) reader() int {
	for number, i := range n.instances {
		if i.governor.ReaderRank(time.Now()) == 0 {
			return number
		}
	}
	return -1
}

// listing returns the instances that list an upstream.
func (n *neighbourhood) listing(id identifier.UpstreamID) []identifier.InstanceID {
	var listing []identifier.InstanceID
	for _, i := range n.instances {
		if _, listed := i.governor.Entry(id); listed {
			listing = append(listing, i.self.Instance)
		}
	}
	return listing
}

// play runs a neighbourhood in simulated time.
func play(t *testing.T, instances int, run func(t *testing.T, n *neighbourhood)) {
	t.Helper()
	playPrepared(t, instances, func(*neighbourhood) {}, run)
}

// playPrepared runs a neighbourhood that is prepared before its instances start.
func playPrepared(
	t *testing.T, instances int, prepare func(n *neighbourhood), run func(t *testing.T, n *neighbourhood),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// All goroutines end before the test does.
			time.Sleep(5 * time.Second)
		}()
		n := newNeighbourhood(instances)
		prepare(n)
		n.start(ctx)
		time.Sleep(5 * time.Second)
		run(t, n)
	})
}

// contactTime is how long after a disturbance the platform's rules apply again.
const contactTime = 3 * time.Second

// The store confirms that an upstream is gone, and then responds to nobody for a while.
func TestRemovalBeforeAnOutageIsAppliedSoonAfterIt(t *testing.T) {
	for length := 2500 * time.Millisecond; length < 4500*time.Millisecond; length += 50 * time.Millisecond {
		play(t, 3, func(t *testing.T, n *neighbourhood) {
			n.store.put(platform.TopicServers, "a", nil)
			n.store.setHangs(true, 0, 1, 2)
			time.Sleep(length)
			n.store.setHangs(false, 0, 1, 2)
			time.Sleep(contactTime)
			require.Empty(t, n.listing("a"), "after an outage of %v", length)
			require.Len(t, n.listing("b"), 3)
		})
	}
}

// The store responds to all instances but the one that reads it for the others, for good or at times.
func TestRemovalIsAppliedWhileTheStoreHangsForTheReader(t *testing.T) {
	for _, c := range []struct {
		name      string
		hangs     time.Duration
		responses time.Duration
	}{
		{"for good", time.Hour, 0},
		{"for 1.2 s at a time", 1200 * time.Millisecond, 600 * time.Millisecond},
		{"for 0.3 s at a time", 300 * time.Millisecond, 900 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			for delay := time.Duration(0); delay < 1800*time.Millisecond; delay += 100 * time.Millisecond {
				play(t, 3, func(t *testing.T, n *neighbourhood) {
					reader, ended := n.reader(), make(chan struct{})
					defer close(ended)
					go func() {
						for {
							n.store.setHangs(true, reader)
							select {
							case <-ended:
								return
							case <-time.After(c.hangs):
							}
							n.store.setHangs(false, reader)
							time.Sleep(c.responses)
						}
					}()
					time.Sleep(contactTime + delay)
					n.store.put(platform.TopicServers, "a", nil)
					time.Sleep(drainLimit)
					require.Empty(t, n.listing("a"), "after %v", delay)
				})
			}
		})
	}
}

// The store does not wake a read, and a neighbour reports records that it should have returned.
func TestReadThatTheStoreDoesNotWakeIsOvertaken(t *testing.T) {
	play(t, 1, func(t *testing.T, n *neighbourhood) {
		i := n.instances[0]
		n.store.put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
		time.Sleep(10 * time.Millisecond)
		i.subscriber.HandleView(platform.TopicConfiguration, gossiper.View{
			View: pacer.View{First: 1, Next: 2, Changed: 2, ReadAt: time.Now()}, RecordsFrom: 2, RecordsTo: 2, Sender: "other",
		})
		require.EqualValues(t, 1, i.governor.Table().Configuration().Version)
		time.Sleep(overtakenWait + 10*time.Millisecond)
		require.EqualValues(t, 2, i.governor.Table().Configuration().Version)
	})
}

// An instance asks for a snapshot just when the one that it asks is applying forwarded records.
func TestSnapshotContainsTheRecordsThatAreBeingApplied(t *testing.T) {
	s := newSimulation(3)
	s.store.put("a", bornRecord("ready", 1, 1))
	for _, i := range s.instances {
		i.readStore(t)
	}
	s.sent = nil
	s.store.put("a", bornRecord("draining", 1, 2))
	s.instances[0].readStore(t)
	asked, apply, answered := s.instances[1], s.instances[1].topic.apply, make(chan struct{})
	asked.topic.apply = func(records []platform.Record, origin governor.Origin) []platform.Record {
		go func() {
			defer close(answered)
			asked.HandleViewRequest(s.instances[2].governor.Self(), []string{platform.TopicServers}, true)
		}()
		select {
		case <-answered:
		case <-time.After(50 * time.Millisecond):
		}
		return apply(records, origin)
	}
	forwarded := slices.IndexFunc(s.sent, func(d delivery) bool { return d.to == asked.number })
	s.deliver(forwarded, false)
	<-answered
	s.start(2)
	for len(s.sent) > 0 {
		d := s.sent[0]
		s.sent = s.sent[1:]
		if d.to == 2 && d.view.Snapshot {
			s.instances[2].HandleView(platform.TopicServers, d.view)
		}
	}
	require.Empty(t, s.disagreement(t))
}

// The datagram with a record is lost, and the store does not respond to the instance that has missed it.
func TestInstanceThatTheStoreDoesNotAnswerGetsRecordsFromItsNeighbours(t *testing.T) {
	s := newSimulation(2)
	s.store.put("a", serverRecord("ready"))
	for _, i := range s.instances {
		i.readStore(t)
	}
	s.store.put("a", serverRecord("draining"))
	s.instances[0].readStore(t)
	s.sent = nil
	s.store.put("b", serverRecord("ready"))
	s.instances[0].readStore(t)
	for len(s.sent) > 0 {
		s.deliver(0, false)
	}
	behind := s.instances[1]
	require.True(t, behind.topic.pacer.BehindPeers())
	behind.readFailed(behind.topic, context.DeadlineExceeded)
	for len(s.sent) > 0 {
		s.deliver(0, false)
	}
	require.Empty(t, s.disagreement(t))
}

// A process that was stopped after the store's response must not take what it then applies for new.
func TestReadCountsFromWhenItBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(1)
		s.store.put("a", bornRecord("ready", 1, 1))
		i := s.instances[0]
		for range 2 {
			started := time.Now()
			s.store.meanwhile = func() { time.Sleep(2 * time.Second) }
			i.readStore(t)
			require.Equal(t, started, i.topic.pacer.View().ReadAt)
		}
	})
}
