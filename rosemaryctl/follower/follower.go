// Package follower reads the control stream of an environment from the log and replays it into a state.
package follower

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// readLimit is the maximum number of records per read. At about 200 bytes a record, a response stays under 1 MB.
const readLimit = 1000

// ErrIncomplete is returned if the log no longer retains the beginning of the stream, and neither the log nor an
// instance has a snapshot that replaces it.
var ErrIncomplete = errors.New("follower: the log is trimmed and neither it nor an instance has a snapshot")

// BootstrapFunc fetches the state of an environment from an instance.
type BootstrapFunc func(ctx context.Context, environment identifier.Environment) (*messenger.BootstrapReply, error)

// Follower holds the replayed state of one environment. It is not safe for concurrent use.
type Follower struct {
	log           appender.Log
	environment   identifier.Environment
	bootstrap     BootstrapFunc
	state         *replayer.State
	tracked       identifier.RecordID
	trackedEffect *replayer.Applied
}

// NewFollower returns a follower that has read nothing yet. Without a bootstrap function it cannot restore a trimmed
// stream from an instance.
func NewFollower(log appender.Log, environment identifier.Environment, bootstrap BootstrapFunc) *Follower {
	state := replayer.NewState(environment, nil)
	return &Follower{log: log, environment: environment, bootstrap: bootstrap, state: state}
}

// State returns the state after the records read so far.
func (f *Follower) State() *replayer.State {
	return f.state
}

// Track makes the follower store the effect of the record with the given id once it is read.
func (f *Follower) Track(record identifier.RecordID) {
	f.tracked, f.trackedEffect = record, nil
}

// TrackedEffect returns the effect of the tracked record, or nil if it was not read yet.
func (f *Follower) TrackedEffect() *replayer.Applied {
	return f.trackedEffect
}

// Refresh reads the stream to its end. If there is nothing to read, it waits up to the given time for a record.
func (f *Follower) Refresh(ctx context.Context, wait time.Duration) error {
	for {
		batch, err := f.log.Read(ctx, appender.ControlStream(f.environment), f.state.Next(), readLimit, wait)
		var trimmed *appender.TrimmedError
		if errors.As(err, &trimmed) {
			if err := f.restore(ctx, trimmed.FirstOffset); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return eris.Wrap(err, "follower: read stream")
		}
		if err := f.apply(batch.Entries); err != nil {
			return err
		}
		if f.state.Next() >= batch.EndOffset {
			return nil
		}
	}
}

func (f *Follower) apply(entries []appender.Entry) error {
	for _, e := range entries {
		applied, err := f.state.Apply(e.Offset, e.Record)
		if err != nil {
			return eris.Wrap(err, "follower: apply record")
		}
		if f.tracked != "" && applied.Record == f.tracked && f.trackedEffect == nil {
			f.trackedEffect = &applied
		}
	}
	return nil
}

// restore replaces the state by a snapshot found in the remaining stream, or else by an instance's state.
func (f *Follower) restore(ctx context.Context, first identifier.Offset) error {
	restorer := replayer.NewRestorer(f.environment, nil, first)
	for {
		batch, err := f.log.Read(ctx, appender.ControlStream(f.environment), restorer.Next(), readLimit, 0)
		if err != nil {
			return eris.Wrap(err, "follower: read trimmed stream")
		}
		for _, e := range batch.Entries {
			if state := restorer.Offer(e.Offset, e.Record); state != nil {
				f.state = state
				return nil
			}
		}
		if restorer.Next() >= batch.EndOffset {
			return f.restoreFromPeer(ctx, restorer)
		}
	}
}

// restoreFromPeer replaces the state by an instance's state, if that reaches the first record that the log still
// retains.
func (f *Follower) restoreFromPeer(ctx context.Context, restorer *replayer.Restorer) error {
	if f.bootstrap == nil {
		return ErrIncomplete
	}
	reply, err := f.bootstrap(ctx, f.environment)
	if err != nil {
		return eris.Wrap(ErrIncomplete, err.Error())
	}
	state, err := replayer.Decode(f.environment, nil, reply.GetState(), reply.GetChecksum())
	if err != nil {
		return eris.Wrap(ErrIncomplete, err.Error())
	}
	if state = restorer.Continue(state); state == nil {
		return ErrIncomplete
	}
	f.state = state
	return nil
}
