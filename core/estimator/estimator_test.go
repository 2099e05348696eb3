package estimator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestEngine() *Engine {
	settings := DefaultSettings()
	return NewEngine("e", &settings)
}

func report(sequence uint64, queued identifier.Tokens, running int, step time.Duration) Load {
	return Load{
		Sequence: sequence, Role: identifier.RoleMixed, Model: "m", QueuedPrefill: queued, Running: running,
		PendingOutput: identifier.Tokens(running * 100), MaxBatch: 64, PrefillPerSecond: 8000, DecodeStep: step,
	}
}

func TestRateIgnoresOutliers(t *testing.T) {
	cases := []struct {
		name   string
		values []float64
		want   float64
	}{
		{"single outlier", []float64{100, 100, 100, 100, 900, 100}, 100},
		{"a lasting change is accepted", []float64{100, 100, 100, 100, 900, 900, 900, 900, 900, 900, 900}, 900},
		{"zero is ignored", []float64{100, 0, 100}, 100},
	}
	for _, c := range cases {
		r := Rate{}
		for _, v := range c.values {
			r.Observe(v)
		}
		require.InDelta(t, c.want, r.Value(1), 1, c.name)
	}
}

func TestLineFitsDecodeSteps(t *testing.T) {
	l := Line{}
	for i := range 200 {
		batch := float64(1 + i%40)
		l.Observe(batch, 0.014+0.0003*batch)
		if i%50 == 49 {
			l.Observe(batch, 0.2)
		}
	}
	require.InDelta(t, 0.0003, l.Slope(), 0.00003)
	require.InDelta(t, 0.014+0.0003*60, l.At(60), 0.001)
}

func TestOwnWorkCorrectsLateReport(t *testing.T) {
	e := newTestEngine()
	e.Observe(start, report(1, 0, 0, 0), false)
	idle := e.Prefill(start, 8000, nil, false)
	e.Dispatched(start.Add(3*time.Second), Work{Prefill: 16000, Output: 1}, nil)
	loaded := e.Prefill(start.Add(3*time.Second), 8000, nil, false)
	require.InDelta(t, 2, loaded.Wait-idle.Wait, 0.01)
	// The report three seconds later includes this instance's own work, which must not count twice.
	e.Observe(start.Add(6*time.Second), report(2, 16000, 0, 0), false)
	require.InDelta(t, loaded.Wait, e.Prefill(start.Add(6*time.Second), 8000, nil, false).Wait, 0.01)
	e.Prefilled(start.Add(6*time.Second), Work{Prefill: 16000})
	e.Ended(start.Add(6*time.Second), Work{Prefill: 16000, Output: 1}, 1, true)
	require.InDelta(t, 0, e.Prefill(start.Add(6*time.Second), 8000, nil, false).Wait, 0.01)
}

func TestAgeAndConfidence(t *testing.T) {
	e := newTestEngine()
	e.Observe(start, report(1, 40000, 0, 0), true)
	fresh := e.Prefill(start, 8000, nil, false)
	old := e.Prefill(start.Add(10*time.Second), 8000, nil, false)
	require.InDelta(t, 1, fresh.Confidence, 0.01)
	require.Less(t, old.Confidence, 0.1)
	require.InDelta(t, 10, old.Age, 0.01)
	require.InDelta(t, 5, fresh.Wait, 0.01)
	require.Zero(t, old.Wait, "an old queue has been processed")
	e.Observe(start.Add(10*time.Second), report(1, 40000, 0, 0), true)
	require.InDelta(t, 10, e.Prefill(start.Add(10*time.Second), 8000, nil, false).Age, 0.01,
		"a duplicate report is not newer")
}

func TestRestartedSequenceIsAccepted(t *testing.T) {
	e := newTestEngine()
	e.Observe(start, report(1000, 40000, 0, 0), false)
	for i := range 7 {
		e.Observe(start.Add(time.Duration(i+1)*time.Second), report(uint64(i+1), 0, 0, 0), false)
	}
	require.Equal(t, uint64(7), e.Load().Sequence)
	require.Zero(t, e.Load().QueuedPrefill)
}

func TestReportLagIsEstimated(t *testing.T) {
	e := newTestEngine()
	sequence := uint64(0)
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		e.Observe(now.Add(-100*time.Millisecond), report(sequence+1, 0, 0, 0), true)
		late := report(sequence+2, 0, 0, 0)
		e.Observe(now.Add(100*time.Millisecond), report(sequence+3, 0, 0, 0), true)
		e.Observe(now.Add(700*time.Millisecond), late, false)
		sequence += 3
	}
	require.InDelta(t, 0.7, e.lag.lag.Value(0), 0.05)
}

func TestPrefillInterferenceIsEstimated(t *testing.T) {
	e := newTestEngine()
	sequence := uint64(0)
	for range 10 {
		for batch := 2; batch <= 20; batch += 6 {
			sequence++
			e.Observe(start, report(sequence, 0, batch, 14*time.Millisecond+time.Duration(batch)*300*time.Microsecond), true)
		}
	}
	idle := e.Decode()
	for range 60 {
		sequence++
		e.Observe(start.Add(time.Duration(sequence)*time.Second), report(sequence, 9000, 20, 76*time.Millisecond), false)
	}
	now := start.Add(time.Duration(sequence) * time.Second)
	require.InDelta(t, 0.056, e.chunkTime.Value(0), 0.006)
	require.Greater(t, e.Decode().Duration(100), 2*idle.Duration(100))
	require.Greater(t, e.Pressure(0.04), 1.5)
	require.Greater(t, e.Prefill(now, 8000, nil, false).Duration, 1.2, "each chunk of prefill includes a decode step")
}

func TestCachedPrefix(t *testing.T) {
	prompt := []identifier.PrefixHash{1, 2, 3, 4}
	cases := []struct {
		name string
		act  func(e *Engine)
		want identifier.Tokens
	}{
		{"nothing sent", func(*Engine) {}, 0},
		{"own dispatch", func(e *Engine) { e.Dispatched(start, Work{}, prompt[:3]) }, 3 * identifier.BlockTokens},
		{"cache event of another instance's work", func(e *Engine) {
			e.CacheChanged(1, prompt[:2], nil, false)
		}, 2 * identifier.BlockTokens},
		{"eviction", func(e *Engine) {
			e.Dispatched(start, Work{}, prompt)
			e.CacheChanged(1, nil, prompt[2:], false)
		}, 2 * identifier.BlockTokens},
		{"restart", func(e *Engine) {
			e.Dispatched(start, Work{}, prompt)
			e.CacheChanged(1, nil, nil, true)
		}, 0},
		{"old event", func(e *Engine) {
			e.CacheChanged(5, nil, nil, true)
			e.CacheChanged(4, prompt, nil, false)
		}, 0},
		{"cached length in a response", func(e *Engine) {
			e.ObserveCached(prompt, 2*identifier.BlockTokens+100)
		}, 2 * identifier.BlockTokens},
	}
	for _, c := range cases {
		e := newTestEngine()
		c.act(e)
		require.Equal(t, c.want, e.Prefill(start, 10*identifier.BlockTokens, prompt, false).Cached, c.name)
	}
	e := newTestEngine()
	require.False(t, e.CacheChanged(1, nil, nil, false))
	require.True(t, e.CacheChanged(3, nil, nil, false), "a gap is reported")
}

func TestPrefixCacheIsBounded(t *testing.T) {
	e := newTestEngine()
	for i := range 5000 {
		e.Dispatched(start, Work{}, []identifier.PrefixHash{identifier.PrefixHash(i + 1)})
	}
	require.Len(t, e.cache.nodes, maxBlocks)
	load := report(1, 0, 0, 0)
	load.CacheCapacityTokens = 10 * identifier.BlockTokens
	e.Observe(start, load, false)
	require.Len(t, e.cache.nodes, 10)
	require.Equal(t, identifier.BlockTokens, e.Prefill(start, 9000, []identifier.PrefixHash{5000}, false).Cached)
}

func TestLikelyOutputLength(t *testing.T) {
	var unknown *OutputLength
	likely, long := unknown.Likely(100, 400)
	require.Equal(t, identifier.Tokens(100), likely)
	require.Equal(t, identifier.Tokens(400), long)
	observed := &OutputLength{}
	for i := range 1000 {
		observed.Observe(identifier.Tokens(100 + i%101))
	}
	likely, long = observed.Likely(0, 1000)
	require.InDelta(t, 150, float64(likely), 15)
	require.InDelta(t, 190, float64(long), 15)
}
