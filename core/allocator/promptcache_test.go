package allocator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPromptCache(t *testing.T) {
	root, topic, other := PromptPart{Hash: 1, Tokens: 100}, PromptPart{Hash: 2, Tokens: 200}, PromptPart{Hash: 3, Tokens: 150}
	for _, c := range []struct {
		name   string
		used   [][]PromptPart
		prompt []PromptPart
		cached int
	}{
		{"empty", nil, []PromptPart{root}, 0},
		{"whole prompt", [][]PromptPart{{root, topic}}, []PromptPart{root, topic}, 300},
		{"common prefix", [][]PromptPart{{root, topic}}, []PromptPart{root, other}, 100},
		{"part after a missing one", [][]PromptPart{{topic}}, []PromptPart{root, topic}, 0},
		{"least recently used part evicted", [][]PromptPart{{root, topic}, {root, other}}, []PromptPart{root, topic}, 100},
		{"recently used part kept", [][]PromptPart{{root, topic}, {root, other}}, []PromptPart{root, other}, 250},
	} {
		t.Run(c.name, func(t *testing.T) {
			cache := newPromptCache(400)
			for _, prompt := range c.used {
				cache.use(prompt)
			}
			require.EqualValues(t, c.cached, cache.cached(c.prompt))
			require.LessOrEqual(t, cache.used, cache.capacity)
		})
	}
}

func TestSmallerMemoryEvicts(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(1, 0)
	require.Len(t, a.EnginesWithoutMemory(time.Now(), model), 1)
	first := longPromptRequest(1, 3000)
	for i := range 20 {
		_, refusal := a.PlaceFor(now, "other", "here", uint64(i), longPromptRequest(i+1, 3000))
		require.Nil(t, refusal)
		a.UpdatePeer(now, "other", model, Loads{}, uint64(i+1))
	}
	require.Positive(t, a.upstreams["u0"].cache.cached(first.Prompt))
	a.SetMemory("u0", 7, 20000)
	require.Positive(t, a.upstreams["u0"].cache.cached(first.Prompt), "a report of an earlier incarnation does not count")
	a.SetMemory("u0", 0, 20000)
	require.EqualValues(t, 2500, a.upstreams["u0"].cache.cached(first.Prompt), "only the part that all requests share is left")
	require.Empty(t, a.EnginesWithoutMemory(time.Now(), model))
}
