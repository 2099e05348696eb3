package governor

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
)

func newBudgetGovernor(number int, retry budgeter.Settings) *Governor {
	self := elector.Member{Instance: identifier.InstanceID(fmt.Sprint("spool-", number)), DataCentre: "here"}
	return NewGovernor(Settings{Self: self, Retry: retry, Allocator: allocator.DefaultSettings()}, zerolog.Nop())
}

func TestInstancesThatKnowNoOthersStayWithinTheRetryBudget(t *testing.T) {
	const instances, requests = 81, 10
	settings := budgeter.Settings{Ratio: 0.2, Extra: 202, Window: 10 * time.Second}
	now := time.Now()
	retries := 0
	for n := range instances {
		g := newBudgetGovernor(n, settings)
		for range requests {
			g.CountRequest(now, "model")
		}
		for g.TryRetry(now, "model") {
			retries++
		}
	}
	require.LessOrEqual(t, float64(retries), settings.Ratio*requests*instances+settings.Extra)
}
