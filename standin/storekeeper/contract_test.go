package storekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/permitter"
	"rosemaryspool.example/standin/server"
)

func TestStoreContract(t *testing.T) {
	cases := []struct {
		name     string
		faults   Faults
		requests int
		// granted is the outcome of the last request.
		granted bool
		fails   bool
	}{
		{"within the burst", Faults{}, 2, true, false},
		{"over the burst", Faults{}, 3, false, false},
		{"outage", Faults{Outage: true}, 1, false, true},
	}
	for _, c := range cases {
		for _, overTCP := range []bool{false, true} {
			fake := NewStore(Settings{LoadsPerMinute: 1e-6, Burst: 2, Faults: c.faults})
			var store permitter.Store = fake
			if overTCP {
				s, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: fake.Handler()})
				require.NoError(t, err)
				defer s.Close()
				store = permitter.NewClient(s.URL())
			}
			var permit permitter.Permit
			var err error
			for range c.requests {
				permit, err = store.Permit(t.Context(), "lume-llm", "2")
			}
			require.Equal(t, c.fails, err != nil, c.name)
			require.Equal(t, c.granted, permit.Granted, c.name)
			require.Equal(t, !c.granted && !c.fails, permit.RetryAfter > 0, c.name)
		}
	}
}

func TestRetryAfterIsLongEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(Settings{LoadsPerMinute: 6, Burst: 1})
		first, err := store.Permit(t.Context(), "lume-llm", "2")
		require.NoError(t, err)
		require.True(t, first.Granted)
		second, err := store.Permit(t.Context(), "lume-llm", "2")
		require.NoError(t, err)
		require.False(t, second.Granted)
		require.InDelta(t, 10*time.Second, second.RetryAfter, float64(time.Millisecond))
		time.Sleep(second.RetryAfter)
		third, err := store.Permit(t.Context(), "lume-llm", "2")
		require.NoError(t, err)
		require.True(t, third.Granted)
	})
}
