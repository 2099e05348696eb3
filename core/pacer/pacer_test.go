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
			v := p.DeltaRead(at(now), next, 0, next)
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
	next, synced := p.NextOffset()
	require.True(t, synced)
	require.EqualValues(t, 10, next, "relevant records are still unread")
	p.DeltaRead(at(110*time.Millisecond), 30, 20, 30)
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
		name     string
		holdTime time.Duration
		rank     int
		want     time.Duration
	}{
		{"rank 0", 0, 0, interval},
		{"rank 1", 0, 1, interval + firstBackupDelay},
		{"rank 2", 0, 2, interval + otherBackupsDelay + 2*rankStagger},
		{"rank above the maximum", 0, 500, interval + otherBackupsDelay + maxStaggeredRank*rankStagger},
		{"rank 1 with long polling", time.Second, 1, interval + time.Second + firstBackupDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPacer(interval, c.holdTime)
			require.True(t, p.NextReadAt(c.rank).IsZero(), "reads immediately before the first sync")
			p.SnapshotRead(at(0), 10)
			require.Equal(t, at(c.want), p.NextReadAt(c.rank))
		})
	}
}

func TestChangeAlreadyReadIsNotReadAgain(t *testing.T) {
	a, b := NewPacer(interval, 0), NewPacer(interval, 0)
	a.SnapshotRead(at(0), 10)
	b.SnapshotRead(at(0), 10)
	viewA := a.DeltaRead(at(interval), 20, 18, 20)
	viewB := b.DeltaRead(at(interval+time.Millisecond), 23, 18, 23)
	require.False(t, b.PeerViewReceived(viewA))
	require.False(t, a.PeerViewReceived(viewB))
	next, _ := a.NextOffset()
	require.EqualValues(t, 23, next)
}

func TestPeerChangeMissingFromStoreIsReadOnlyOnce(t *testing.T) {
	p := NewPacer(interval, 0)
	p.SnapshotRead(at(0), 10)
	require.True(t, p.PeerViewReceived(View{First: 5, Next: 9000, Changed: 9000, ReadAt: at(0)}))
	p.DeltaRead(at(time.Millisecond), 12, 0, 12)
	require.True(t, p.NextReadAt(0).After(at(interval)))
}

// An instance that has received a record from another one publishes it as a change too, or a third one would skip it.
func TestReceivedChangesArePublished(t *testing.T) {
	for _, c := range []struct {
		name    string
		receive func(p *Pacer)
	}{
		{"forwarded record", func(p *Pacer) {
			require.True(t, p.PeerRecordsReceived(10, 20, 18))
			require.False(t, p.PeerViewReceived(View{First: 5, Next: 20, Changed: 18, ReadAt: at(interval)}))
		}},
		{"record that this instance has read as irrelevant", func(p *Pacer) {
			p.DeltaRead(at(interval), 20, 0, 20)
			require.False(t, p.PeerViewReceived(View{First: 5, Next: 20, Changed: 18, ReadAt: at(interval)}))
		}},
		{"snapshot", func(p *Pacer) {
			require.True(t, p.PeerSnapshotReceived(View{First: 5, Next: 20, Changed: 18, ReadAt: at(interval)}))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, third := NewPacer(interval, 0), NewPacer(interval, 0)
			p.SnapshotRead(at(0), 10)
			third.SnapshotRead(at(0), 12)
			c.receive(p)
			v := p.DeltaRead(at(2*interval), 20, 0, 20)
			require.True(t, third.PeerViewReceived(v) || third.HasGapTo(v), "the third instance must not skip the record")
		})
	}
}

func TestOffsetsOfAnotherEraDontCount(t *testing.T) {
	p := NewPacer(interval, 0)
	p.SnapshotRead(at(0), 10)
	later := View{Era: 1, First: 2, Next: 12, Changed: 11, ReadAt: at(interval)}
	require.False(t, p.PeerViewReceived(later))
	require.False(t, p.PeerSnapshotReceived(later))
	require.False(t, p.HasGapTo(later))
	require.True(t, p.EnterEra(1, at(interval)))
	require.False(t, p.EnterEra(1, at(0)))
	_, synced := p.NextOffset()
	require.False(t, synced)
	require.Equal(t, at(interval), p.NextReadAt(0))
	require.False(t, p.PeerSnapshotReceived(View{First: 5, Next: 30}), "a view of the earlier era")
	require.True(t, p.PeerSnapshotReceived(later))
	require.Equal(t, View{Era: 1, First: 12, Next: 12, Changed: 11, ReadAt: at(interval)}, p.View())
	require.False(t, p.EnterEra(0, at(0)), "the era never goes back")
}

// The response to a read that began before another instance found a record may not contain it yet.
func TestPeerChangeDuringAReadIsReadAfterIt(t *testing.T) {
	p := NewPacer(interval, time.Second)
	p.SnapshotRead(at(0), 10)
	p.ReadStarted()
	require.True(t, p.PeerViewReceived(View{First: 5, Next: 20, Changed: 20, ReadAt: at(interval)}))
	p.DeltaRead(at(interval), 15, 15, 15)
	require.True(t, p.BehindPeers())
	require.True(t, p.NextReadAt(6).IsZero())
	p.ReadStarted()
	p.DeltaRead(at(interval), 15, 15, 15)
	require.False(t, p.BehindPeers(), "the store doesn't have it")
}

func TestOutageIsATimeInWhichNobodyRead(t *testing.T) {
	for _, c := range []struct {
		name   string
		gap    time.Duration
		outage bool
	}{
		{"usual", interval, false},
		{"reader failed", interval + otherBackupsDelay + 3*rankStagger, false},
		{"backups failed too", 2 * interval, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPacer(interval, 0)
			_, outage := p.ReadConfirmed(at(0))
			require.False(t, outage, "the first read")
			before, outage := p.ReadConfirmed(at(c.gap))
			require.Equal(t, c.outage, outage)
			require.Equal(t, at(0), before)
			require.Equal(t, c.outage, p.InOutage(at(c.gap/2)))
			require.False(t, p.InOutage(at(c.gap+time.Second)))
			_, outage = p.ReadConfirmed(at(c.gap / 2))
			require.False(t, outage, "an earlier read of another instance")
		})
	}
}

// A read returns a part of the records; the rest is read at once, unless another instance forwards it.
func TestUnreadRestIsReadAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		rest func(p *Pacer)
	}{
		{"read", func(p *Pacer) { p.DeltaRead(at(time.Millisecond), 30, 0, 30) }},
		{"forwarded", func(p *Pacer) { p.PeerViewReceived(View{First: 5, Next: 30, ReadAt: at(time.Millisecond)}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPacer(interval, 0)
			p.SnapshotRead(at(0), 10)
			p.DeltaRead(at(0), 20, 0, 30)
			require.True(t, p.NextReadAt(6).IsZero())
			c.rest(p)
			require.False(t, p.NextReadAt(6).Before(at(interval)))
		})
	}
}

// Instances took what the first of several reads had returned for all that there was at that time.
func TestPartOfTheRecordsIsNotAllThatThereWas(t *testing.T) {
	reader, other, starter := NewPacer(interval, 0), NewPacer(interval, 0), NewPacer(interval, 0)
	reader.SnapshotRead(at(0), 10)
	other.SnapshotRead(at(0), 10)
	for _, c := range []struct {
		readAt, completeAt time.Duration
		next               uint64
	}{
		{interval, 0, 20},
		{2 * interval, 2 * interval, 40},
	} {
		view := reader.DeltaRead(at(c.readAt), c.next, 0, 30)
		require.False(t, other.PeerViewReceived(view))
		starter.PeerSnapshotReceived(reader.View())
		require.Equal(t, at(c.completeAt), reader.CompleteAt())
		require.Equal(t, at(c.completeAt), other.CompleteAt())
		require.Equal(t, at(c.readAt), other.View().ReadAt, "the read itself postpones the next one")
	}
	require.Equal(t, at(2*interval), starter.CompleteAt())
}

// A read takes 0.25 s over a full link: backups leave it and its rest to the instance that reads, as long as that one makes
// progress.
func TestBackupsWaitForLongReads(t *testing.T) {
	const readTime = 250 * time.Millisecond
	for _, c := range []struct {
		name string
		rank int
		want time.Duration
	}{
		{"rank 0", 0, 0},
		{"rank 1", 1, readTime + firstBackupDelay},
		{"rank 2", 2, readTime + otherBackupsDelay + 2*rankStagger},
		{"patient rank", patientRank, 2*readTime + otherBackupsDelay + patientRank*rankStagger},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPacer(interval, 0)
			p.SnapshotRead(at(0), 10)
			view := View{First: 5, Next: 30, ReadAt: at(interval)}
			p.PeerViewArrived(view, at(interval+readTime))
			require.True(t, p.ReadsTakeLong())
			p.PeerViewReceived(view)
			require.Equal(t, at(2*interval+c.want), p.NextReadAt(c.rank))
			p.end = 50
			rest := p.NextReadAt(c.rank)
			if c.rank == 0 {
				require.True(t, rest.IsZero())
				return
			}
			require.Equal(t, at(interval+readTime+c.want), rest)
		})
	}
}

func TestLongReadsDelayBackupsByABoundedTime(t *testing.T) {
	p := NewPacer(interval, 0)
	p.SnapshotRead(at(0), 10)
	view := View{First: 5, Next: 30, ReadAt: at(interval)}
	p.PeerViewArrived(view, at(interval+5*time.Second))
	p.PeerViewReceived(view)
	require.Equal(t, at(2*interval+interval/3+firstBackupDelay), p.NextReadAt(1))
	require.Equal(t, at(2*interval+2*interval/3+otherBackupsDelay+patientRank*rankStagger), p.NextReadAt(patientRank))
	for n := range 60 {
		later := at(interval + time.Duration(n+1)*time.Second)
		view = View{First: 5, Next: 31 + uint64(n), ReadAt: later}
		p.PeerViewArrived(view, later.Add(time.Millisecond))
		p.PeerViewReceived(view)
	}
	require.False(t, p.ReadsTakeLong(), "reads have become short")
}
