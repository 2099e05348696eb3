package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// step is one call on an exchange: publish, commit or releaseLead by an attempt, or a read by the caller.
type step struct {
	publish, commit, releaseLead identifier.AttemptID
	text                         string
	// rejected is true if commit must not accept the text.
	rejected bool
	// wantNew is the text that the caller must receive, on steps without an attempt.
	wantNew string
}

func TestExchangeNeverMixesTexts(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"one attempt", []step{
			{publish: "a", text: "on"},
			{wantNew: "on"},
			{publish: "a", text: "one"},
			{commit: "a", text: "one"},
			{wantNew: "e"},
		}},
		{"resumed by another attempt", []step{
			{publish: "a", text: "on"}, {wantNew: "on"}, {releaseLead: "a"}, {publish: "b", text: "one"}, {wantNew: "e"},
		}},
		{"text of a hedge is ignored", []step{{publish: "a", text: "on"}, {publish: "b", text: "two"}, {wantNew: "on"}}},
		{"hedge wins before the caller reads", []step{
			{publish: "a", text: "on"}, {commit: "b", text: "two"}, {wantNew: "two"},
		}},
		{"hedge cannot win after the caller has read", []step{
			{publish: "a", text: "on"}, {wantNew: "on"}, {commit: "b", text: "two", rejected: true},
		}},
		{"attempt with different text cannot become leader", []step{
			{publish: "a", text: "on"},
			{wantNew: "on"},
			{releaseLead: "a"},
			{publish: "b", text: "two"},
			{wantNew: ""},
			{publish: "c", text: "one"},
			{wantNew: "e"},
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
