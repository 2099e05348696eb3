// Package publisher appends a control record to the log and reads back its effect.
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

// Errors of Publish for a record whose effect could not be read back.
var (
	// ErrNotPublished means that the log did not accept the record and nothing has changed.
	ErrNotPublished = errors.New("publisher: nothing was published")
	// ErrOutcomeUnknown means that the record may be in the log, or may still be appended.
	ErrOutcomeUnknown = errors.New("publisher: outcome unknown")
)

const (
	// maxAttempts is the maximum number of appends of one record.
	maxAttempts = 3
	// readBackTimeout is how long the log is searched for a record after an append, before the record is appended
	// again.
	readBackTimeout = time.Second
	// retryInterval is the pause between reads, so that a client does not overload a failing log.
	retryInterval = 50 * time.Millisecond
)

// NewID returns a unique id for a record or planned change.
func NewID() string {
	return "ctl-" + rand.Text()
}

// NewRecord encodes a message as a record with a new unique id.
func NewRecord(kind messenger.RecordKind, author identifier.OperatorID, message proto.Message) (*messenger.Record, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "publisher: encode message")
	}
	return &messenger.Record{Id: NewID(), Kind: kind, Author: string(author), Payload: payload}, nil
}

// Publish appends the record and returns its effect, as replayed from the log. If the response to an append is lost, it
// reads the log back before it appends again. It uses the same record id, so that the replay drops a duplicate.
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

// readBack reads the stream until the tracked record is found or readBackTimeout has passed. It returns an error if the
// end of the stream could not be read: it is then unknown whether the record is in the log.
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
