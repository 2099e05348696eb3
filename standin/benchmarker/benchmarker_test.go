package benchmarker

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFit(t *testing.T) {
	cases := []struct {
		name                         string
		sizes, values                []float64
		fixed, slope, squared, worst float64
	}{
		{"exact line", []float64{10, 100, 1000, 10_000}, []float64{25, 205, 2005, 20_005}, 5, 2, 1, 0},
		{"no growth", []float64{10, 100, 1000, 10_000}, []float64{7, 7, 7, 7}, 7, 0, 1, 0},
		// The line runs through the mean of the first two points; the weights are 1, 1 and 1/4.
		{"scatter", []float64{1, 1, 2}, []float64{1, 3, 4}, 0, 2, 1 - 2/(26.0/9), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFit(c.sizes, c.values)
			require.InDelta(t, c.fixed, f.intercept, 1e-9)
			require.InDelta(t, c.slope, f.slope, 1e-9)
			require.InDelta(t, c.squared, f.rSquared, 1e-9)
			require.InDelta(t, c.worst, f.worstError, 1e-9)
		})
	}
}

func TestFanOut(t *testing.T) {
	usual := polling{wait: readWait, timeout: readTimeout, exchange: 400, record: 200}
	short := polling{wait: shortWait, timeout: shortTimeout, exchange: 400, record: 200}
	cases := []struct {
		name     string
		c        fanOutCase
		polling  polling
		maxDelay time.Duration
		maxReads float64
	}{
		{"direct", fanOutCase{topology: topologyDirect, readers: 60, perSecond: 0.5}, usual, 80 * time.Millisecond, 60},
		{"relay", fanOutCase{topology: topologyRelay, readers: 60, perSecond: 0.5}, usual, 70 * time.Millisecond, 12},
		{"tree", fanOutCase{topology: topologyTree, readers: 60, perSecond: 0.5}, usual, 70 * time.Millisecond, 5},
		{
			"relay crash",
			fanOutCase{topology: topologyRelay, readers: 60, perSecond: 0.5, crash: true},
			usual,
			5200 * time.Millisecond, 20,
		},
		{
			"relay crash with short polls",
			fanOutCase{topology: topologyRelay, readers: 60, perSecond: 0.5, crash: true},
			short, 1700 * time.Millisecond, 30,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := c.c.run(c.polling)
			require.Zero(t, s.missing)
			require.GreaterOrEqual(t, s.longest, s.floor)
			require.LessOrEqual(t, s.longest, c.maxDelay)
			require.LessOrEqual(t, s.logReads, c.maxReads)
			require.Equal(t, s, c.c.run(c.polling), "two runs of a case give the same result")
		})
	}
}

func TestDeploymentRepliesToEveryCall(t *testing.T) {
	d := newDeployment(3, 4)
	d.run(5*time.Second, 20)
	d.run(2*time.Second, 0)
	require.Equal(t, 100, d.calls)
	require.Equal(t, 100, d.replies)
	require.Zero(t, d.refusals)
	require.Len(t, d.control.scopes(), 4)
}

func TestRunParts(t *testing.T) {
	output := &bytes.Buffer{}
	require.NoError(t, NewBenchmarker(output).Run([]string{"reports"}))
	require.Contains(t, output.String(), "figure=reportBinaryBytes unit=B value=142\n")
	require.ErrorContains(t, NewBenchmarker(io.Discard).Run([]string{"weather"}), "want one of scheduler,")
}

func TestSuccessorAfterCrash(t *testing.T) {
	d := newDeployment(3, failureScopes)
	d.run(warmUpDuration, 0)
	first := d.holder()
	require.NotNil(t, first)
	first.crashed = true
	require.False(t, d.allScopesHeld())
	gap := d.awaitHolders()
	require.Greater(t, gap, 4*time.Second, "the gap is shorter than the rest of the lease")
	require.Less(t, gap, 8*time.Second)
	require.NotSame(t, first, d.holder())
}
