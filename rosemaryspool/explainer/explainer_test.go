package explainer

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

func TestExplainerDropsOldestRequest(t *testing.T) {
	e := NewExplainer()
	e.Add("first", "routed")
	e.Add("first", "retried")
	require.Equal(t, []string{"routed", "retried"}, e.Find("first"))
	for i := range maxRequests {
		e.Add(identifier.RequestID(strconv.Itoa(i)), "routed")
	}
	require.Empty(t, e.Find("first"))
	require.Len(t, e.Find("0"), 1)
	require.Len(t, e.lines, maxRequests)
}
