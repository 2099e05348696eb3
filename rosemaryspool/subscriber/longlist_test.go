package subscriber

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
)

// longList is the number of upstreams in a long list; each one reports once in a reportInterval.
const (
	longList       = 3000
	reportInterval = 1200 * time.Millisecond
)

// report writes the records of upstreams.
func (n *neighbourhood) report(upstreams int) {
	for u := range upstreams {
		n.store.put(platform.TopicServers, fmt.Sprint("u", u), bornRecord("ready", 1, 1))
	}
}

// A long list comes over slow links, of which requests take a part: 300 bytes a record at 8 or 12 Mbit/s. All upstreams report each
// 1.2 s, and one of them leaves, also while the store responds to nobody for a while.
func TestLongListIsFollowedOverSlowLinks(t *testing.T) {
	for _, c := range []struct {
		outage     time.Duration
		recordTime time.Duration
	}{
		{0, 300 * time.Microsecond},
		{1500 * time.Millisecond, 200 * time.Microsecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() {
				cancel()
				time.Sleep(5 * time.Second)
			}()
			n := newNeighbourhood(4)
			n.store.recordTime = c.recordTime
			n.report(longList)
			go func() {
				for ctx.Err() == nil {
					time.Sleep(reportInterval)
					n.report(longList)
				}
			}()
			n.start(ctx)
			time.Sleep(3 * time.Second)
			require.Len(t, n.listing("u2999"), 4, "instances that have the list")
			before := n.store.transfers()
			time.Sleep(5 * time.Second)
			for i, records := range n.store.transfers() {
				if i != n.reader() {
					require.Equal(t, before[i], records, "records that instance %d reads itself", i)
				}
			}
			n.store.setHangs(true, 0, 1, 2, 3)
			time.Sleep(c.outage)
			n.store.setHangs(false, 0, 1, 2, 3)
			time.Sleep(contactTime)
			n.store.put(platform.TopicServers, "a", nil)
			time.Sleep(drainLimit)
			require.Empty(t, n.listing("a"), "after an outage of %v", c.outage)
		})
	}
}

// Instances took a part of a long list for the whole, and trusted connections to upstreams of which it said nothing yet.
func TestPartOfALongListDoesNotCountAsTheWhole(t *testing.T) {
	slowLinks := func(n *neighbourhood) { n.store.recordTime = 300 * time.Microsecond }
	playPrepared(t, 4, slowLinks, func(t *testing.T, n *neighbourhood) {
		n.report(longList)
		written := time.Now()
		whole := map[identifier.InstanceID]bool{}
		for time.Since(written) < 3*time.Second {
			time.Sleep(10 * time.Millisecond)
			for _, i := range n.instances {
				if _, whole[i.self.Instance] = i.governor.Entry("u2999"); !whole[i.self.Instance] {
					require.False(t, i.listCompleteAt().After(written), "%s after %v", i.self.Instance, time.Since(written))
				}
			}
		}
		for _, i := range n.instances {
			require.True(t, whole[i.self.Instance])
			require.True(t, i.listCompleteAt().After(written))
		}
	})
}

// listCompleteAt returns the time up to which the instance knows the whole list of upstreams.
func (i *neighbour) listCompleteAt() time.Time {
	i.subscriber.mu.Lock()
	defer i.subscriber.mu.Unlock()
	return i.subscriber.topicOf(platform.TopicServers).pacer.CompleteAt()
}

// Instances that start together would take 25 MB of the store's link, and all of their own for a second and more.
func TestInstancesThatStartTogetherReadALongListOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 24
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(5 * time.Second)
		}()
		n := newNeighbourhood(instances)
		n.store.recordTime = 300 * time.Microsecond
		n.report(longList)
		n.start(ctx)
		time.Sleep(2 * time.Second)
		require.Len(t, n.listing("u2999"), instances)
		whole := 0
		for _, records := range n.store.transfers() {
			if records >= longList {
				whole++
			}
		}
		require.Equal(t, 1, whole, "instances that have read the list themselves")
	})
}

// At a start, after an outage of the store and while it doesn't respond to the instance that reads for the others, few
// instances read a long list: all of them would take what the store can send.
func TestFewInstancesReadALongList(t *testing.T) {
	const instances, readers = 24, 3
	all := make([]int, instances)
	for i := range all {
		all[i] = i
	}
	for _, recordTime := range []time.Duration{20 * time.Microsecond, 200 * time.Microsecond, 300 * time.Microsecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() {
				cancel()
				time.Sleep(5 * time.Second)
			}()
			n := newNeighbourhood(instances)
			n.store.recordTime = recordTime
			n.report(longList)
			go func() {
				for ctx.Err() == nil {
					time.Sleep(reportInterval)
					n.report(longList)
				}
			}()
			n.start(ctx)
			for _, phase := range []struct {
				name   string
				begin  func()
				length time.Duration
			}{
				{"start", func() {}, 4 * time.Second},
				{"all is well", func() {}, 6 * time.Second},
				{"outage", func() { n.store.setHangs(true, all...) }, 2 * time.Second},
				{"after the outage", func() { n.store.setHangs(false, all...) }, 6 * time.Second},
				{"reader's calls hang", func() { n.store.setHangs(true, n.reader()) }, 6 * time.Second},
				{"reader's calls end", func() { n.store.setHangs(false, all...) }, 6 * time.Second},
			} {
				before := n.store.transfers()
				phase.begin()
				time.Sleep(phase.length)
				reading := 0
				for i, records := range n.store.transfers() {
					if records-before[i] > instances {
						reading++
					}
				}
				require.LessOrEqual(t, reading, readers, "%s, %v for a record", phase.name, recordTime)
			}
			require.Len(t, n.listing("u2999"), instances)
		})
	}
}
