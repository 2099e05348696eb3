package deduplicator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// MaxReleases is how often a key may be claimed again after attempts that were not run. It bounds the memory per key.
const MaxReleases = 32

// bucketWidth is the granularity of eviction.
const bucketWidth = time.Minute

type keyID struct {
	caller identifier.CallerID
	key    identifier.IdempotencyKey
}

// status is the state of a key.
type status int

const (
	statusRunning status = iota + 1
	statusClosed
	// statusReleased means that no attempt of the key so far was run or will be.
	statusReleased
)

// entry is the state of a key according to the log.
type entry struct {
	status  status
	attempt identifier.AttemptID
	hash    uint64
	// readAt is the time at which this process read the claim.
	readAt time.Time
	// released holds the attempts that were released.
	released []identifier.AttemptID
	outcome  *messenger.DispatchOutcome
	// ownOutcome is the outcome of this process's run until it is read back.
	ownOutcome *messenger.DispatchOutcome
}

// keyTable builds the state of keys from claims and outcomes and evicts keys by their issue time.
type keyTable struct {
	entries map[keyID]*entry
	buckets map[int64][]keyID
	// evictedBefore is the issue time before which keys may have been evicted and so must not be run.
	evictedBefore time.Time
}

func newKeyTable() *keyTable {
	return &keyTable{entries: map[keyID]*entry{}, buckets: map[int64][]keyID{}}
}

// applyClaim applies a claim and reports whether it wins the key.
func (t *keyTable) applyClaim(now time.Time, claim *messenger.DispatchClaim) bool {
	issuedAt := time.UnixMilli(claim.GetIssuedAtMs())
	if issuedAt.Before(t.evictedBefore) {
		return false
	}
	id := keyID{identifier.CallerID(claim.GetCaller()), identifier.IdempotencyKey(claim.GetKey())}
	attempt := identifier.AttemptID(claim.GetAttemptId())
	e, ok := t.entries[id]
	if !ok {
		t.entries[id] = &entry{status: statusRunning, attempt: attempt, hash: claim.GetRequestHash(), readAt: now}
		bucket := bucketOf(issuedAt)
		t.buckets[bucket] = append(t.buckets[bucket], id)
		return true
	}
	if e.status != statusReleased || e.hash != claim.GetRequestHash() || !e.reclaimable(attempt) {
		return false
	}
	e.status = statusRunning
	e.attempt = attempt
	e.readAt = now
	return true
}

// reclaimable reports whether the attempt may claim a released key.
func (e *entry) reclaimable(attempt identifier.AttemptID) bool {
	if len(e.released) > MaxReleases {
		return false
	}
	for _, s := range e.released {
		if s == attempt {
			return false
		}
	}
	return true
}

// setOwnOutcome keeps the outcome of a local run until it is read back, so that repeated requests get its
// response at once.
func (t *keyTable) setOwnOutcome(id keyID, outcome *messenger.DispatchOutcome) {
	if e, ok := t.entries[id]; ok && e.attempt == identifier.AttemptID(outcome.GetAttemptId()) {
		e.ownOutcome = outcome
	}
}

// applyOutcome applies an outcome and reports whether it counts. Only the first outcome of the running attempt does.
func (t *keyTable) applyOutcome(outcome *messenger.DispatchOutcome) bool {
	id := keyID{identifier.CallerID(outcome.GetCaller()), identifier.IdempotencyKey(outcome.GetKey())}
	e, ok := t.entries[id]
	if !ok || e.status != statusRunning || e.attempt != identifier.AttemptID(outcome.GetAttemptId()) {
		return false
	}
	e.ownOutcome = nil
	if outcome.GetResult() == messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN {
		e.status = statusReleased
		e.released = append(e.released, e.attempt)
		return true
	}
	e.status = statusClosed
	e.outcome = outcome
	return true
}

// evictBefore evicts the keys issued before a time, rounded down to the start of its bucket.
func (t *keyTable) evictBefore(before time.Time) {
	limit := bucketOf(before)
	boundary := time.UnixMilli(limit * bucketWidth.Milliseconds())
	if !boundary.After(t.evictedBefore) {
		return
	}
	t.evictedBefore = boundary
	for bucket, ids := range t.buckets {
		if bucket >= limit {
			continue
		}
		for _, id := range ids {
			delete(t.entries, id)
		}
		delete(t.buckets, bucket)
	}
}

// bucketOf returns the bucket of a time, rounding towards the past also before the epoch.
func bucketOf(t time.Time) int64 {
	milli, width := t.UnixMilli(), bucketWidth.Milliseconds()
	bucket := milli / width
	if milli%width < 0 {
		bucket--
	}
	return bucket
}
