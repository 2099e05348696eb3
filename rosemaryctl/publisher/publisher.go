// Package publisher appends one control record and finds out what became of it.
package publisher

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/rosemaryctl/follower"
	"rosemaryspool.example/wire/messenger"
)

// Errors of a record that has no known effect.
var (
	// ErrNotPublished means that the log did not take the record: nothing has changed.
	ErrNotPublished = errors.New("publisher: nothing was published")
	// ErrOutcomeUnknown means that the record may be in the log or may still get there.
	ErrOutcomeUnknown = errors.New("publisher: outcome unknown")
)

const (
	// maxAttempts bounds the appends of one record.
	maxAttempts = 3
	// readBackTime is the wait for a record whose append was not answered, before it is sent again under its id.
	readBackTimeout = time.Second
	// retryPause keeps a client from asking a log in trouble without a break.
	retryInterval = 50 * time.Millisecond
)

// NewID returns a unique id of a record or planned change.
func NewID() string {
	return "ctl-" + rand.Text()
}

// NewRecord wraps a message into a record with a new unique id.
func NewRecord(kind messenger.RecordKind, author identifier.OperatorID, message proto.Message) (*messenger.Record, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "publisher: encode message")
	}
	return &messenger.Record{Id: NewID(), Kind: kind, Author: string(author), Payload: payload}, nil
}

// Publish appends the record and returns its effect as folded from the log. When an answer is lost it reads the log
// back before it sends again, and sends under the same id, so that the fold drops a repeat.
func Publish(ctx context.Context, log appender.Log, reader *follower.Follower, record *messenger.Record) (*replayer.Applied, error) {
	raw, err := proto.Marshal(record)
	if err != nil {
		return nil, eris.Wrap(err, "publisher: encode record")
	}
	reader.Track(identifier.RecordID(record.GetId()))
	sent := false
	for range maxAttempts {
		_, err := log.Append(ctx, appender.ControlStream(reader.State().Environment()), [][]byte{raw})
		if errors.Is(err, appender.ErrUnavailable) && !sent {
			return nil, eris.Wrap(ErrNotPublished, err.Error())
		}
		sent = true
		if err := readBack(ctx, reader); err != nil {
			return nil, eris.Wrapf(ErrOutcomeUnknown, "record %s: %v", record.GetId(), err)
		}
		if applied := reader.TrackedEffect(); applied != nil {
			return applied, nil
		}
	}
	return nil, eris.Wrapf(ErrOutcomeUnknown, "record %s is not in the log yet", record.GetId())
}

// readBack reads the stream until the watched record is there or the time is over. It returns an error when the end of
// the stream could not be read, so that nothing is known of the record.
func readBack(ctx context.Context, reader *follower.Follower) error {
	deadline := time.Now().Add(readBackTimeout)
	for {
		err := reader.Refresh(ctx, 0)
		if err == nil && reader.TrackedEffect() == nil && time.Now().Before(deadline) {
			err = reader.Refresh(ctx, time.Until(deadline))
		}
		if reader.TrackedEffect() != nil {
			return nil
		}
		if !time.Now().Before(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryInterval):
		}
	}
}
