package gossiper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/sharer"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/wire/messenger"
)

func TestReportsDivideQueuedPrefillByUrgency(t *testing.T) {
	r := governor.Report{Service: "model", Loads: allocator.Loads{
		"u1": {Short: 2, QueuedPrefill: 900, Levels: [sharer.Levels]identifier.Tokens{0, 300, 0, 500}},
		"u2": {Long: 1, QueuedPrefill: 40},
	}}
	m := EncodeReport(r)
	require.Len(t, m.GetRanked(), 1)
	require.Equal(t, r.Loads, decodeReport(time.Now(), m).Loads)

	m.Ranked = nil
	require.Zero(t, decodeReport(time.Now(), m).Loads["u1"].Levels, "a report of an earlier version")

	m.Ranked = []*messenger.RankedWork{{Upstream: 9, Tokens: []uint32{1}}, {
		Upstream: 0, Tokens: []uint32{0, 0, 0, 0, 0, 0, 0, 1, 2, 3},
	}}
	first := identifier.UpstreamID(m.GetUpstreams()[0].GetUpstream())
	require.EqualValues(t, 6, decodeReport(time.Now(), m).Loads[first].Levels[sharer.Levels-1], "a report of a later version")
}
