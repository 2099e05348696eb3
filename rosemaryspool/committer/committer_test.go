package committer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/throttler"
)

// countingLog keeps the number of records of each append by stream.
type countingLog struct {
	mutex   sync.Mutex
	appends map[appender.Stream][]int
	next    identifier.Offset
	err     error
}

func (l *countingLog) Append(_ context.Context, stream appender.Stream, records [][]byte) (identifier.Offset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appends[stream] = append(l.appends[stream], len(records))
	first := l.next
	l.next += identifier.Offset(len(records))
	return first, l.err
}

func (l *countingLog) Read(
	context.Context, appender.Stream, identifier.Offset, int, time.Duration,
) (appender.Batch, error) {
	return appender.Batch{}, nil
}

// startCommitter runs a committer until the returned channel is closed.
func startCommitter(log appender.Log) (*Committer, chan struct{}) {
	c := NewCommitter(log, zerolog.Nop(), metrics.NewRegistry())
	stop := make(chan struct{})
	go c.Run(stop)
	return c, stop
}

func TestCommitterGroupsClaimsWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{appends: map[appender.Stream][]int{}, next: 1}
		c, stop := startCommitter(log)
		done := 0
		for range 1000 {
			batch := Batch{Stream: "claims", Records: [][]byte{{1}}, Urgency: throttler.UrgencyClaim}
			batch.Done = func(identifier.Offset, error) { done++ }
			c.Submit(batch)
			time.Sleep(10 * time.Millisecond)
		}
		close(stop)
		<-c.Done()
		require.Equal(t, 1000, done)
		require.LessOrEqual(t, len(log.appends["claims"]), 10*throttler.DefaultAppendsPerSecond+throttler.DefaultBurst+1)
	})
}

// A lease renewal that waits for appends of other records could be appended after the lease expires.
func TestCommitterAppendsLeasesWithoutWaitingForOtherAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{appends: map[appender.Stream][]int{}, next: 1}
		c, stop := startCommitter(log)
		for range throttler.DefaultBurst - 1 {
			c.Submit(Batch{
				Stream: "a", Records: [][]byte{{1}}, Urgency: throttler.UrgencyOrder, Done: func(identifier.Offset, error) {},
			})
			synctest.Wait()
		}
		started := time.Now()
		var offset identifier.Offset
		renewed := make(chan struct{})
		c.Submit(Batch{Stream: "a", Records: [][]byte{{2}}, Urgency: throttler.UrgencyLease, Done: func(
			first identifier.Offset, _ error,
		) {
			offset = first
			close(renewed)
		}})
		<-renewed
		require.Zero(t, time.Since(started))
		require.NotZero(t, offset)
		close(stop)
		<-c.Done()
	})
}

func TestSubmitFailsAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := startCommitter(&countingLog{appends: map[appender.Stream][]int{}})
		close(stop)
		<-c.Done()
		var failure error
		c.Submit(Batch{Urgency: throttler.UrgencyClaim, Done: func(_ identifier.Offset, err error) { failure = err }})
		require.ErrorIs(t, failure, appender.ErrUnavailable)
	})
}
