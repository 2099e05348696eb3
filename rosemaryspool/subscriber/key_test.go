package subscriber

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/platform"
)

func TestInstanceWithoutStoreKnowsRemovedKeysFromNeighbours(t *testing.T) {
	synctest.Test(t, testInstanceWithoutStoreKnowsRemovedKeysFromNeighbours)
}

func testInstanceWithoutStoreKnowsRemovedKeysFromNeighbours(t *testing.T) {
	const keyLimit = 4 * time.Second
	cl := newCluster(t, nil)
	cl.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, []byte(`{"version":1,"routes":[],"services":[]}`))
	reader := cl.instances[0]
	unused := freeAddress(t, cl.network)
	follower := startInstance(t, cl.network, elector.Member{Instance: "spool-2", Address: freeAddress(t, cl.network), StartedMs: 2}, unused, false,
		reader.self.Address)
	reader.governor.SetKeyLimit(keyLimit)
	follower.governor.SetKeyLimit(keyLimit)
	require.Eventually(t, func() bool {
		return !follower.governor.KeysOutdated(time.Now()) && !reader.governor.KeysOutdated(time.Now())
	}, 5*time.Second, 10*time.Millisecond)
	until := time.Now().Add(keyLimit + time.Second)
	for time.Now().Before(until) {
		require.False(t, follower.governor.KeysOutdated(time.Now()))
		time.Sleep(10 * time.Millisecond)
	}
	reader.stop()
	require.Eventually(t, func() bool { return follower.governor.KeysOutdated(time.Now()) }, keyLimit+time.Second,
		10*time.Millisecond)
}
