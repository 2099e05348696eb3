package follower

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/standin/recorder"
	"rosemaryspool.example/wire/messenger"
)

// appendPlans appends a drain of each of the engines e1 to eN, where N is count.
func appendPlans(t *testing.T, log *recorder.Log, count int) {
	t.Helper()
	for i := range count {
		name := fmt.Sprint("e", i+1)
		payload, err := proto.Marshal(&messenger.PlannedChange{
			ChangeId: name, Upstream: name, Kind: messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN,
		})
		require.NoError(t, err)
		raw, err := proto.Marshal(&messenger.Record{Id: name, Kind: messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE, Payload: payload})
		require.NoError(t, err)
		_, err = log.Append(t.Context(), appender.ControlStream("trial"), [][]byte{raw})
		require.NoError(t, err)
	}
}

// peerAt returns a bootstrap function for an instance that has read the log up to the offset next, exclusive.
func peerAt(t *testing.T, log *recorder.Log, next identifier.Offset) BootstrapFunc {
	t.Helper()
	state := replayer.NewState("trial", nil)
	batch, err := log.Read(t.Context(), appender.ControlStream("trial"), 1, int(next)-1, 0)
	require.NoError(t, err)
	for _, e := range batch.Entries {
		_, err := state.Apply(e.Offset, e.Record)
		require.NoError(t, err)
	}
	snapshot, err := state.Snapshot()
	require.NoError(t, err)
	reply := &messenger.BootstrapReply{NextOffset: snapshot.GetNextOffset(), State: snapshot.GetState(), Checksum: snapshot.GetChecksum()}
	return func(context.Context, identifier.Environment) (*messenger.BootstrapReply, error) { return reply, nil }
}

// TestRestoreAfterTrim checks that a trimmed stream is restored only from a peer whose state leaves no gap before the
// first record that the log still retains.
func TestRestoreAfterTrim(t *testing.T) {
	unreachable := func(context.Context, identifier.Environment) (*messenger.BootstrapReply, error) {
		return nil, errors.New("no instance responded")
	}
	cases := []struct {
		name string
		// peerNext is the next offset that the peer would read; zero means that no peer responds.
		peerNext identifier.Offset
		restored bool
	}{
		{"no peer", 0, false},
		{"peer before the gap", 2, false},
		{"peer at the gap", 4, true},
		{"peer beyond the gap", 6, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			log := recorder.NewLog(recorder.Settings{})
			appendPlans(t, log, 6)
			bootstrap := unreachable
			if c.peerNext != 0 {
				bootstrap = peerAt(t, log, c.peerNext)
			}
			log.Trim(appender.ControlStream("trial"), 4)
			reader := NewFollower(log, "trial", bootstrap)
			err := reader.Refresh(t.Context(), 0)
			if !c.restored {
				require.ErrorIs(t, err, ErrIncomplete)
				return
			}
			require.NoError(t, err)
			require.Len(t, reader.State().Draining(), 6)
		})
	}
}

func TestRefreshReadsManyBatches(t *testing.T) {
	log := recorder.NewLog(recorder.Settings{AppendsPerSecond: 1e9})
	appendPlans(t, log, 2*readLimit+1)
	reader := NewFollower(log, "trial", nil)
	reader.Track("e7")
	require.NoError(t, reader.Refresh(t.Context(), 0))
	require.Equal(t, identifier.Offset(2*readLimit+2), reader.State().Next())
	require.Equal(t, identifier.Offset(7), reader.TrackedEffect().Offset)
}
