// Package archiver keeps the quarantined traits in the platform's store, so that they are known after a crash of all
// instances. Instances that run tell each other; the store is only read at the start.
package archiver

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/governor"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// retryInterval is the time between two calls after a failure.
	retryInterval = time.Second
)

// Archiver reads and writes the records of quarantined traits.
type Archiver struct {
	store    *platform.Store
	governor *governor.Governor
	// firstStart is true when the whole system starts for the first time, so the store has no records yet.
	firstStart bool
	log        zerolog.Logger
	done       chan struct{}
}

// NewArchiver returns an archiver of what g knows.
func NewArchiver(store *platform.Store, g *governor.Governor, firstStart bool, log zerolog.Logger) *Archiver {
	return &Archiver{store: store, governor: g, firstStart: firstStart, log: log, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (a *Archiver) Done() <-chan struct{} { return a.done }

// Run reads what the store has, then writes what changes, until ctx ends.
func (a *Archiver) Run(ctx context.Context) {
	defer close(a.done)
	if !a.firstStart {
		a.retry(ctx, a.read)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.governor.QuarantinesChanged():
		}
		for _, c := range a.governor.TakeQuarantineChanges(time.Now()) {
			a.retry(ctx, func(ctx context.Context) error { return a.write(ctx, c) })
		}
	}
}

// retry makes a call until it succeeds or ctx ends.
func (a *Archiver) retry(ctx context.Context, call func(context.Context) error) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(limited)
		cancel()
		if err == nil {
			return
		}
		a.log.Warn().Err(err).Str("event", "storeLost").Str("topic", platform.TopicQuarantines).
			Msg("Reading or writing quarantined traits failed")
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

func (a *Archiver) read(ctx context.Context) error {
	batch, err := a.store.ReadNewest(ctx, platform.TopicQuarantines, platform.Paging{Timeout: callTimeout})
	if err != nil {
		return err
	}
	now := time.Now()
	var quarantines []isolator.Quarantine
	for _, r := range batch.Records {
		q, err := platform.DecodeQuarantine(now, r.Key, r.Value)
		if err != nil {
			a.log.Warn().Err(err).Str("event", "quarantineUnreadable").Uint64("offset", r.Offset).
				Msg("Skipping an unreadable quarantined trait")
			continue
		}
		quarantines = append(quarantines, q)
	}
	a.governor.RestoreQuarantines(now, quarantines)
	return nil
}

func (a *Archiver) write(ctx context.Context, c isolator.Change) error {
	key, value, err := platform.EncodeQuarantine(c.Trait, c.Term)
	if err != nil {
		return err
	}
	if c.Status != isolator.Quarantined {
		value = nil
	}
	return a.store.Write(ctx, platform.TopicQuarantines, key, value)
}
