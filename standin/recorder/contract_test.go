package recorder

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/server"
)

const claims = appender.Stream("trial.claims.0")

// implementations returns constructors for the in-memory log and for the adaptor connected to such a log over TCP. Each
// returns the stand-in, for its switches, and the log under test.
func implementations(t *testing.T) map[string]func() (*Log, appender.Log) {
	return map[string]func() (*Log, appender.Log){
		"standIn": func() (*Log, appender.Log) {
			log := NewLog(Settings{})
			return log, log
		},
		"tcp": func() (*Log, appender.Log) {
			log := NewLog(Settings{})
			s, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: log.Handler()})
			require.NoError(t, err)
			t.Cleanup(s.Close)
			return log, appender.NewClient(s.URL())
		},
	}
}

func records(texts ...string) [][]byte {
	all := [][]byte{}
	for _, t := range texts {
		all = append(all, []byte(t))
	}
	return all
}

func readAll(t *testing.T, log appender.Log, from identifier.Offset) []appender.Entry {
	t.Helper()
	batch, err := log.Read(t.Context(), claims, from, 100, 0)
	require.NoError(t, err)
	return batch.Entries
}

// logCases is the contract that every implementation has to meet, also under faults.
var logCases = []struct {
	name string
	run  func(t *testing.T, standIn *Log, log appender.Log)
}{
	{"offsets start at 1 and increase by one", func(t *testing.T, _ *Log, log appender.Log) {
		first, err := log.Append(t.Context(), claims, records("a", "b"))
		require.NoError(t, err)
		second, err := log.Append(t.Context(), claims, records("c"))
		require.NoError(t, err)
		require.Equal(t, []identifier.Offset{1, 3}, []identifier.Offset{first, second})
		require.Equal(t, []appender.Entry{
			{Offset: 2, Record: []byte("b")}, {Offset: 3, Record: []byte("c")},
		}, readAll(t, log, 2))
	}},
	{"a read returns at most limit records", func(t *testing.T, _ *Log, log appender.Log) {
		_, err := log.Append(t.Context(), claims, records("a", "b", "c"))
		require.NoError(t, err)
		batch, err := log.Read(t.Context(), claims, 1, 2, 0)
		require.NoError(t, err)
		require.Len(t, batch.Entries, 2)
		require.Equal(t, []identifier.Offset{1, 4}, []identifier.Offset{batch.FirstOffset, batch.EndOffset})
	}},
	{"streams are independent", func(t *testing.T, _ *Log, log appender.Log) {
		_, err := log.Append(t.Context(), "other stream-é", records("a"))
		require.NoError(t, err)
		require.Empty(t, readAll(t, log, 1))
	}},
	{"a waiting read returns the next append", func(t *testing.T, _ *Log, log appender.Log) {
		got := make(chan appender.Batch, 1)
		go func() {
			batch, _ := log.Read(t.Context(), claims, 1, 10, time.Hour)
			got <- batch
		}()
		_, err := log.Append(t.Context(), claims, records("a"))
		require.NoError(t, err)
		require.Len(t, (<-got).Entries, 1)
	}},
	{"an append during an outage has no effect", func(t *testing.T, standIn *Log, log appender.Log) {
		standIn.Switches.Set(Faults{Outage: true})
		_, err := log.Append(t.Context(), claims, records("a"))
		require.ErrorIs(t, err, appender.ErrUnavailable)
		require.NotErrorIs(t, err, appender.ErrOutcomeUnknown)
		_, err = log.Read(t.Context(), claims, 1, 10, time.Hour)
		require.ErrorIs(t, err, appender.ErrUnavailable)
		standIn.Switches.Set(Faults{})
		require.Empty(t, readAll(t, log, 1))
	}},
	{"an outage ends a waiting read", func(t *testing.T, standIn *Log, log appender.Log) {
		got := make(chan error, 1)
		go func() {
			_, err := log.Read(t.Context(), claims, 1, 10, time.Hour)
			got <- err
		}()
		standIn.Switches.Set(Faults{Outage: true})
		require.ErrorIs(t, <-got, appender.ErrUnavailable)
	}},
	{"an append with a lost response takes effect", func(t *testing.T, standIn *Log, log appender.Log) {
		standIn.Switches.Set(Faults{LoseAnswers: 1})
		_, err := log.Append(t.Context(), claims, records("a"))
		require.ErrorIs(t, err, appender.ErrOutcomeUnknown)
		require.Len(t, readAll(t, log, 1), 1, "appended exactly once")
	}},
	{"a dropped append gives the same error and has no effect", func(t *testing.T, standIn *Log, log appender.Log) {
		standIn.Switches.Set(Faults{DropAppends: 1})
		_, err := log.Append(t.Context(), claims, records("a"))
		require.ErrorIs(t, err, appender.ErrOutcomeUnknown)
		require.Empty(t, readAll(t, log, 1))
	}},
	{"a silent log leaves the outcome unknown", func(t *testing.T, standIn *Log, log appender.Log) {
		standIn.Switches.Set(Faults{Silent: true})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for standIn.heldCalls.Load() == 0 {
				runtime.Gosched()
			}
			cancel()
		}()
		_, err := log.Append(ctx, claims, records("a"))
		require.ErrorIs(t, err, appender.ErrOutcomeUnknown, "the sender cannot determine whether the append took effect")
		standIn.Switches.Set(Faults{})
		require.Empty(t, readAll(t, log, 1))
	}},
	{"a read of a trimmed offset returns the first retained offset", func(t *testing.T, standIn *Log, log appender.Log) {
		_, err := log.Append(t.Context(), claims, records("a", "b", "c"))
		require.NoError(t, err)
		standIn.Trim(claims, 3)
		_, err = log.Read(t.Context(), claims, 2, 10, 0)
		var trimmed *appender.TrimmedError
		require.ErrorAs(t, err, &trimmed)
		require.Equal(t, appender.TrimmedError{Requested: 2, FirstOffset: 3}, *trimmed)
		require.Len(t, readAll(t, log, 3), 1)
	}},
}

func TestLogContract(t *testing.T) {
	for name, newLog := range implementations(t) {
		for _, c := range logCases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				standIn, log := newLog()
				c.run(t, standIn, log)
			})
		}
	}
}
