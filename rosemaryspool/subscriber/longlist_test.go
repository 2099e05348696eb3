package subscriber

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
)

// A long list comes over slow links, of which requests take a part: 300 bytes a record at 8 or 12 Mbit/s. All upstreams report each
// 1.2 s, and one of them leaves, also while the store responds to nobody for a while.
func TestLongListIsFollowedOverSlowLinks(t *testing.T) {
	const upstreams = 3000
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
			report := func() {
				for u := range upstreams {
					n.store.put(platform.TopicServers, fmt.Sprint("u", u), bornRecord("ready", 1))
				}
			}
			report()
			go func() {
				for ctx.Err() == nil {
					time.Sleep(1200 * time.Millisecond)
					report()
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

// Instances that start together would take 25 MB of the store's link, and all of their own for a second and more.
func TestInstancesThatStartTogetherReadALongListOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, upstreams = 24, 3000
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(5 * time.Second)
		}()
		n := newNeighbourhood(instances)
		n.store.recordTime = 300 * time.Microsecond
		for u := range upstreams {
			n.store.put(platform.TopicServers, fmt.Sprint("u", u), bornRecord("ready", 1))
		}
		n.start(ctx)
		time.Sleep(2 * time.Second)
		require.Len(t, n.listing("u2999"), instances)
		whole := 0
		for _, records := range n.store.transfers() {
			if records >= upstreams {
				whole++
			}
		}
		require.Equal(t, 1, whole, "instances that have read the list themselves")
	})
}
