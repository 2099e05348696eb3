// Package deduplicator runs non-idempotent calls at most once. The first claim of a key in the log wins, its owner
// dispatches exactly once after reading the claim back, and the log keeps the outcome for repeated requests at any
// instance. A deduplicator handles one claim stream; a key always belongs to the same stream.
package deduplicator

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/wire/messenger"
)

// Default timings and sizes.
const (
	// DefaultWindow is the time from its issue for which a key is remembered.
	DefaultWindow = configurer.DefaultKeyWindow
	// DefaultClockSkew is the maximum difference between any two clocks, including those of callers.
	DefaultClockSkew = 5 * time.Second
	// DefaultBatchDelay is how long a claim waits for others. Claims alone thus cause at most ten appends per second,
	// unless batches fill up.
	DefaultBatchDelay = 100 * time.Millisecond
	// DefaultBatchSize is the number of claims at which a batch is appended early.
	DefaultBatchSize = 64
	// DefaultClaimTimeout is how long a call waits for its claim to be read back.
	DefaultClaimTimeout = 3 * time.Second
	// DefaultRunTimeout is the time after which a run without an outcome counts as unknown. It exceeds any deadline.
	DefaultRunTimeout = 2 * time.Minute
	// DefaultWatermarkEvery keeps watermarks frequent enough to determine which keys a trimmed part of the log may have
	// held.
	DefaultWatermarkEvery = 5 * time.Minute
	// DefaultMaxResponseBytes is how much of a response body is kept for repeated requests.
	DefaultMaxResponseBytes = 16 << 10
	// DefaultMaxWaiting is the maximum number of calls waiting for their claims.
	DefaultMaxWaiting = 4096
	// DefaultReappendAfter is the retry delay after an outcome append with unknown result. By then an outcome that was
	// appended has usually been read back.
	DefaultReappendAfter = 2 * time.Second
	// appendFailureBackoff is how long new calls are refused after a failed append.
	appendFailureBackoff = 500 * time.Millisecond
)

// Settings holds the timings and sizes for one process and one claim stream.
type Settings struct {
	Instance identifier.InstanceID
	// Incarnation must be unique to each start of the process.
	Incarnation string
	// Stream distinguishes the deduplicators of a process.
	Stream           string
	Window           time.Duration
	ClockSkew        time.Duration
	BatchDelay       time.Duration
	BatchSize        int
	ClaimTimeout     time.Duration
	RunTimeout       time.Duration
	WatermarkEvery   time.Duration
	MaxResponseBytes int
	MaxWaiting       int
	ReappendAfter    time.Duration
}

// NewSettings returns the default settings.
func NewSettings(instance identifier.InstanceID, incarnation, stream string) Settings {
	return Settings{
		Instance:         instance,
		Incarnation:      incarnation,
		Stream:           stream,
		Window:           DefaultWindow,
		ClockSkew:        DefaultClockSkew,
		BatchDelay:       DefaultBatchDelay,
		BatchSize:        DefaultBatchSize,
		ClaimTimeout:     DefaultClaimTimeout,
		RunTimeout:       DefaultRunTimeout,
		WatermarkEvery:   DefaultWatermarkEvery,
		MaxResponseBytes: DefaultMaxResponseBytes,
		MaxWaiting:       DefaultMaxWaiting,
		ReappendAfter:    DefaultReappendAfter,
	}
}

func (s Settings) author() string {
	return strings.Join([]string{string(s.Instance), s.Incarnation, s.Stream}, "/")
}

// call is a request that waits for its claim to be read back. Once it is dropped its attempt is never dispatched.
type call struct {
	request   identifier.RequestID
	id        keyID
	attempt   identifier.AttemptID
	issuedAt  time.Time
	hash      uint64
	deadline  time.Time
	expiresAt time.Time
	claim     *messenger.DispatchClaim
}

// run is a dispatch in progress.
type run struct {
	request identifier.RequestID
	id      keyID
}

// Deduplicator makes the decisions of one process for one claim stream. It is not safe for concurrent use.
type Deduplicator struct {
	settings Settings
	keys     *keyTable
	next     identifier.Offset
	// seenAt is the wall time by which everything before next had been read.
	seenAt time.Time
	// latestWall is the latest wall time observed, so that a clock set back does not make evicted keys valid again.
	latestWall time.Time
	// completeSince is the issue time from which no claim can be missing; zero if there was no gap.
	completeSince time.Time
	// gapEnd is the first offset after the latest gap.
	gapEnd         identifier.Offset
	waiting        map[identifier.AttemptID]*call
	byKey          map[keyID]*call
	runs           map[identifier.AttemptID]*run
	batch          []*call
	batchDueAt     time.Time
	inFlight       map[identifier.RecordID][]identifier.AttemptID
	outcomes       *outcomeQueue
	sequence       uint64
	appendFailedAt time.Time
	watermarkAt    time.Time
	malformed      uint64
}

// NewDeduplicator returns a deduplicator that has read no records.
func NewDeduplicator(settings Settings) *Deduplicator {
	return &Deduplicator{
		settings: settings,
		keys:     newKeyTable(),
		next:     1,
		waiting:  map[identifier.AttemptID]*call{},
		byKey:    map[keyID]*call{},
		runs:     map[identifier.AttemptID]*run{},
		inFlight: map[identifier.RecordID][]identifier.AttemptID{},
		outcomes: newOutcomeQueue(settings.ReappendAfter),
	}
}

// NextOffset returns the offset at which the adaptor continues to read.
func (d *Deduplicator) NextOffset() identifier.Offset { return d.next }

// CompleteSince returns the issue time up to which keys are refused because their claims may have been trimmed before
// they were read. It is zero if nothing is missing.
func (d *Deduplicator) CompleteSince() time.Time { return d.completeSince }

// Keys returns the number of keys remembered.
func (d *Deduplicator) Keys() int { return len(d.keys.entries) }

// Malformed returns the number of records and claims that could not be decoded or whose author does not own the
// attempt.
func (d *Deduplicator) Malformed() uint64 { return d.malformed }

// Idle reports whether no call is waiting or running and all outcomes are in the log.
func (d *Deduplicator) Idle() bool {
	return len(d.waiting) == 0 && len(d.runs) == 0 && d.outcomes.empty()
}

// Handle processes one event and returns the actions to carry out, in order.
func (d *Deduplicator) Handle(event Event) []Action {
	switch e := event.(type) {
	case CallArrived:
		d.updateWall(e.WallNow)
		return append(d.handleCall(e), d.flush(e.Now)...)
	case RecordsRead:
		d.updateWall(e.WallNow)
		return append(d.readRecords(e), d.advance(e.Now)...)
	case LogTrimmed:
		d.updateWall(e.WallNow)
		d.recordGap(e)
		return d.advance(e.Now)
	case AppendSucceeded:
		d.removeInFlight(e.Records)
		return nil
	case AppendFailed:
		return append(d.handleAppendFailed(e), d.advance(e.Now)...)
	case DispatchEnded:
		return append(d.endDispatch(e), d.advance(e.Now)...)
	case CallerDisconnected:
		return d.cancelCall(e.Request)
	case WindowSet:
		d.settings.Window = e.Window
		return nil
	case Ticked:
		d.updateWall(e.WallNow)
		return d.advance(e.Now)
	default:
		return nil
	}
}

func (d *Deduplicator) updateWall(wall time.Time) {
	if wall.After(d.latestWall) {
		d.latestWall = wall
	}
	d.keys.evictBefore(d.latestWall.Add(-d.settings.Window))
}

// handleCall responds to a call whose key was claimed before, refuses it or adds its claim to the batch.
func (d *Deduplicator) handleCall(e CallArrived) []Action {
	if refusal := checkCall(e); refusal != nil {
		return refuse(e.Request, refusal)
	}
	id := keyID{e.Caller, e.Key}
	if actions := d.respondToKnownKey(e.Now, e.Request, id, e.RequestHash); actions != nil {
		return actions
	}
	if refusal := d.checkKey(e.IssuedAt); refusal != nil {
		return refuse(e.Request, refusal)
	}
	if refusal := d.checkClaim(e, id); refusal != nil {
		return refuse(e.Request, refusal)
	}
	c := d.newCall(e, id)
	d.waiting[c.attempt] = c
	d.byKey[id] = c
	if len(d.batch) == 0 {
		d.batchDueAt = e.Now.Add(d.settings.BatchDelay)
	}
	d.batch = append(d.batch, c)
	return nil
}

// checkCall refuses calls that cannot be encoded in a claim, as one of them would make its entire batch invalid.
func checkCall(e CallArrived) *refuser.Refusal {
	switch {
	case e.Caller == "":
		return refuser.NewRefusal(refuser.MissingCaller, refuser.NotRun, "call names no caller")
	case e.Key == "":
		return refuser.NewRefusal(refuser.MissingKey, refuser.NotRun, "call carries no idempotency key")
	case !utf8.ValidString(string(e.Caller)) || !utf8.ValidString(string(e.Key)) || !utf8.ValidString(string(e.Service)):
		return refuser.NewRefusal(refuser.BadRequest, refuser.NotRun, "caller, key and service must be UTF-8")
	default:
		return nil
	}
}

// checkKey refuses keys that were issued in the future, are older than the window or whose claims may be missing here.
func (d *Deduplicator) checkKey(issuedAt time.Time) *refuser.Refusal {
	if issuedAt.After(d.latestWall.Add(d.settings.ClockSkew)) {
		return refuser.NewRefusal(refuser.BadIssueTime, refuser.NotRun, "key was issued in the future")
	}
	if d.latestWall.Sub(issuedAt) > d.settings.Window || issuedAt.Before(d.keys.evictedBefore) {
		return refuser.NewRefusal(refuser.KeyTooOld, refuser.NotRun, "key is older than the key window")
	}
	if !d.completeSince.IsZero() && !issuedAt.After(d.completeSince) {
		return refuser.NewRefusal(refuser.HistoryIncomplete, refuser.NotRun, "claims of the key's time were trimmed unread")
	}
	return nil
}

// checkClaim refuses calls that cannot be claimed now.
func (d *Deduplicator) checkClaim(e CallArrived, id keyID) *refuser.Refusal {
	if other, ok := d.byKey[id]; ok {
		if other.hash != e.RequestHash {
			return refuser.NewRefusal(refuser.KeyReused, refuser.NotRun, "key was used for another request")
		}
		return runningRefusal()
	}
	if !d.appendFailedAt.IsZero() && e.Now.Sub(d.appendFailedAt) < appendFailureBackoff {
		return logRefusal("log takes no claims")
	}
	if len(d.waiting) >= d.settings.MaxWaiting {
		return refuser.NewRefusal(refuser.Overloaded, refuser.NotRun, "too many calls wait for their claims")
	}
	return nil
}

func runningRefusal() *refuser.Refusal {
	r := refuser.NewRefusal(refuser.KeyRunning, refuser.OutcomeUnknown, "key is running")
	r.RetryAfterMS = 1000
	return r
}

func logRefusal(message string) *refuser.Refusal {
	r := refuser.NewRefusal(refuser.LogUnavailable, refuser.NotRun, message)
	r.RetryAfterMS = 1000
	return r
}

func refuse(request identifier.RequestID, refusal *refuser.Refusal) []Action {
	return []Action{Refuse{Request: request, Refusal: *refusal}}
}

func (d *Deduplicator) newCall(e CallArrived, id keyID) *call {
	d.sequence++
	c := &call{
		request:   e.Request,
		id:        id,
		attempt:   identifier.AttemptID(fmt.Sprintf("%s/%d", d.settings.author(), d.sequence)),
		issuedAt:  e.IssuedAt,
		hash:      e.RequestHash,
		deadline:  e.Deadline,
		expiresAt: earlier(e.Deadline, e.Now.Add(d.settings.ClaimTimeout)),
	}
	c.claim = &messenger.DispatchClaim{
		Caller:      string(e.Caller),
		Key:         string(e.Key),
		AttemptId:   string(c.attempt),
		Service:     string(e.Service),
		IssuedAtMs:  e.IssuedAt.UnixMilli(),
		RequestHash: e.RequestHash,
	}
	return c
}

// dropCall removes a waiting call for good. Its attempt is never dispatched, as no other process may dispatch it.
func (d *Deduplicator) dropCall(c *call) {
	delete(d.waiting, c.attempt)
	if d.byKey[c.id] == c {
		delete(d.byKey, c.id)
	}
	d.batch = slices.DeleteFunc(d.batch, func(other *call) bool { return other == c })
}

// cancelCall drops a waiting call whose caller has disconnected. A run in progress continues and its outcome is
// reported as usual.
func (d *Deduplicator) cancelCall(request identifier.RequestID) []Action {
	for _, c := range d.waiting {
		if c.request == request {
			d.dropCall(c)
			return refuse(request, refuser.NewRefusal(refuser.CallerGone, refuser.NotRun, "caller left before the run"))
		}
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
