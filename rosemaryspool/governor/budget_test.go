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
	for _, c := range []struct {
		name string
		// heardOf is the number of others of which an instance has heard without having read the list of members.
		heardOf int
	}{
		{"heard of none", 0},
		{"heard of a few", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			retries := 0
			for n := range instances {
				g := newBudgetGovernor(n, settings)
				for other := range c.heardOf {
					g.Heard(now, elector.Member{Instance: identifier.InstanceID(fmt.Sprint("other-", other))}, false, false)
				}
				for range requests {
					g.CountRequest(now, "model")
				}
				for g.TryRetry(now, "model") {
					retries++
				}
			}
			require.LessOrEqual(t, float64(retries), settings.Ratio*requests*instances+settings.Extra)
		})
	}
}
