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

// subjects returns the log in memory and the adaptor over TCP to the same kind of log.
func implementations(t *testing.T) map[string]func() (*Log, appender.Log) {
	return map[string]func() (*Log, appender.Log){
		"fake": func() (*Log, appender.Log) {
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

// logCases hold for every log, faults included.
var logCases = []struct {
	name string
	run  func(t *testing.T, fake *Log, log appender.Log)
}{
	{"offsets start at 1 and rise by one", func(t *testing.T, _ *Log, log appender.Log) {
		first, err := log.Append(t.Context(), claims, records("a", "b"))
		require.NoError(t, err)
		second, err := log.Append(t.Context(), claims, records("c"))
		require.NoError(t, err)
		require.Equal(t, []identifier.Offset{1, 3}, []identifier.Offset{first, second})
		require.Equal(t, []appender.Entry{{Offset: 2, Record: []byte("b")}, {Offset: 3, Record: []byte("c")}}, readAll(t, log, 2))
	}},
	{"a read keeps to its limit", func(t *testing.T, _ *Log, log appender.Log) {
		_, err := log.Append(t.Context(), claims, records("a", "b", "c"))
		require.NoError(t, err)
		batch, err := log.Read(t.Context(), claims, 1, 2, 0)
		require.NoError(t, err)
		require.Len(t, batch.Entries, 2)
		require.Equal(t, []identifier.Offset{1, 4}, []identifier.Offset{batch.FirstOffset, batch.EndOffset})
	}},
	{"streams are apart", func(t *testing.T, _ *Log, log appender.Log) {
		_, err := log.Append(t.Context(), "other stream-é", records("a"))
		require.NoError(t, err)
		require.Empty(t, readAll(t, log, 1))
	}},
	{"a waiting read gets the next append", func(t *testing.T, _ *Log, log appender.Log) {
		got := make(chan appender.Batch, 1)
		go func() {
			batch, _ := log.Read(t.Context(), claims, 1, 10, time.Hour)
			got <- batch
		}()
		_, err := log.Append(t.Context(), claims, records("a"))
		require.NoError(t, err)
		require.Len(t, (<-got).Entries, 1)
	}},
	{"an outage appends nothing", func(t *testing.T, fake *Log, log appender.Log) {
		fake.Switches.Set(Faults{Outage: true})
		_, err := log.Append(t.Context(), claims, records("a"))
		require.ErrorIs(t, err, appender.ErrUnavailable)
		require.NotErrorIs(t, err, appender.ErrOutcomeUnknown)
		_, err = log.Read(t.Context(), claims, 1, 10, time.Hour)
		require.ErrorIs(t, err, appender.ErrUnavailable)
		fake.Switches.Set(Faults{})
		require.Empty(t, readAll(t, log, 1))
	}},
	{"an outage ends a waiting read", func(t *testing.T, fake *Log, log appender.Log) {
		got := make(chan error, 1)
		go func() {
			_, err := log.Read(t.Context(), claims, 1, 10, time.Hour)
			got <- err
		}()
		fake.Switches.Set(Faults{Outage: true})
		require.ErrorIs(t, <-got, appender.ErrUnavailable)
	}},
	{"a lost answer leaves the record", func(t *testing.T, fake *Log, log appender.Log) {
		fake.Switches.Set(Faults{LoseAnswers: 1})
		_, err := log.Append(t.Context(), claims, records("a"))
		require.ErrorIs(t, err, appender.ErrOutcomeUnknown)
		require.Len(t, readAll(t, log, 1), 1, "appended exactly once")
	}},
	{"a dropped append looks the same and leaves nothing", func(t *testing.T, fake *Log, log appender.Log) {
		fake.Switches.Set(Faults{DropAppends: 1})
		_, err := log.Append(t.Context(), claims, records("a"))
		require.ErrorIs(t, err, appender.ErrOutcomeUnknown)
		require.Empty(t, readAll(t, log, 1))
	}},
	{"a silent log leaves the outcome unknown", func(t *testing.T, fake *Log, log appender.Log) {
		fake.Switches.Set(Faults{Silent: true})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for fake.heldCalls.Load() == 0 {
				runtime.Gosched()
			}
			cancel()
		}()
		_, err := log.Append(ctx, claims, records("a"))
		require.ErrorIs(t, err, appender.ErrOutcomeUnknown, "the sender cannot tell")
		fake.Switches.Set(Faults{})
		require.Empty(t, readAll(t, log, 1))
	}},
	{"a trimmed offset names the first kept one", func(t *testing.T, fake *Log, log appender.Log) {
		_, err := log.Append(t.Context(), claims, records("a", "b", "c"))
		require.NoError(t, err)
		fake.Trim(claims, 3)
		_, err = log.Read(t.Context(), claims, 2, 10, 0)
		var trimmed *appender.TrimmedError
		require.ErrorAs(t, err, &trimmed)
		require.Equal(t, appender.TrimmedError{Requested: 2, FirstOffset: 3}, *trimmed)
		require.Len(t, readAll(t, log, 3), 1)
	}},
}

func TestLogContract(t *testing.T) {
	for name, subject := range implementations(t) {
		for _, c := range logCases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				fake, log := subject()
				c.run(t, fake, log)
			})
		}
	}
}
