package gossiper

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/limiter"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/wire/messenger"
)

const service identifier.ServiceName = "plain"

// newGossiper returns the gossiper of an instance that knows one upstream.
func newGossiper(t *testing.T, onView func(string, View)) (*Gossiper, *governor.Governor) {
	t.Helper()
	g := governor.NewGovernor(governor.Settings{
		Self:  elector.Member{Instance: "self", Address: "127.0.0.1:0", DataCentre: "here", StartedMs: 5},
		Retry: budgeter.Settings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, Allocator: allocator.DefaultSettings(),
	}, zerolog.Nop())
	g.UpdateUpstreams(time.Now(), governor.Origin{}, func(tr *tracker.Tracker) bool {
		return tr.Update(tracker.Entry{Upstream: "u", Service: service, Slots: 6}, 1)
	})
	socket, err := courier.Listen(g.Self().Address)
	require.NoError(t, err)
	c := courier.NewCourier(g.Self(), socket, zerolog.Nop(), metrics.NewRegistry())
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return NewGossiper(g, c, nil, 0, onView, zerolog.Nop(), metrics.NewRegistry()), g
}

// aheadOf returns the load at the upstream without that of the instance itself.
func aheadOf(t *testing.T, g *governor.Governor) int {
	t.Helper()
	placement, refusal := g.PlaceFor(time.Now(), "probe", "here", 1, allocator.Request{
		Service: service, Target: time.Hour,
		TimeToTarget: time.Hour, TimeToDeadline: time.Hour,
	})
	require.Nil(t, refusal)
	g.ApplyReport(time.Now(), elector.Member{Instance: "probe", DataCentre: "here"}, governor.Report{Service: service, FirstPending: 2})
	return placement.Ahead.Short
}

func TestOutdatedReportsAreDropped(t *testing.T) {
	g, gov := newGossiper(t, nil)
	for _, c := range []struct {
		name     string
		started  int64
		sequence uint64
		short    uint32
		want     int
	}{
		{"first report", 5, 2, 1, 1},
		{"report with an earlier sequence number", 5, 1, 9, 1},
		{"next report", 5, 3, 2, 2},
		{"first report after a restart", 6, 1, 3, 3},
	} {
		r := courier.Received{At: time.Now(), Sender: elector.Member{Instance: "b", StartedMs: c.started}}
		g.HandleReport(r, &messenger.WorkReport{
			Service: string(service), Sequence: c.sequence, FirstPending: 1,
			Upstreams: []*messenger.UpstreamWork{{Upstream: "u", ShortAnswers: c.short}},
		})
		require.Equal(t, c.want, aheadOf(t, gov), c.name)
	}
}

func TestReportsSurviveEncoding(t *testing.T) { synctest.Test(t, testReportsSurviveEncoding) }

func testReportsSurviveEncoding(t *testing.T) {
	now := time.Now()
	report := governor.Report{
		Service: service, Sequence: 7, FirstPending: 3,
		Loads: allocator.Loads{"u": {Short: 3, Long: 2, AwaitingPrefill: 1, QueuedPrefill: 9000}},
		Observations: []allocator.Observation{
			{
				Upstream: "u", Incarnation: 1 << 58, Event: allocator.EventPrefilled, Outcome: allocator.OutcomeFailed, Took: 3 * time.Millisecond,
				Tokens: 4000, Direct: true,
			},
			{Upstream: "u", Event: allocator.EventOverdue},
		},
		Limits: []allocator.NamedLimit{
			{Upstream: "u", Incarnation: 1 << 57, Limit: limiter.Limit{Limited: true, PerSecond: 7.5, NamedAt: now.Add(-20 * time.Millisecond)}},
			{Upstream: "v", Limit: limiter.Limit{NamedAt: now}},
		},
		Leaving: []governor.LeavingUpstream{{Upstream: "w", Incarnation: 1 << 60}},
		Removed: []governor.LeavingUpstream{{Upstream: "x", Incarnation: 1 << 59}},
	}
	content, err := proto.Marshal(EncodeReport(report))
	require.NoError(t, err)
	var m messenger.WorkReport
	require.NoError(t, proto.Unmarshal(content, &m))
	require.Equal(t, report, decodeReport(now, &m))
}

// apply merges messages into the state of a receiver that has read up to an offset, and returns the records it applied
// and whether it must read the rest from the store.
func apply(t *testing.T, messages []*messenger.StoreUpdate, next uint64) (applied []Record, mustRead bool) {
	t.Helper()
	p := pacer.NewPacer(time.Second, 0)
	p.SnapshotRead(time.Now(), next)
	g, _ := newGossiper(t, func(_ string, v View) {
		if p.PeerRecordsReceived(v.RecordsFrom, v.RecordsTo, v.Changed) {
			applied = append(applied, v.Records...)
		}
		mustRead = p.PeerViewReceived(v.View) || mustRead
	})
	for _, m := range messages {
		g.HandleStoreUpdate(courier.Received{At: time.Now()}, m)
	}
	return applied, mustRead
}

// randomBytes returns bytes that don't compress.
func randomBytes(count int) []byte {
	content := make([]byte, count)
	_, _ = rand.NewChaCha8([32]byte{}).Read(content)
	return content
}

func TestViewsAreSplitIntoDatagrams(t *testing.T) {
	var records []Record
	for i := range 20 {
		records = append(records, Record{Key: fmt.Sprint("u", i), Value: randomBytes(300), Offset: uint64(100 + 2*i)})
	}
	withValue := func(i int, value []byte) []Record {
		changed := slices.Clone(records[:5])
		changed[i].Value = value
		return changed
	}
	const tooLarge = (maxFragments + 2) * courier.MaxDatagramBytes
	for _, c := range []struct {
		name    string
		records []Record
		next    uint64
		// lost is the number of the datagram that is lost; -1 for none.
		lost     int
		applied  int
		mustRead bool
	}{
		{"no records", nil, 100, -1, 0, false},
		{"all records", records, 100, -1, 20, false},
		{"receiver has read some of them", records, 104, -1, 20, false},
		{"receiver has missed earlier records", records, 90, -1, 0, true},
		{"a datagram is lost", records, 100, 2, 6, true},
		{"a deleted key", withValue(1, nil), 100, -1, 5, false},
		{"a record in fragments, alone", withValue(0, randomBytes(9000))[:1], 100, -1, 1, false},
		{"a record in fragments, first", withValue(0, randomBytes(9000)), 100, -1, 5, false},
		{"a record in fragments, between others", withValue(2, randomBytes(9000)), 100, -1, 5, false},
		{"a record in fragments, last", withValue(4, randomBytes(9000)), 100, -1, 5, false},
		{"a fragment is lost", withValue(2, randomBytes(9000)), 100, 3, 2, true},
		{"a large record that compresses well", withValue(4, bytes.Repeat([]byte("route"), tooLarge)), 100, -1, 5, false},
		{"a record that is too large", withValue(4, randomBytes(tooLarge)), 100, -1, 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := View{
				View:        pacer.View{First: 50, Next: 150, ReadAt: time.Now()},
				RecordsFrom: 100, RecordsTo: 150, Records: c.records,
			}
			if len(c.records) > 0 {
				v.Changed = c.records[len(c.records)-1].Offset + 1
			}
			messages := newFragmenter().encodeView(time.Now(), "topic", v)
			for _, m := range messages {
				require.Less(t, proto.Size(m), courier.MaxDatagramBytes-100)
			}
			if c.lost >= 0 {
				messages = append(messages[:c.lost:c.lost], messages[c.lost+1:]...)
			}
			applied, mustRead := apply(t, messages, c.next)
			require.Len(t, applied, c.applied)
			require.Equal(t, c.mustRead, mustRead)
			for i, r := range applied {
				require.True(t, bytes.Equal(c.records[i].Value, r.Value), r.Key)
			}
		})
	}
}

func TestInvalidFragmentsAreSkipped(t *testing.T) {
	for _, c := range []struct {
		name   string
		record *messenger.StoreRecord
	}{
		{"number beyond the count", &messenger.StoreRecord{Fragment: 2, Fragments: 2}},
		{"too many fragments", &messenger.StoreRecord{Fragments: maxSnapshotFragments + 1}},
		{"content that can't be decompressed", &messenger.StoreRecord{Fragments: 1, Value: []byte("record")}},
	} {
		views := 0
		g, _ := newGossiper(t, func(string, View) { views++ })
		g.HandleStoreUpdate(courier.Received{At: time.Now()}, &messenger.StoreUpdate{Topics: []*messenger.TopicView{
			{Records: []*messenger.StoreRecord{c.record}},
		}})
		require.Zero(t, views, c.name)
	}
}
