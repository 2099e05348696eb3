package publisher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/rosemaryctl/follower"
	"rosemaryspool.example/standin/recorder"
	"rosemaryspool.example/wire/messenger"
)

// delayedLog applies an append only some time after its response was lost.
type delayedLog struct {
	appender.Log
	delay   time.Duration
	appends int
}

// Append schedules the append and reports its outcome as unknown.
func (l *delayedLog) Append(_ context.Context, stream appender.Stream, records [][]byte) (identifier.Offset, error) {
	l.appends++
	time.AfterFunc(l.delay, func() { _, _ = l.Log.Append(context.Background(), stream, records) })
	return 0, appender.ErrOutcomeUnknown
}

// unreadableLog applies appends without a response and cannot be read.
type unreadableLog struct {
	appender.Log
	appends int
}

// Append appends the records and reports the outcome as unknown.
func (l *unreadableLog) Append(ctx context.Context, stream appender.Stream, records [][]byte) (identifier.Offset, error) {
	l.appends++
	_, _ = l.Log.Append(ctx, stream, records)
	return 0, appender.ErrOutcomeUnknown
}

// Read always fails.
func (l *unreadableLog) Read(context.Context, appender.Stream, identifier.Offset, int, time.Duration) (appender.Batch, error) {
	return appender.Batch{}, appender.ErrUnavailable
}

func publishPlan(t *testing.T, log appender.Log) (*replayer.Applied, error) {
	t.Helper()
	plan := &messenger.PlannedChange{
		ChangeId: "c", Kind: messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN, Upstream: "e",
	}
	record, err := NewRecord(messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE, "ayse", plan)
	require.NoError(t, err)
	return Publish(t.Context(), log, follower.NewFollower(log, "trial", nil), record)
}

func countRecords(t *testing.T, log appender.Log) int {
	t.Helper()
	batch, err := log.Read(t.Context(), "trial.control", 1, 100, 0)
	require.NoError(t, err)
	return len(batch.Entries)
}

func TestPublishUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  recorder.Faults
		err     error
		records int
	}{
		{"no fault", recorder.Faults{}, nil, 1},
		{"response lost after the append", recorder.Faults{LoseAnswers: 1}, nil, 1},
		{"append lost", recorder.Faults{DropAppends: 1}, nil, 1},
		{"two appends lost", recorder.Faults{DropAppends: 2}, nil, 1},
		{"all appends lost", recorder.Faults{DropAppends: 3}, ErrOutcomeUnknown, 0},
		{"outage", recorder.Faults{Outage: true}, ErrNotPublished, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := recorder.NewLog(recorder.Settings{Faults: c.faults})
				applied, err := publishPlan(t, log)
				log.Switches.Set(recorder.Faults{})
				require.Equal(t, c.records, countRecords(t, log))
				if c.err != nil {
					require.ErrorIs(t, err, c.err)
					return
				}
				require.NoError(t, err)
				require.IsType(t, replayer.PlanChanged{}, applied.Effect)
			})
		})
	}
}

// TestLateAppendHasOneEffect checks that a record changes the state only once if its first append is applied after the
// record was sent again.
func TestLateAppendHasOneEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &delayedLog{Log: recorder.NewLog(recorder.Settings{}), delay: 1500 * time.Millisecond}
		applied, err := publishPlan(t, log)
		require.NoError(t, err)
		require.IsType(t, replayer.PlanChanged{}, applied.Effect)
		require.Equal(t, identifier.Offset(1), applied.Offset)
		require.Equal(t, 2, log.appends)
		time.Sleep(log.delay)
		synctest.Wait()
		reader := follower.NewFollower(log, "trial", nil)
		require.NoError(t, reader.Refresh(t.Context(), 0))
		require.EqualValues(t, 1, reader.State().Counters().Duplicate)
	})
}

// TestNoResendWithoutReadBack checks that a record is not appended again while the log cannot be read back.
func TestNoResendWithoutReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &unreadableLog{Log: recorder.NewLog(recorder.Settings{})}
		_, err := publishPlan(t, log)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.Equal(t, 1, log.appends)
	})
}
