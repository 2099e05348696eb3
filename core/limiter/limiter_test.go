package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// window is the time in which an upstream may get 1.5 times its limit, and allowance the requests beyond that.
const (
	window    = 4 * time.Second
	allowance = 5
)

// requireWithin requires that no window has more requests than a limit allows.
func requireWithin(t *testing.T, sent []time.Time, perSecond float64) {
	t.Helper()
	for first := range sent {
		count := 0
		for _, at := range sent[first:] {
			if at.Sub(sent[first]) < window {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), 1.5*perSecond*window.Seconds()+allowance)
	}
}

// sender sends a request whenever its limiter lets it, at every step from a time on and before another one.
type sender struct {
	limiter  *Limiter
	share    float64
	from, to time.Duration
}

// send plays senders that all want more than the limit and returns the times of their requests.
func send(senders []*sender, perSecond float64, length time.Duration) []time.Time {
	var sent []time.Time
	for now := time.Duration(0); now < length; now += 5 * time.Millisecond {
		at := start.Add(now)
		for _, s := range senders {
			if now < s.from || now >= s.to {
				continue
			}
			s.limiter.Learn(Limit{Limited: true, PerSecond: perSecond, NamedAt: at})
			if s.limiter.Wait(at, s.share) == 0 {
				s.limiter.Take(at, s.share)
				sent = append(sent, at)
			}
		}
	}
	return sent
}

func TestRequestsStayWithinTheLimit(t *testing.T) {
	const length = 20 * time.Second
	alone := func(count int) []*sender {
		var senders []*sender
		for range count {
			senders = append(senders, &sender{share: 0.2 / float64(count), to: length})
		}
		return senders
	}
	for _, c := range []struct {
		name    string
		senders []*sender
		// used is the share of the limit that must be used at least.
		used float64
	}{
		{"one arbiter", []*sender{{share: 1, to: length}}, 0.95},
		{"the arbiter changes", []*sender{{share: 1, to: length / 2}, {share: 1, from: length / 2, to: length}}, 0.95},
		{
			"another arbiter and lone instances beside it",
			append(alone(7), &sender{share: 1, to: length}, &sender{share: 0.2, to: length}), 0.95,
		},
		{"295 instances decide alone", alone(295), 0},
		{"295 instances begin to decide alone", append(alone(295), &sender{share: 1, to: length}), 0.95},
	} {
		for _, perSecond := range []float64{0.7, 7.5, 60} {
			t.Run(c.name, func(t *testing.T) {
				for i, s := range c.senders {
					s.limiter = NewLimiter(float64(i) / float64(len(c.senders)))
				}
				sent := send(c.senders, perSecond, length)
				requireWithin(t, sent, perSecond)
				// Each arbiter begins without tokens.
				const begins = 2
				require.GreaterOrEqual(t, float64(len(sent)), c.used*perSecond*length.Seconds()-2*begins)
			})
		}
	}
}

func TestIdleInstancesHaveNoBurst(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		share     float64
	}{
		{"one arbiter", 1, 1}, {"lone instances", 295, 0.2 / 295},
	} {
		t.Run(c.name, func(t *testing.T) {
			var senders []*sender
			for i := range c.instances {
				phase := float64(i) / float64(c.instances)
				senders = append(senders, &sender{limiter: NewLimiter(phase), share: c.share, to: time.Hour})
			}
			send(senders, 7.5, time.Second)
			var sent []time.Time
			for range 50 {
				for _, s := range senders {
					if at := start.Add(time.Minute); s.limiter.Wait(at, s.share) == 0 {
						s.limiter.Take(at, s.share)
						sent = append(sent, at)
					}
				}
			}
			requireWithin(t, sent, 7.5)
		})
	}
}

func TestLimitBeginsAndEnds(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	named := func(d time.Duration) Limit { return Limit{Limited: true, PerSecond: 2, NamedAt: at(d)} }
	for _, c := range []struct {
		name    string
		learned []Limit
		limited bool
	}{
		{"never named", nil, false},
		{"named", []Limit{named(0)}, true},
		{"a response without it soon after", []Limit{named(0), {NamedAt: at(endDelay / 2)}}, true},
		{"a response without it later", []Limit{named(0), {NamedAt: at(endDelay)}}, false},
		{"an earlier response arrives late", []Limit{{NamedAt: at(time.Second)}, named(0)}, false},
	} {
		l := NewLimiter(0)
		for _, limit := range c.learned {
			l.Learn(limit)
		}
		require.Equal(t, c.limited, l.Limit().Limited, c.name)
	}
}

func TestWaitIsTheTimeToTheNextRequest(t *testing.T) {
	l := NewLimiter(0)
	l.Learn(Limit{Limited: true, PerSecond: 2, NamedAt: start})
	now := start
	for range 5 {
		wait := l.Wait(now, 1)
		require.LessOrEqual(t, wait, 500*time.Millisecond)
		now = now.Add(wait)
		require.Zero(t, l.Wait(now, 1))
		l.Take(now, 1)
	}
	l.Learn(Limit{Limited: true, PerSecond: 0, NamedAt: start.Add(time.Minute)})
	l.Take(start.Add(time.Minute), 1)
	require.LessOrEqual(t, l.Wait(start.Add(time.Minute), 1), 2*time.Second, "the end of a limit of zero must be noticed")
}

func TestSmallChangesOfTheRateAreNotReported(t *testing.T) {
	l := NewLimiter(0)
	for i, c := range []struct {
		limited   bool
		perSecond float64
		reported  bool
	}{
		{false, 0, false},
		{true, 8, true},
		{true, 8.1, false},
		{true, 7, false},
		{true, 5, true},
		{false, 0, true},
		{false, 0, false},
	} {
		reported := l.Learn(Limit{Limited: c.limited, PerSecond: c.perSecond, NamedAt: start.Add(time.Duration(i) * time.Second)})
		require.Equal(t, c.reported, reported, i)
		require.Equal(t, c.perSecond, l.Limit().PerSecond, "the rate itself is always learned")
	}
}
