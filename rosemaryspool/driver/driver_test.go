package driver

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/reader"
)

// recorder is a machine that keeps the events that it gets.
type recorder struct {
	events []int
	ticks  int
	reads  int
}

func (r *recorder) NextOffset() identifier.Offset             { return 0 }
func (r *recorder) HandleRead(context.Context, reader.Result) { r.reads++ }
func (r *recorder) HandleEvent(_ context.Context, event int)  { r.events = append(r.events, event) }
func (r *recorder) HandleTick(_ context.Context, _ time.Time) { r.ticks++ }

// absentLog is a log that can't be reached.
type absentLog struct{ appender.Log }

func (absentLog) Read(
	context.Context, appender.Stream, identifier.Offset, int, time.Duration,
) (appender.Batch, error) {
	return appender.Batch{}, errors.New("absent")
}

func TestDriverPassesEverythingToTheMachineUntilItStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &recorder{}
		d := NewDriver[int](machine, time.Second, 1)
		d.Follow(machine, reader.NewReader(absentLog{}, "stream", zerolog.Nop()))
		stop := make(chan struct{})
		go d.Run(stop)
		for n := range 3 {
			require.True(t, d.Notify(n))
		}
		d.AwaitIdle(t.Context(), func() bool { return machine.ticks == 2 })
		require.True(t, d.Inspect(t.Context(), func() {
			require.Equal(t, []int{0, 1, 2}, machine.events)
			require.NotZero(t, machine.reads)
		}))
		ended, leave := context.WithCancel(t.Context())
		leave()
		d.AwaitIdle(ended, func() bool { return false })
		release := make(chan struct{})
		d.Go(func() {
			<-release
			// The queue is full after one of these unless it is drained.
			for n := range 3 {
				d.Notify(n)
			}
		})
		close(stop)
		synctest.Wait()
		select {
		case <-d.Done():
			require.Fail(t, "the driver did not wait for its task")
		default:
		}
		close(release)
		<-d.Done()
		require.False(t, d.Notify(4))
		require.False(t, d.Inspect(t.Context(), func() { require.Fail(t, "called after the stop") }))
		require.Equal(t, []int{0, 1, 2}, machine.events)
	})
}
