package pacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const interval = 900 * time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestOneInstanceReadsForTheOthers(t *testing.T) {
	var pacers []*Pacer
	for range 7 {
		p := NewPacer(interval, 0)
		p.ReadWhole(at(0), 10)
		pacers = append(pacers, p)
	}
	reads := make([]int, len(pacers))
	next := uint64(10)
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		for rank, p := range pacers {
			if at(now).Before(p.Due(rank)) {
				continue
			}
			reads[rank]++
			next++
			v := p.Read(at(now), next, 0)
			for other, o := range pacers {
				if other != rank {
					require.False(t, o.Heard(v))
				}
			}
		}
	}
	require.InDelta(t, 66, reads[0], 2)
	for _, n := range reads[1:] {
		require.Zero(t, n)
	}
}

func TestWhatMattersIsReadAtOnceByAll(t *testing.T) {
	p := NewPacer(interval, 0)
	p.ReadWhole(at(0), 10)
	require.True(t, p.Heard(View{First: 5, Next: 30, Changed: 20, ReadAt: at(100 * time.Millisecond)}))
	require.True(t, p.Due(6).IsZero())
	next, known := p.Next()
	require.True(t, known)
	require.EqualValues(t, 10, next, "the records that matter are still to be read")
	p.Read(at(110*time.Millisecond), 30, 20)
	require.True(t, p.Due(6).After(at(interval)))
}

func TestAViewWithAGapIsNoHelp(t *testing.T) {
	p := NewPacer(interval, 0)
	p.ReadWhole(at(0), 10)
	require.False(t, p.Heard(View{First: 11, Next: 30, ReadAt: at(800 * time.Millisecond)}))
	next, _ := p.Next()
	require.EqualValues(t, 10, next)
	require.Equal(t, at(interval), p.Due(0))
}

func TestTheNextInstanceReadsWhenTheFirstFallsSilent(t *testing.T) {
	for _, c := range []struct {
		name string
		held time.Duration
		rank int
		want time.Duration
	}{
		{"the first", 0, 0, interval},
		{"the second", 0, 1, interval + secondDelay},
		{"the third", 0, 2, interval + othersDelay + 2*rankDelay},
		{"one of many", 0, 500, interval + othersDelay + latestRank*rankDelay},
		{"the second of a topic whose reads are held", time.Second, 1, interval + time.Second + secondDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPacer(interval, c.held)
			require.True(t, p.Due(c.rank).IsZero(), "what is not known is read at once")
			p.ReadWhole(at(0), 10)
			require.Equal(t, at(c.want), p.Due(c.rank))
		})
	}
}

func TestThoseWhoHaveReadWhatMatteredDoNotReadAgain(t *testing.T) {
	early, late := NewPacer(interval, 0), NewPacer(interval, 0)
	early.ReadWhole(at(0), 10)
	late.ReadWhole(at(0), 10)
	first := early.Read(at(interval), 20, 18)
	second := late.Read(at(interval+time.Millisecond), 23, 18)
	require.False(t, late.Heard(first))
	require.False(t, early.Heard(second))
	next, _ := early.Next()
	require.EqualValues(t, 23, next)
}

func TestARecordThatTheStoreDoesNotHaveIsReadForOnce(t *testing.T) {
	p := NewPacer(interval, 0)
	p.ReadWhole(at(0), 10)
	require.True(t, p.Heard(View{First: 5, Next: 9000, Changed: 9000, ReadAt: at(0)}))
	p.Read(at(time.Millisecond), 12, 0)
	require.True(t, p.Due(0).After(at(interval)))
}
