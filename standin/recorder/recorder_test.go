package recorder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
)

func TestAppendWakesWaitingReadImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewLog(Settings{})
		start := time.Now()
		got := make(chan appender.Batch, 1)
		go func() {
			batch, _ := log.Read(t.Context(), claims, 1, 10, time.Minute)
			got <- batch
		}()
		synctest.Wait()
		_, err := log.Append(t.Context(), claims, records("a"))
		require.NoError(t, err)
		require.Len(t, (<-got).Entries, 1)
		require.Zero(t, time.Since(start))
	})
}

func TestReadReturnsEmptyAfterWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		batch, err := NewLog(Settings{}).Read(t.Context(), claims, 1, 10, 3*time.Second)
		require.NoError(t, err)
		require.Empty(t, batch.Entries)
		require.Equal(t, 3*time.Second, time.Since(start))
	})
}

func TestAppendRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewLog(Settings{AppendsPerSecond: 10})
		start := time.Now()
		for range 20 {
			_, err := log.Append(t.Context(), claims, records("a"))
			require.NoError(t, err)
		}
		require.Equal(t, time.Second, time.Since(start), "a burst of 10, then 10 a second")
	})
}

func TestRetentionKeepsNewestRecords(t *testing.T) {
	log := NewLog(Settings{KeepRecords: 2})
	for _, r := range []string{"a", "b", "c"} {
		_, err := log.Append(t.Context(), claims, records(r))
		require.NoError(t, err)
	}
	batch, err := log.Read(t.Context(), claims, 2, 10, 0)
	require.NoError(t, err)
	require.Equal(t, identifier.Offset(2), batch.FirstOffset)
	require.Equal(t, "b", string(batch.Entries[0].Record))
	_, err = log.Read(t.Context(), claims, 1, 10, 0)
	require.ErrorContains(t, err, "trimmed")
}
