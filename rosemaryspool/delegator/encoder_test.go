package delegator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/sharer"
	"rosemaryspool.example/wire/messenger"
)

func TestRepliesSayHowUrgentRequestsAre(t *testing.T) {
	for _, c := range []struct {
		name  string
		place allocator.Placement
	}{
		{"no account", allocator.Placement{Upstream: "u1"}},
		{"most urgent", allocator.Placement{Upstream: "u1", Level: 1}},
		{"likely to be overtaken", allocator.Placement{Upstream: "u1", Level: 3, Reordered: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			reply := encodeReply(1, c.place, nil)
			require.Equal(t, c.place.Level == 0, reply.Urgency == nil)
			got, refusal := decodeReply(reply, "")
			require.Nil(t, refusal)
			require.Equal(t, c.place, got)
		})
	}
	got, _ := decodeReply(&messenger.PlacementReply{Upstream: "u1", Urgency: &messenger.Urgency{Level: 99}}, "")
	require.Equal(t, allocator.Level(sharer.Levels), got.Level, "a reply of a later version")
}
