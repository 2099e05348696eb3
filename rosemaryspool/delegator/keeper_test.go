package delegator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/standin/emulator"
)

// keepers is a system of instances in front of a service with upstreams of two versions, at which streams have begun.
type keepers struct {
	t       *testing.T
	service identifier.ServiceName
	entries []tracker.Entry
	members []elector.Member
	nodes   []*node
	origins []resumer.Origin
}

const keeperStreams = 40

func newKeepers(t *testing.T, seed, count int) *keepers {
	t.Helper()
	k := &keepers{t: t, service: identifier.ServiceName(fmt.Sprint("service-", seed))}
	k.entries = []tracker.Entry{
		{Upstream: "u1", Service: k.service, Slots: 4, Version: "v1"}, {Upstream: "u2", Service: k.service, Slots: 4, Version: "v2"},
	}
	for i := range count {
		k.members = append(k.members, newMember(i+1, fmt.Sprintf("spool-%d-%d", seed, i), 400))
	}
	network := emulator.NewNetwork()
	for _, m := range k.members {
		n := newNode(t, network, m, k.members, 0)
		n.list(k.entries)
		k.nodes = append(k.nodes, n)
	}
	return k
}

// begin begins streams at an instance.
func (k *keepers) begin(at int) {
	for i := range keeperStreams {
		o := resumer.Origin{
			Stream: resumer.NewStreamID(identifier.RequestID(fmt.Sprint(at, "-", i))), Service: k.service,
			Version: k.entries[i%2].Version, Until: time.Now().Add(50 * time.Second),
		}
		k.nodes[at].governor.StreamBegan(time.Now(), o)
		k.origins = append(k.origins, o)
	}
}

// requireKnown requires that an instance finds where all streams began.
func (k *keepers) requireKnown(at int) {
	k.t.Helper()
	for _, want := range k.origins {
		o, _, found := k.nodes[at].delegator.StreamOrigin(context.Background(), k.service, want.Stream)
		require.True(k.t, found, "instance %d", at)
		require.Equal(k.t, want.Version, o.Version)
	}
}

// Streams that began at an instance that is killed went on nowhere if the arbiter and its stand-by were killed with it.
func TestStreamsAreKnownWhicheverInstanceIsLeft(t *testing.T) {
	const count = 7
	for left := range count {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newKeepers(t, left, count)
				time.Sleep(time.Second)
				for at := range count {
					k.begin(at)
				}
				time.Sleep(500 * time.Millisecond)
				for i, n := range k.nodes {
					if i != left {
						n.stop()
					}
				}
				k.requireKnown(left)
			})
		})
	}
}

// Streams are longer than the stop of the instance at which they began. When the instances were stopped in turn, nobody knew any
// more where they had begun.
func TestStreamsAreKnownAfterAllInstancesWereStoppedInTurn(t *testing.T) {
	const count = 7
	for seed := range 8 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newKeepers(t, seed, count)
				time.Sleep(time.Second)
				k.begin(seed % count)
				time.Sleep(500 * time.Millisecond)
				for i := range count {
					number := (seed + i) % count
					k.nodes[number] = k.nodes[number].restart(t, k.members, k.entries, 10_000)
					// It is known to its neighbours as soon as it has read the list of members.
					for _, n := range k.nodes {
						n.governor.SetMember(time.Now(), k.nodes[number].governor.Self())
					}
					time.Sleep(time.Second)
				}
				for number := range count {
					k.requireKnown(number)
				}
			})
		})
	}
}
