package pacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A hundred neighbours that each read for themselves send views that show a gap, several a millisecond.
func TestSnapshotIsAskedForByOneRequestAtATime(t *testing.T) {
	var r Requests
	asked := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond / 4 {
		if try, due := r.Ask(at(now)); due {
			require.Equal(t, asked, try)
			asked++
		}
	}
	require.LessOrEqual(t, asked, 14)
	require.GreaterOrEqual(t, asked, 8)
}

func TestSnapshotThatArrivesIsNotAskedForAgain(t *testing.T) {
	var r Requests
	_, due := r.Ask(at(0))
	require.True(t, due)
	now := time.Duration(0)
	for range 75 {
		now += firstRequestWait - time.Millisecond
		_, due = r.Ask(at(now))
		require.False(t, due)
		r.Progressed(at(now))
	}
	_, due = r.Ask(at(now + firstRequestWait))
	require.True(t, due, "it has stopped")
	r.Completed()
	try, due := r.Ask(at(now + firstRequestWait))
	require.True(t, due)
	require.Zero(t, try)
}
