package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// step is one thing that happens to an exchange.
type step struct {
	publish, commit, releaseLead identifier.AttemptID
	text                   string
	// refused tells that settle must not take the text.
	rejected bool
	// read is the text that the caller gets now; checked on steps without an attempt.
	wantNew string
}

func TestExchangeNeverMixesTexts(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"one attempt", []step{{publish: "a", text: "on"}, {wantNew: "on"}, {publish: "a", text: "one"}, {commit: "a", text: "one"}, {wantNew: "e"}}},
		{"resumed on another", []step{{publish: "a", text: "on"}, {wantNew: "on"}, {releaseLead: "a"}, {publish: "b", text: "one"}, {wantNew: "e"}}},
		{"hedge does not mix in", []step{{publish: "a", text: "on"}, {publish: "b", text: "two"}, {wantNew: "on"}}},
		{"hedge wins before the caller read", []step{{publish: "a", text: "on"}, {commit: "b", text: "two"}, {wantNew: "two"}}},
		{"hedge cannot win after the caller read", []step{{publish: "a", text: "on"}, {wantNew: "on"}, {commit: "b", text: "two", rejected: true}}},
		{"other text cannot take the lead", []step{
			{publish: "a", text: "on"}, {wantNew: "on"}, {releaseLead: "a"}, {publish: "b", text: "two"}, {wantNew: ""}, {publish: "c", text: "one"}, {wantNew: "e"},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newExchange("r", nil)
			for _, s := range c.steps {
				applyStep(t, x, s)
			}
		})
	}
}

func applyStep(t *testing.T, x *Exchange, s step) {
	t.Helper()
	switch {
	case s.publish != "":
		x.publish(s.publish, []byte(s.text), identifier.Tokens(len(s.text)))
	case s.commit != "":
		require.Equal(t, !s.rejected, x.commit(s.commit, []byte(s.text), identifier.Tokens(len(s.text))))
	case s.releaseLead != "":
		x.releaseLead(s.releaseLead)
	default:
		progress, _ := x.takeNew()
		require.Equal(t, s.wantNew, string(progress.Text))
	}
}

func TestExchangeEndsOnce(t *testing.T) {
	x := newExchange("r", nil)
	x.end(refuser.NewRefusal(refuser.Overloaded, refuser.NotRun, "full"), Finish{})
	x.end(nil, Finish{Reason: "stop"})
	x.publish("a", []byte("late"), 1)
	require.False(t, x.commit("a", []byte("late"), 1))
	progress, err := x.Next(t.Context())
	require.NoError(t, err)
	require.True(t, progress.Ended)
	require.Empty(t, progress.Text)
	require.Equal(t, refuser.Overloaded, progress.Refusal.Code)
}
