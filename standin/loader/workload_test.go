package loader

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/simulator"
)

func TestArrivalsMatchWorkload(t *testing.T) {
	workload := simulator.NewWorkload(simulator.Kalipci(), 1, 0.5, time.Minute)
	arrivals := slices.Collect(Arrivals(workload, "prova-llm", []identifier.CallerID{"terzi"}))
	require.Len(t, arrivals, len(workload.Requests))
	require.NotEmpty(t, arrivals)
	texts := map[identifier.PrefixHash]identifier.PrefixHash{}
	shared := 0
	for i, a := range arrivals {
		r := workload.Requests[i]
		require.Equal(t, r.Prompt, hasher.CountTokens(a.Prompt))
		require.Equal(t, r.Arrival, a.At)
		require.EqualValues(t, "terzi", a.Caller)
		require.True(t, strings.Contains(a.Prompt, " answerTokens="))
		hashes := hasher.HashPrefixes(a.Model, a.Prompt)
		for p := range max(len(r.Prefix)-1, 0) {
			if previous, ok := texts[r.Prefix[p]]; ok {
				require.Equal(t, previous, hashes[p], "equal prefixes have equal texts")
				shared++
			}
			texts[r.Prefix[p]] = hashes[p]
		}
	}
	require.Positive(t, shared)
}
