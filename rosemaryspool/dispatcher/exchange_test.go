package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// step is one thing that happens to an exchange.
type step struct {
	offer, settle, release identifier.AttemptID
	text                   string
	// refused tells that settle must not take the text.
	refused bool
	// read is the text that the caller gets now; checked on steps without an attempt.
	read string
}

func TestExchangeNeverMixesTexts(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"one attempt", []step{{offer: "a", text: "on"}, {read: "on"}, {offer: "a", text: "one"}, {settle: "a", text: "one"}, {read: "e"}}},
		{"resumed on another", []step{{offer: "a", text: "on"}, {read: "on"}, {release: "a"}, {offer: "b", text: "one"}, {read: "e"}}},
		{"hedge does not mix in", []step{{offer: "a", text: "on"}, {offer: "b", text: "two"}, {read: "on"}}},
		{"hedge wins before the caller read", []step{{offer: "a", text: "on"}, {settle: "b", text: "two"}, {read: "two"}}},
		{"hedge cannot win after the caller read", []step{{offer: "a", text: "on"}, {read: "on"}, {settle: "b", text: "two", refused: true}}},
		{"other text cannot take the lead", []step{
			{offer: "a", text: "on"}, {read: "on"}, {release: "a"}, {offer: "b", text: "two"}, {read: ""}, {offer: "c", text: "one"}, {read: "e"},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newExchange("r", nil)
			for _, s := range c.steps {
				apply(t, x, s)
			}
		})
	}
}

func apply(t *testing.T, x *Exchange, s step) {
	t.Helper()
	switch {
	case s.offer != "":
		x.publish(s.offer, []byte(s.text), identifier.Tokens(len(s.text)))
	case s.settle != "":
		require.Equal(t, !s.refused, x.commit(s.settle, []byte(s.text), identifier.Tokens(len(s.text))))
	case s.release != "":
		x.releaseLead(s.release)
	default:
		progress, _ := x.takeNew()
		require.Equal(t, s.read, string(progress.Text))
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
