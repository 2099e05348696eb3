package gatekeeper

import (
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
)

// TestRequestsThatArriveWhileAnInstanceStartsAreServed plays callers who return as soon as an instance listens again,
// before it knows the configuration.
func TestRequestsThatArriveWhileAnInstanceStartsAreServed(t *testing.T) {
	u := newPlainUpstream("u1")
	ti := newTestInstance(t, u)
	var group conc.WaitGroup
	answers := make([]callerResponse, 20)
	for i := range answers {
		group.Go(func() { answers[i] = ti.send(http.MethodGet, lookups+"x", "") })
	}
	time.Sleep(50 * time.Millisecond)
	ti.configure(1)
	group.Wait()
	for _, a := range answers {
		require.Equal(t, http.StatusOK, a.status)
	}
}
