package replayer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
)

// newMixedLog returns a log with the mix of a real control stream: mostly renewals, some orders, few configuration
// changes.
func newMixedLog(records int) *logWriter {
	w := &logWriter{}
	w.claim("a", 0, 0, false)
	latest, revision := uint64(1), uint64(0)
	for len(w.records) < records {
		next := uint64(len(w.records) + 1)
		switch {
		case next%500 == 0:
			sections := configurer.Sections{"classes": fmt.Appendf(nil, "classes %d", next)}
			w.config("op", revision, sections, sections.Digest())
			revision = next
		case next%20 == 3:
			w.intent("a", 1, fmt.Sprint("o", next), "e1")
		case next%20 == 4:
			w.outcome("a", 1, fmt.Sprint("o", next-1), "e1")
		default:
			w.claim("a", latest, 1, true)
			latest = next
		}
	}
	return w
}

func BenchmarkReplay100000Records(b *testing.B) {
	w := newMixedLog(100_000)
	b.ReportAllocs()
	for b.Loop() {
		s := w.replay(b, len(w.records))
		require.Equal(b, Counters{}, s.Counters())
	}
}

func BenchmarkStartFromSnapshot(b *testing.B) {
	const tail = 2000
	w := newMixedLog(100_000)
	snapshot, err := w.replay(b, len(w.records)-tail).Snapshot()
	require.NoError(b, err)
	b.ReportAllocs()
	b.ReportMetric(float64(len(snapshot.GetState())), "snapshotBytes")
	for b.Loop() {
		s, err := Decode("trial", compileUnchecked, snapshot.GetState(), snapshot.GetChecksum())
		require.NoError(b, err)
		for o := s.Next(); int(o) <= len(w.records); o++ {
			_, err := s.Apply(o, w.records[o-1])
			require.NoError(b, err)
		}
		require.Equal(b, identifier.Offset(len(w.records)+1), s.Next())
	}
}
