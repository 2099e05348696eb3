package meter

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

func TestCountersByAccountAreBounded(t *testing.T) {
	const limit, small = 8, 44_000
	registry := metrics.NewRegistry()
	c := NewCallers(registry, limit)
	for i := range small {
		c.Count(identifier.CallerID(fmt.Sprint("small ", i)), "served")
		if i%4 == 0 {
			c.Count("large", "refused")
		}
	}
	names, total := 0, int64(0)
	registry.Each(func(name string, metric any) {
		require.True(t, strings.HasPrefix(name, "callerRequests."))
		require.NotContains(t, name, " ")
		names++
		total += metric.(metrics.Counter).Count()
	})
	require.LessOrEqual(t, names, limit+2)
	require.EqualValues(t, small+small/4, total)
	require.EqualValues(t, small/4, metrics.GetOrRegisterCounter("callerRequests.refused.large", registry).Count())
}
