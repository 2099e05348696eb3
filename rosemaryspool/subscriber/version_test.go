package subscriber

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
)

// The store returns from a copy that lacks the second configuration, and an instance is added.
func TestInstanceThatIsAddedAfterAReturnFromAnOlderCopyGetsTheConfigurationInForce(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity int
		added    time.Duration
	}{
		{"the first reader, just after the return", 1000, 0},
		{"the first reader, later", 1000, 500 * time.Millisecond},
		{"another one", 0, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newClusterOf(t, 7, putOneUpstream)
				cl.waitReady(t)
				older := cl.store.Copy()
				cl.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
				time.Sleep(applyLimit)
				cl.store.Restore(older)
				time.Sleep(c.added)
				cl.instances = append(cl.instances, startInstance(t, cl.network, elector.Member{
					Instance: "added", Address: freeAddress(t, cl.network), Capacity: c.capacity, StartedMs: 3,
				}, cl.address, false))
				require.Eventually(t, cl.instances[7].governor.Ready, time.Second, time.Millisecond)
				time.Sleep(contactTime)
				require.Equal(t, c.capacity > 0, cl.instances[7].governor.ReaderRank(time.Now()) == 0)
				for _, i := range cl.instances {
					require.EqualValues(t, 2, i.governor.Table().Configuration().Version, i.self.Instance)
				}
			})
		})
	}
}

// The operator's earlier configuration is written again after a later one is in force, and an instance starts.
func TestInstanceThatStartsGetsTheConfigurationInForceThoughAnEarlierOneIsWrittenAgain(t *testing.T) {
	play(t, 3, func(t *testing.T, n *neighbourhood) {
		n.store.put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
		time.Sleep(applyLimit)
		n.store.put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(1))
		time.Sleep(applyLimit)
		for _, i := range n.instances {
			v := i.subscriber.snapshot(i.subscriber.topicOf(platform.TopicConfiguration))
			require.Len(t, v.Records, 1)
			require.Equal(t, configuration(2), v.Records[0].Value)
		}
	})
}

// An instance has followed the store as far as the one whose snapshot has a later configuration.
func TestLaterConfigurationOfAnotherInstanceIsAppliedAtTheSameOffset(t *testing.T) {
	play(t, 1, func(t *testing.T, n *neighbourhood) {
		s := n.instances[0].subscriber
		v := s.snapshot(s.topicOf(platform.TopicConfiguration))
		v.Sender = "other"
		v.Records = []gossiper.Record{{Key: platform.KeyConfiguration, Value: configuration(2)}}
		s.HandleView(platform.TopicConfiguration, v)
		require.EqualValues(t, 2, s.governor.ConfigurationVersion())
		v.Records = []gossiper.Record{{Key: platform.KeyConfiguration, Value: configuration(1)}}
		s.HandleView(platform.TopicConfiguration, v)
		require.EqualValues(t, 2, s.governor.ConfigurationVersion())
		require.Equal(t, configuration(2), s.snapshot(s.topicOf(platform.TopicConfiguration)).Records[0].Value)
	})
}

// 359 instances name another version than the one in force.
func TestInstancesWithAnotherVersionCostFewMessages(t *testing.T) {
	const others = 359
	for _, c := range []struct {
		name        string
		version     uint64
		named, asks int
	}{
		{"a later one", 2, 0, 1},
		{"an earlier one", 1, 1, 0},
		{"none", 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			play(t, 1, func(t *testing.T, n *neighbourhood) {
				i := n.instances[0]
				if c.version == 1 {
					n.store.put(platform.TopicConfiguration, platform.KeyConfiguration, configuration(2))
					time.Sleep(applyLimit)
				}
				for number := range others {
					i.subscriber.HandleVersion(elector.Member{Instance: identifier.InstanceID(fmt.Sprint("other-", number))}, c.version)
				}
				time.Sleep(laterWait)
				synctest.Wait()
				require.EqualValues(t, c.named, i.named.Load())
				require.EqualValues(t, c.asks, i.asked.Load())
			})
		})
	}
}

// An instance can't read a configuration that others have in force.
func TestConfigurationThatCannotBeAppliedIsRequestedLessAndLess(t *testing.T) {
	play(t, 1, func(t *testing.T, n *neighbourhood) {
		i := n.instances[0]
		for range 600 {
			i.subscriber.HandleVersion(elector.Member{Instance: "other"}, 2)
			time.Sleep(100 * time.Millisecond)
		}
		require.Greater(t, i.asked.Load(), int64(5))
		require.Less(t, i.asked.Load(), int64(10))
	})
}

// A later configuration that arrives by itself is not requested.
func TestConfigurationThatIsForwardedIsNotRequested(t *testing.T) {
	play(t, 1, func(t *testing.T, n *neighbourhood) {
		i := n.instances[0]
		i.subscriber.HandleVersion(elector.Member{Instance: "other"}, 2)
		s := i.subscriber
		v := s.snapshot(s.topicOf(platform.TopicConfiguration))
		v.Records = []gossiper.Record{{Key: platform.KeyConfiguration, Value: configuration(2)}}
		s.HandleView(platform.TopicConfiguration, v)
		time.Sleep(2 * laterWait)
		require.Zero(t, i.asked.Load())
	})
}
