// Package follower reads an environment's control stream and folds it into a state.
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

// readLimit is how many records one read asks for; with records of about 200 bytes an answer stays under a megabyte.
const readLimit = 1000

// ErrIncomplete means that the log no longer keeps the beginning of the stream and that nobody has its state.
var ErrIncomplete = errors.New("follower: the log is trimmed and neither it nor an instance has a snapshot")

// BootstrapFunc asks the instances for the state of an environment.
type BootstrapFunc func(ctx context.Context, environment identifier.Environment) (*messenger.BootstrapReply, error)

// Follower holds the folded state of one environment. It is not safe for concurrent use.
type Follower struct {
	log         appender.Log
	environment identifier.Environment
	bootstrap   BootstrapFunc
	state       *replayer.State
	tracked     identifier.RecordID
	trackedEffect       *replayer.Applied
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(log appender.Log, environment identifier.Environment, bootstrap BootstrapFunc) *Follower {
	state := replayer.NewState(environment, nil)
	return &Follower{log: log, environment: environment, bootstrap: bootstrap, state: state}
}

// State returns what was folded so far.
func (f *Follower) State() *replayer.State {
	return f.state
}

// Watch remembers the effect of one record when it is read.
func (f *Follower) Track(record identifier.RecordID) {
	f.tracked, f.trackedEffect = record, nil
}

// Found returns the effect of the watched record, or nil while it was not read.
func (f *Follower) TrackedEffect() *replayer.Applied {
	return f.trackedEffect
}

// Refresh reads the stream to its end; at the end it waits up to wait for one more record.
func (f *Follower) Refresh(ctx context.Context, wait time.Duration) error {
	for {
		batch, err := f.log.Read(ctx, appender.ControlStream(f.environment), f.state.Next(), readLimit, wait)
		var trimmed *appender.TrimmedError
		if errors.As(err, &trimmed) {
			if err := f.restore(ctx, trimmed.First); err != nil {
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
		if f.state.Next() >= batch.End {
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

// restore starts from a snapshot in the rest of the stream, or else from an instance's state.
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
		if restorer.Next() >= batch.End {
			return f.restoreFromPeer(ctx, restorer)
		}
	}
}

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
