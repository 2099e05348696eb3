package deduplicator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// newDispatched returns a deduplicator whose request "one" won its claim, the time and the resulting dispatch.
func newDispatched(t *testing.T) (*Deduplicator, time.Time, Dispatch) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	d := NewDeduplicator(NewSettings("i", "1", "claims"))
	d.Handle(RecordsRead{Now: now, WallNow: now, End: 1})
	d.Handle(arrival(now, "one"))
	now = now.Add(time.Second)
	appended := d.Handle(Ticked{Now: now, WallNow: now})
	require.Len(t, appended, 1)
	entry := replayer.Entry{Offset: 1, Record: appended[0].(Append).Records[0]}
	dispatched := d.Handle(RecordsRead{Now: now, WallNow: now, Entries: []replayer.Entry{entry}, End: 2})
	require.Len(t, dispatched, 1)
	return d, now, dispatched[0].(Dispatch)
}

func arrival(now time.Time, request identifier.RequestID) CallArrived {
	return CallArrived{
		Now: now, WallNow: now, Request: request, Caller: "c", Key: "k", IssuedAt: now,
		RequestHash: 7, Service: "s", Deadline: now.Add(time.Minute),
	}
}

func TestRepeatBeforeTheOutcomeIsReadBack(t *testing.T) {
	cases := []struct {
		name   string
		result messenger.DispatchResult
		want   func(t *testing.T, action Action)
	}{
		{"done", messenger.DispatchResult_DISPATCH_RESULT_DONE, func(t *testing.T, a Action) {
			require.Equal(t, []byte("answer"), a.(Reply).Body)
			require.True(t, a.(Reply).Repeated)
		}},
		{"unknown", messenger.DispatchResult_DISPATCH_RESULT_UNKNOWN, func(t *testing.T, a Action) {
			require.Equal(t, refuser.KeyRunning, a.(Refuse).Refusal.Code)
		}},
		{"not run", messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN, func(t *testing.T, a Action) {
			require.Equal(t, refuser.KeyRunning, a.(Refuse).Refusal.Code)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, now, dispatch := newDispatched(t)
			d.Handle(DispatchEnded{Now: now, Attempt: dispatch.Attempt, Result: c.result, Status: 200, Body: []byte("answer")})
			actions := d.Handle(arrival(now, "two"))
			require.NotEmpty(t, actions)
			c.want(t, actions[0])
		})
	}
}
