package sequencer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFunctionsRunInTheOrderOfTheClock(t *testing.T) {
	var s Sequencer
	var ran []string
	add := func(delay time.Duration, name string) {
		s.After(delay, func() {
			require.Equal(t, max(delay, 0), s.Now)
			ran = append(ran, name)
		})
	}
	add(2*time.Second, "late")
	add(time.Second, "first")
	add(time.Second, "second")
	add(-time.Second, "overdue")
	s.RunUntil(time.Second)
	require.Equal(t, []string{"overdue", "first", "second"}, ran)
	require.Equal(t, time.Second, s.Now)
	s.RunUntil(3 * time.Second)
	require.Equal(t, "late", ran[3])
	require.Equal(t, 3*time.Second, s.Now)
}
