package pacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const interval = 900 * time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestOnlyRankZeroReadsWhilePeersShareViews(t *testing.T) {
	var pacers []*Pacer
	for range 7 {
		p := NewPacer(interval, 0)
		p.SnapshotRead(at(0), 10)
		pacers = append(pacers, p)
	}
	reads := make([]int, len(pacers))
	next := uint64(10)
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		for rank, p := range pacers {
			if at(now).Before(p.NextReadAt(rank)) {
				continue
			}
			reads[rank]++
			next++
			v := p.DeltaRead(at(now), next, 0)
			for other, o := range pacers {
				if other != rank {
					require.False(t, o.PeerViewReceived(v))
				}
			}
		}
	}
	require.InDelta(t, 66, reads[0], 2)
	for _, n := range reads[1:] {
		require.Zero(t, n)
	}
}

func TestPeerChangeIsReadImmediately(t *testing.T) {
	p := NewPacer(interval, 0)
	p.SnapshotRead(at(0), 10)
	require.True(t, p.PeerViewReceived(View{First: 5, Next: 30, Changed: 20, ReadAt: at(100 * time.Millisecond)}))
	require.True(t, p.NextReadAt(6).IsZero())
	next, known := p.NextOffset()
	require.True(t, known)
	require.EqualValues(t, 10, next, "the records that matter are still to be read")
	p.DeltaRead(at(110*time.Millisecond), 30, 20)
	require.True(t, p.NextReadAt(6).After(at(interval)))
}

func TestPeerViewWithGapIsIgnored(t *testing.T) {
	p := NewPacer(interval, 0)
	p.SnapshotRead(at(0), 10)
	require.False(t, p.PeerViewReceived(View{First: 11, Next: 30, ReadAt: at(800 * time.Millisecond)}))
	next, _ := p.NextOffset()
	require.EqualValues(t, 10, next)
	require.Equal(t, at(interval), p.NextReadAt(0))
}

func TestBackupsReadAfterDelayByRank(t *testing.T) {
	for _, c := range []struct {
		name string
		held time.Duration
		rank int
		want time.Duration
	}{
		{"the first", 0, 0, interval},
		{"the second", 0, 1, interval + firstBackupDelay},
		{"the third", 0, 2, interval + otherBackupsDelay + 2*rankStagger},
		{"one of many", 0, 500, interval + otherBackupsDelay + maxStaggeredRank*rankStagger},
		{"the second of a topic whose reads are held", time.Second, 1, interval + time.Second + firstBackupDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPacer(interval, c.held)
			require.True(t, p.NextReadAt(c.rank).IsZero(), "what is not known is read at once")
			p.SnapshotRead(at(0), 10)
			require.Equal(t, at(c.want), p.NextReadAt(c.rank))
		})
	}
}

func TestChangeAlreadyReadIsNotReadAgain(t *testing.T) {
	early, late := NewPacer(interval, 0), NewPacer(interval, 0)
	early.SnapshotRead(at(0), 10)
	late.SnapshotRead(at(0), 10)
	first := early.DeltaRead(at(interval), 20, 18)
	second := late.DeltaRead(at(interval+time.Millisecond), 23, 18)
	require.False(t, late.PeerViewReceived(first))
	require.False(t, early.PeerViewReceived(second))
	next, _ := early.NextOffset()
	require.EqualValues(t, 23, next)
}

func TestPeerChangeMissingFromStoreIsReadForOnce(t *testing.T) {
	p := NewPacer(interval, 0)
	p.SnapshotRead(at(0), 10)
	require.True(t, p.PeerViewReceived(View{First: 5, Next: 9000, Changed: 9000, ReadAt: at(0)}))
	p.DeltaRead(at(time.Millisecond), 12, 0)
	require.True(t, p.NextReadAt(0).After(at(interval)))
}
