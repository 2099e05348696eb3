package meterer

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

const (
	length = 5 * time.Second
	delay  = 10 * time.Second
)

func at(seconds float64) time.Time { return time.Unix(0, int64(seconds*float64(time.Second))) }

func TestWindows(t *testing.T) {
	require.Equal(t, Window(0), WindowAt(at(4.999), length))
	require.Equal(t, Window(1), WindowAt(at(5), length))
	require.Equal(t, at(10), Window(1).End(length))
}

func TestCounterReturnsWhatChanged(t *testing.T) {
	c := NewCounter()
	c.Count(1, "a")
	c.Count(1, "b")
	counts, version := c.Since(0)
	require.Equal(t, map[Window]Usage{1: {"a": 1, "b": 1}}, counts)
	c.Count(1, "a")
	c.Count(2, "c")
	counts, _ = c.Since(version)
	require.Equal(t, map[Window]Usage{1: {"a": 2}, 2: {"c": 1}}, counts)
	c.Discard(2)
	counts, _ = c.Since(0)
	require.Equal(t, map[Window]Usage{2: {"c": 1}}, counts)
}

func TestCollectorBearsRepeatsAndDisorder(t *testing.T) {
	c := NewCollector()
	first, again := Sender{"i1", 1}, Sender{"i1", 2}
	c.Merge(first, 1, Usage{"a": 5})
	c.Merge(first, 1, Usage{"a": 3, "b": 1})
	c.Merge(first, 1, Usage{"a": 5})
	c.Merge(again, 1, Usage{"a": 2})
	c.Merge(Sender{"i2", 1}, 1, Usage{"a": 1})
	require.Equal(t, Usage{"a": 8, "b": 1}, c.Total(1))
	require.Empty(t, c.Total(2))
	c.Discard(2)
	require.Empty(t, c.Total(1))
}

func TestClockFollowsMostOthers(t *testing.T) {
	cases := []struct {
		name    string
		own     float64
		others  []float64
		known   bool
		correct float64
	}{
		{"too few", 2, []float64{0, 0, 0}, false, 2},
		{"own clock is ahead", 2, []float64{0, 0.02, -0.01, 0.01}, true, 0.01},
		{"two others are behind", 0, []float64{-6, -6, 0.01, 0.02}, true, 0},
		{"small differences say nothing", 0, []float64{0.08, 0.08, 0.08, 0.08}, true, 0},
	}
	for _, c := range cases {
		clock := NewClock(at(1000+c.own), time.Minute)
		for i, offset := range c.others {
			clock.Heard(time.Minute, identifier.InstanceID(fmt.Sprint(i)), at(1000+offset))
		}
		reference, known := clock.Reference(time.Minute)
		require.Equal(t, c.known, known, c.name)
		if known {
			clock.Adopt(time.Minute, reference)
		}
		require.InDelta(t, 1000+c.correct, clock.Now(time.Minute).Sub(at(0)).Seconds(), 1e-6, c.name)
		require.InDelta(t, 1001+c.own, clock.Uncorrected(time.Minute+time.Second).Sub(at(0)).Seconds(), 1e-6, c.name)
		_, known = clock.Reference(time.Minute + 2*clockMemory)
		require.False(t, known, c.name)
	}
}

func encode(w Window, counts Usage) ([]byte, error) { return fmt.Appendf(nil, "%d %v", w, counts), nil }

func digest(body string) Digest { return sha256.Sum256([]byte(body)) }

// decide returns the task at a time, with a request of account a in window 20, which ends at 105.
func decide(t *testing.T, l *Ledger, now float64) Task { return decideKnowing(t, l, now, true) }

func decideKnowing(t *testing.T, l *Ledger, now float64, complete bool) Task {
	task, err := l.Decide(at(now), complete, func(w Window) Usage {
		if w != 20 {
			return Usage{}
		}
		return Usage{"a": 1}
	})
	require.NoError(t, err)
	return task
}

const body = "20 map[a:1]"

func TestReportIsRecordedThenSentOnce(t *testing.T) {
	l := NewLedger(length, delay, encode)
	require.Nil(t, decide(t, l, 106.9))
	record := Record{Window: 20, Body: []byte(body), Digest: digest(body)}
	require.Equal(t, record, decide(t, l, 107))
	l.Failed(at(107), 20)
	require.Nil(t, decide(t, l, 107.2))
	require.Equal(t, record, decide(t, l, 107.4))
	l.Recorded(20, []byte(body), digest(body))
	require.Equal(t, Send{Window: 20, Body: []byte(body)}, decide(t, l, 108))
	l.Failed(at(108), 20)
	require.Nil(t, decide(t, l, 108.5))
	require.Equal(t, Send{Window: 20, Body: []byte(body)}, decide(t, l, 108.7))
	l.Accepted(20)
	require.Nil(t, decide(t, l, 109))
}

func TestReportWaitsForCounts(t *testing.T) {
	l := NewLedger(length, delay, encode)
	require.Nil(t, decideKnowing(t, l, 107, false))
	require.Nil(t, decideKnowing(t, l, 113.9, false))
	require.IsType(t, Record{}, decideKnowing(t, l, 114, false))
	require.IsType(t, Record{}, decideKnowing(t, l, 108, true))
	l.Recorded(20, []byte(body), digest(body))
	require.IsType(t, Send{}, decideKnowing(t, l, 108, false))
}

func TestRecordOfAnotherGoesFirst(t *testing.T) {
	const other = "20 map[a:2]"
	cases := []struct {
		name   string
		body   []byte
		digest Digest
		want   Task
	}{
		{"whole", []byte(other), digest(other), Send{Window: 20, Body: []byte(other)}},
		{"same digest", nil, digest(body), Send{Window: 20, Body: []byte(body)}},
		{"other digest", nil, digest(other), Missed{Window: 20, Cause: "differs"}},
	}
	for _, c := range cases {
		for _, prepared := range []bool{false, true} {
			l := NewLedger(length, delay, encode)
			if prepared {
				decide(t, l, 107)
			}
			l.Recorded(20, c.body, c.digest)
			l.Recorded(20, []byte("later"), digest("later"))
			require.Equal(t, c.want, decide(t, l, 108), c.name)
		}
	}
}

func TestDoubtfulAndLateWindowsAreNotSent(t *testing.T) {
	l := NewLedger(length, delay, encode)
	l.DoubtBefore(at(107.1))
	require.Nil(t, decide(t, l, 108))
	require.Equal(t, Missed{Window: 20, Cause: "late"}, decide(t, l, 115))
	require.Nil(t, decide(t, l, 115.1))

	l = NewLedger(length, delay, encode)
	l.DoubtBefore(at(106.9))
	require.IsType(t, Record{}, decide(t, l, 108))

	l = NewLedger(length, delay, encode)
	l.Recorded(20, []byte(body), digest(body))
	l.DoubtBefore(at(107.1))
	require.IsType(t, Send{}, decide(t, l, 108))
}
