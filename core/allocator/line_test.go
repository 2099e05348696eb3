package allocator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

// Engines of different models differ by an order of magnitude in their rates and in the fixed part of a prefill. A fixed
// part that is taken for a rate makes queues of many short prompts look longer than they are, so that requests are
// refused that could be served.
func TestLineFindsFixedPartAndRate(t *testing.T) {
	for _, c := range []struct {
		name  string
		base  time.Duration
		rate  float64
		noise time.Duration
	}{
		{"fast engines", 5 * time.Millisecond, 942, 0},
		{"slow engines with a long fixed part", 38 * time.Millisecond, 90, 0},
		{"noisy measurements", 38 * time.Millisecond, 90, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLine(PrefillTime{Base: 4 * time.Millisecond, PerToken: 1250 * time.Nanosecond}, priorWeight)
			truth := func(tokens identifier.Tokens) time.Duration {
				return c.base + time.Duration(float64(tokens)/c.rate*float64(time.Millisecond))
			}
			for i := range 60 {
				tokens := identifier.Tokens(400 + 1931*i%15000)
				l.observe(tokens, truth(tokens)+c.noise*time.Duration(i%3-1))
			}
			for _, tokens := range []identifier.Tokens{500, 4000, 20000} {
				require.InDelta(t, truth(tokens).Seconds(), l.at(tokens).Seconds(), 0.1*truth(tokens).Seconds()+0.003, tokens)
			}
		})
	}
}

func TestLineKeepsItsRateWithoutSpread(t *testing.T) {
	l := newLine(PrefillTime{Base: 4 * time.Millisecond, PerToken: 1250 * time.Nanosecond}, priorWeight)
	for range 200 {
		l.observe(3000, 7*time.Millisecond)
	}
	require.Positive(t, l.perToken)
	require.InDelta(t, 0.007, l.at(3000).Seconds(), 0.001)
}
