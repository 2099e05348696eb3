package subscriber

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
)

// Instances were late with a confirmed configuration if those that read it for them were lost just before.
func TestConfigurationIsInForceInTimeWhenTheReadersAreLost(t *testing.T) {
	for _, c := range []struct {
		name string
		// lost is the number of readers that are lost. They still reach their neighbours if they are lost to the store alone.
		lost       int
		storeAlone bool
		// transferTime is how long the link of an instance takes for the configuration.
		transferTime time.Duration
	}{
		{"one reader stops", 1, false, 0},
		{"one reader is cut off from the store", 1, true, 0},
		{"two readers stop", 2, false, 0},
		{"two readers are cut off from the store", 2, true, 0},
		{"one reader stops, 256 KiB over 10 Mbit/s", 1, false, 250 * time.Millisecond},
		{"two readers stop, 256 KiB over 10 Mbit/s", 2, false, 250 * time.Millisecond},
		{"two readers are cut off from the store, 256 KiB over 10 Mbit/s", 2, true, 250 * time.Millisecond},
		{"all but two stop, 256 KiB over 10 Mbit/s", 25, false, 250 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			for delay := time.Duration(0); delay < 2400*time.Millisecond; delay += 200 * time.Millisecond {
				require.Empty(t, withoutChange(t, c.lost, c.storeAlone, c.transferTime, delay), "%v after the loss", delay)
			}
		})
	}
}

// withoutChange loses the first readers of 27 instances, changes the configuration after a delay and returns the other
// instances at which it isn't in force at the end of the apply limit.
func withoutChange(t *testing.T, lost int, storeAlone bool, transferTime, delay time.Duration) (late []string) {
	t.Helper()
	playReaders(t, transferTime, func(_ *testing.T, n *neighbourhood, readers []*neighbour) {
		for _, r := range readers[:lost] {
			n.store.setHangs(true, slices.Index(n.instances, r))
			if !storeAlone {
				n.unreached.Store(r, true)
			}
		}
		time.Sleep(delay)
		n.store.put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
		time.Sleep(applyLimit)
		for rank, r := range readers[lost:] {
			if version := r.governor.ConfigurationVersion(); version != 2 {
				late = append(late, fmt.Sprintf("rank %d: version %d", lost+rank, version))
			}
		}
	})
	return late
}

// playReaders runs 27 instances in simulated time, whose links take transferTime for a configuration. readers holds them in
// the order in which they read the store.
func playReaders(
	t *testing.T, transferTime time.Duration, run func(t *testing.T, n *neighbourhood, readers []*neighbour),
) {
	t.Helper()
	const instances = 27
	prepare := func(n *neighbourhood) {
		n.store.changed = make(chan struct{})
		n.store.recordTime = transferTime
	}
	playPrepared(t, instances, prepare, func(t *testing.T, n *neighbourhood) {
		readers := slices.Clone(n.instances)
		slices.SortFunc(readers, func(a, b *neighbour) int {
			return a.governor.ReaderRank(time.Now()) - b.governor.ReaderRank(time.Now())
		})
		run(t, n, readers)
	})
}

// An instance that reached the store but no other instance read it so seldom that it was late.
func TestConfigurationIsInForceInTimeAtAnInstanceWithoutNeighbours(t *testing.T) {
	for _, rank := range []int{1, 2, 26} {
		for delay := time.Duration(0); delay < 2*applyLimit; delay += 50 * time.Millisecond {
			playReaders(t, 250*time.Millisecond, func(t *testing.T, n *neighbourhood, readers []*neighbour) {
				n.unreached.Store(readers[rank], true)
				time.Sleep(applyLimit + delay)
				n.store.put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
				time.Sleep(applyLimit)
				require.EqualValues(t, 2, readers[rank].governor.ConfigurationVersion(), "rank %d, %v after the limit", rank, delay)
			})
		}
	}
}

// The store responds to no read of the configuration for a while, and to all others.
func TestConfigurationIsInForceInTimeAfterItsTopicAloneWasAway(t *testing.T) {
	for outage := 2 * time.Second; outage < 5*time.Second; outage += 100 * time.Millisecond {
		play(t, 6, func(t *testing.T, n *neighbourhood) {
			n.store.setSilent(platform.TopicConfiguration)
			time.Sleep(outage)
			n.store.setSilent("")
			n.store.put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
			time.Sleep(applyLimit)
			for _, i := range n.instances {
				require.EqualValues(t, 2, i.governor.ConfigurationVersion(), "%s after an outage of %v", i.self.Instance, outage)
			}
		})
	}
}
