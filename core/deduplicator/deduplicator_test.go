package deduplicator

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

const (
	done   = messenger.DispatchResult_DISPATCH_RESULT_DONE
	notRun = messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN
)

// harness is a deduplicator with a log that a test can share, hold back or trim.
type harness struct {
	*Deduplicator
	now         time.Duration
	log         *[][]byte
	heldAppends []Append
	holdAppends bool
}

func newHarness(instance string, log *[][]byte) *harness {
	settings := NewSettings(identifier.InstanceID(instance), "1", "claims.0")
	settings.Window = time.Hour
	return &harness{Deduplicator: NewDeduplicator(settings), log: log}
}

func (h *harness) clock() time.Time { return time.Unix(100, 0).Add(h.now) }

func (h *harness) wall() time.Time { return time.Unix(1_800_000_000, 0).Add(h.now) }

// perform carries out appends unless they are held back, and returns a description of every other action.
func (h *harness) perform(actions []Action) []string {
	results := []string{}
	for _, action := range actions {
		switch a := action.(type) {
		case Append:
			if h.holdAppends {
				h.heldAppends = append(h.heldAppends, a)
				continue
			}
			*h.log = append(*h.log, a.Records...)
			h.Handle(AppendSucceeded{Now: h.clock(), Records: a.IDs})
		case Dispatch:
			results = append(results, "dispatch "+string(a.Request))
		case Reply:
			results = append(results, fmt.Sprintf("reply %s %d %s", a.Request, a.Status, a.Body))
		case Refuse:
			results = append(results, fmt.Sprintf("refuse %s %d %s", a.Request, a.Refusal.Code, a.Refusal.Effect))
		}
	}
	return results
}

func (h *harness) call(request, key string, hash uint64) []string {
	return h.callIssuedAgo(request, key, hash, 0)
}

func (h *harness) callIssuedAgo(request, key string, hash uint64, age time.Duration) []string {
	return h.perform(h.Handle(CallArrived{
		Now: h.clock(), WallNow: h.wall(), Request: identifier.RequestID(request), Caller: "c",
		Key: identifier.IdempotencyKey(key), IssuedAt: h.wall().Add(-age), RequestHash: hash,
		Deadline: h.clock().Add(2 * time.Second),
	}))
}

func (h *harness) tick(elapsed time.Duration) []string {
	h.now += elapsed
	return h.perform(h.Handle(Ticked{Now: h.clock(), WallNow: h.wall()}))
}

// read delivers the rest of the log to this instance.
func (h *harness) read() []string {
	var entries []replayer.Entry
	for o := h.NextOffset(); int(o) <= len(*h.log); o++ {
		entries = append(entries, replayer.Entry{Offset: o, Record: (*h.log)[o-1]})
	}
	return h.perform(h.Handle(RecordsRead{Now: h.clock(), WallNow: h.wall(), Entries: entries}))
}

func (h *harness) end(attempt string, result messenger.DispatchResult, body string) []string {
	return h.perform(h.Handle(DispatchEnded{
		Now: h.clock(), Attempt: identifier.AttemptID(attempt), Result: result, Status: 200, Body: []byte(body),
	}))
}

func TestFirstClaimRunsOnceAndRepeatsGetItsResponse(t *testing.T) {
	var log [][]byte
	a, b := newHarness("a", &log), newHarness("b", &log)
	require.Empty(t, a.call("r1", "k", 1))
	require.Empty(t, b.call("r2", "k", 1))
	require.Empty(t, a.tick(DefaultBatchDelay))
	require.Empty(t, b.tick(DefaultBatchDelay))
	require.Equal(t, []string{"refuse r2 4003 outcomeUnknown"}, b.read())
	require.Equal(t, []string{"dispatch r1"}, a.read())
	require.Equal(t, []string{"refuse r3 4003 outcomeUnknown"}, a.call("r3", "k", 1))
	require.Equal(t, []string{"refuse r4 4002 notRun"}, b.call("r4", "k", 2))
	require.Equal(t, []string{"reply r1 200 sewn"}, a.end("a/1/claims.0/1", done, "sewn"))
	a.tick(DefaultBatchDelay)
	require.Empty(t, b.read())
	require.Equal(t, []string{"reply r5 200 sewn"}, b.call("r5", "k", 1))
}

func TestRunWithoutOutcomeBecomesUnknown(t *testing.T) {
	var log [][]byte
	a, b := newHarness("a", &log), newHarness("b", &log)
	a.call("r1", "k", 1)
	a.tick(DefaultBatchDelay)
	require.Empty(t, b.read())
	b.tick(DefaultRunTimeout - time.Second)
	require.Equal(t, []string{"refuse r2 4003 outcomeUnknown"}, b.call("r2", "k", 1))
	b.tick(2 * time.Second)
	require.Equal(t, []string{"refuse r3 4004 outcomeUnknown"}, b.call("r3", "k", 1))
}

func TestInvalidCallIsRefusedBeforeClaim(t *testing.T) {
	cases := []struct {
		name string
		key  string
		age  time.Duration
		want string
	}{
		{"too old", "k", time.Hour + time.Second, "4001"},
		{"issued in the future", "k", -DefaultClockSkew - time.Second, "1007"},
		{"no key", "", 0, "1006"},
		{"key is not UTF-8", "\xff", 0, "1001"},
	}
	for _, c := range cases {
		var log [][]byte
		b := newHarness("a", &log)
		require.Equal(t, []string{"refuse r " + c.want + " notRun"}, b.callIssuedAgo("r", c.key, 1, c.age), c.name)
		b.tick(time.Second)
		require.Empty(t, log, c.name)
	}
}

func TestLogOutageNeverDispatchesRefusedCall(t *testing.T) {
	var log [][]byte
	a := newHarness("a", &log)
	a.holdAppends = true
	a.call("r1", "k1", 1)
	a.tick(DefaultBatchDelay)
	require.Len(t, a.heldAppends, 1)
	failed := AppendFailed{Now: a.clock(), Records: a.heldAppends[0].IDs}
	require.Equal(t, []string{"refuse r1 4005 notRun"}, a.perform(a.Handle(failed)))
	require.Equal(t, []string{"refuse r2 4005 notRun"}, a.call("r2", "k2", 1))
	a.tick(time.Second)
	a.call("r3", "k3", 1)
	a.tick(DefaultBatchDelay)
	lost := a.heldAppends[1]
	require.Empty(t, a.perform(a.Handle(AppendFailed{Now: a.clock(), Records: lost.IDs, Unknown: true})))
	require.Equal(t, []string{"refuse r3 4005 notRun"}, a.tick(2*time.Second))
	// The lost append was in the log after all: its claim is released and never dispatched.
	log = append(log, lost.Records...)
	a.holdAppends = false
	require.Empty(t, a.read())
	a.tick(DefaultBatchDelay)
	require.Len(t, log, 2)
	require.Empty(t, a.read())
	require.Empty(t, a.call("r4", "k3", 1))
	a.tick(DefaultBatchDelay)
	require.Equal(t, []string{"dispatch r4"}, a.read())
}

func TestReleasedKeyRunsOnlyUnderNewAttempt(t *testing.T) {
	var log [][]byte
	a, b := newHarness("a", &log), newHarness("b", &log)
	a.call("r1", "k", 1)
	a.tick(DefaultBatchDelay)
	require.Equal(t, []string{"dispatch r1"}, a.read())
	require.Equal(t, []string{"refuse r1 3004 notRun"}, a.end("a/1/claims.0/1", notRun, ""))
	a.tick(DefaultBatchDelay)
	require.Empty(t, b.read())
	b.call("r2", "k", 1)
	b.tick(DefaultBatchDelay)
	// The first claim occurs twice in the log, as after a retried append.
	log = append(log, log[0])
	require.Equal(t, []string{"dispatch r2"}, b.read())
	require.Empty(t, a.read())
	require.Equal(t, []string{"refuse r3 4003 outcomeUnknown"}, a.call("r3", "k", 1))
}

func TestOutcomeFromAnotherAuthorIsIgnored(t *testing.T) {
	var log [][]byte
	a, b := newHarness("a", &log), newHarness("b", &log)
	a.call("r1", "k", 1)
	a.tick(DefaultBatchDelay)
	a.read()
	id, raw := b.newRecord(messenger.RecordKind_RECORD_KIND_DISPATCH_OUTCOME, &messenger.DispatchOutcome{
		Caller: "c", Key: "k", AttemptId: "a/1/claims.0/1", Result: notRun,
	})
	require.NotEmpty(t, id)
	log = append(log, raw, []byte{0xff})
	a.read()
	require.Equal(t, uint64(2), a.Malformed())
	require.Equal(t, []string{"refuse r2 4003 outcomeUnknown"}, a.call("r2", "k", 1))
}

func TestDisconnectedCallIsNotDispatchedButRunIsKept(t *testing.T) {
	var log [][]byte
	a := newHarness("a", &log)
	a.call("r1", "k1", 1)
	a.call("r2", "k2", 1)
	a.tick(DefaultBatchDelay)
	require.Equal(t, []string{"refuse r1 3005 notRun"}, a.perform(a.Handle(CallerDisconnected{Now: a.clock(), Request: "r1"})))
	require.Equal(t, []string{"dispatch r2"}, a.read())
	require.Empty(t, a.perform(a.Handle(CallerDisconnected{Now: a.clock(), Request: "r2"})))
	require.Equal(t, []string{"reply r2 200 sewn"}, a.end("a/1/claims.0/2", done, "sewn"))
	require.Equal(t, []string{"reply r3 200 sewn"}, a.call("r3", "k2", 1))
	a.tick(DefaultBatchDelay)
	require.Empty(t, a.read())
	require.Empty(t, a.call("r4", "k1", 1))
}

func TestTrimmedClaimsRefuseKeysIssuedBeforeGap(t *testing.T) {
	var log [][]byte
	a := newHarness("a", &log)
	a.now = 10 * time.Minute
	a.perform(a.Handle(LogTrimmed{Now: a.clock(), WallNow: a.wall(), First: 50}))
	require.Equal(t, []string{"refuse r1 4006 notRun"}, a.callIssuedAgo("r1", "k1", 1, time.Minute))
	a.now += 11 * time.Second
	require.Empty(t, a.call("r2", "k2", 1))
	// The watermark shows that everything before offset 60 was read nine minutes ago, so younger keys cannot be in the
	// gap.
	watermark := &messenger.ClaimBatch{SeenOffset: 60, SeenAtMs: a.wall().Add(-9 * time.Minute).UnixMilli()}
	_, raw := a.newRecord(messenger.RecordKind_RECORD_KIND_CLAIM_BATCH, watermark)
	a.Handle(RecordsRead{Now: a.clock(), WallNow: a.wall(), Entries: []replayer.Entry{{Offset: 50, Record: raw}}})
	require.Equal(t, []string{"refuse r3 4006 notRun"}, a.callIssuedAgo("r3", "k3", 1, 9*time.Minute))
	require.Empty(t, a.callIssuedAgo("r4", "k4", 1, 8*time.Minute))
}

func TestWatermarkIsAppendedWhenIdle(t *testing.T) {
	log := [][]byte{{}}
	a := newHarness("a", &log)
	a.read()
	a.tick(time.Second)
	a.tick(DefaultWatermarkEvery)
	require.Len(t, log, 2)
	record, batch := &messenger.Record{}, &messenger.ClaimBatch{}
	require.NoError(t, proto.Unmarshal(log[1], record))
	require.NoError(t, proto.Unmarshal(record.GetPayload(), batch))
	require.Equal(t, uint64(2), batch.GetSeenOffset())
	require.Equal(t, time.Unix(1_800_000_000, 0).UnixMilli(), batch.GetSeenAtMs())
}

func TestStateIsBounded(t *testing.T) {
	var log [][]byte
	a := newHarness("a", &log)
	for i := range 200 {
		a.call(fmt.Sprint("r", i), fmt.Sprint("k", i), 1)
	}
	a.tick(DefaultBatchDelay)
	require.Len(t, log, 4)
	require.Len(t, a.read(), 200)
	a.end("a/1/claims.0/1", done, strings.Repeat("x", DefaultMaxResponseBytes+1))
	a.tick(DefaultBatchDelay)
	a.read()
	b := newHarness("b", &log)
	b.read()
	require.Equal(t, DefaultMaxResponseBytes, len(b.keys.entries[keyID{"c", "k0"}].outcome.GetAnswer()))
	require.Equal(t, 200, b.Keys())
	b.tick(time.Hour + 2*time.Minute)
	require.Zero(t, b.Keys())
	b.now = 0
	require.Equal(t, []string{"refuse r 4001 notRun"}, b.call("r", "k0", 1))
}

func BenchmarkReplayClaims(b *testing.B) {
	const claims, batch = 100_000, 20
	settings := NewSettings("w", "1", "claims.0")
	writer := NewDeduplicator(settings)
	now := time.Unix(1_800_000_000, 0)
	var entries []replayer.Entry
	for i := 0; i < claims; i += batch {
		message := &messenger.ClaimBatch{}
		for j := range batch {
			message.Claims = append(message.Claims, &messenger.DispatchClaim{
				Caller: "caller-17", Key: fmt.Sprintf("order-%08d", i+j), AttemptId: fmt.Sprintf("w/1/claims.0/%d", i+j),
				Service: "fabricOrders", IssuedAtMs: now.UnixMilli(), RequestHash: uint64(i),
			})
		}
		_, raw := writer.newRecord(messenger.RecordKind_RECORD_KIND_CLAIM_BATCH, message)
		entries = append(entries, replayer.Entry{Offset: identifier.Offset(len(entries) + 1), Record: raw})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var reader *Deduplicator
	for b.Loop() {
		reader = NewDeduplicator(NewSettings("r", "1", "claims.0"))
		reader.Handle(RecordsRead{Now: now, WallNow: now, Entries: entries})
		require.Equal(b, claims, reader.Keys())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "heapBytes/key")
	runtime.KeepAlive(reader)
}
