package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

func at(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func compileAny(configurer.Sections) (*configurer.Document, error) {
	return &configurer.Document{}, nil
}

// process is a controller whose appends go to a log that a test can share, lose or trim.
type process struct {
	*Controller
	log         *[][]byte
	loseAppends bool
	appended    []identifier.RecordID
}

func newProcess(name string, log *[][]byte) *process {
	settings := NewSettings("trial", identifier.InstanceID(name), "1", compileAny)
	settings.Lease.Stagger = 0
	settings.SnapshotEvery = 5
	settings.PropagationDelay = 0
	return &process{Controller: NewController(settings), log: log}
}

func (p *process) perform(actions []Action) []string {
	results := []string{}
	for _, action := range actions {
		switch a := action.(type) {
		case Append:
			p.appended = append(p.appended, a.IDs...)
			if p.loseAppends {
				p.Handle(AppendFailed{Records: a.IDs, Unknown: true})
				continue
			}
			*p.log = append(*p.log, a.Records...)
		case ConfigInForce:
			results = append(results, fmt.Sprint("inForce ", a.Revision))
		case OrderClosed:
			results = append(results, "closed "+a.Detail)
		default:
			results = append(results, fmt.Sprintf("%T", action)[len("controller."):])
		}
	}
	return results
}

func (p *process) read(now time.Time) []string {
	event := RecordsRead{Now: now, End: identifier.Offset(len(*p.log) + 1)}
	for o := p.NextOffset(); o < event.End; o++ {
		event.Entries = append(event.Entries, replayer.Entry{Offset: o, Record: (*p.log)[o-1]})
	}
	return p.perform(p.Handle(event))
}

func publish(log *[][]byte, base uint64, content string) {
	sections := configurer.Sections{"classes": []byte(content)}
	payload, _ := proto.Marshal(&messenger.ConfigChange{
		BaseRevision: base,
		Changed:      []*messenger.ConfigSection{{Name: "classes", Content: []byte(content)}},
		Digest:       sections.Digest(),
	})
	raw, _ := proto.Marshal(&messenger.Record{
		Id: fmt.Sprint("op", len(*log)), Kind: messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, Payload: payload,
	})
	*log = append(*log, raw)
}

func TestStartAppliesOnlyLatestRevision(t *testing.T) {
	var log [][]byte
	publish(&log, 0, "one")
	publish(&log, 1, "two")
	publish(&log, 2, "three")
	p := newProcess("a", &log)
	first := RecordsRead{Now: at(0), End: 4, Entries: []replayer.Entry{{Offset: 1, Record: log[0]}}}
	require.Empty(t, p.perform(p.Handle(first)))
	require.Equal(t, []string{"inForce 3"}, p.read(at(1)))
	publish(&log, 3, "four")
	require.Contains(t, p.read(at(2)), "inForce 5")
}

func TestTrimmedLogSuspendsLeasesUntilSnapshot(t *testing.T) {
	var log [][]byte
	publish(&log, 0, "one")
	a, b := newProcess("a", &log), newProcess("b", &log)
	a.read(at(0))
	require.Contains(t, a.read(at(0.1)), "LeaseGained")
	require.Equal(t, []string{"inForce 1"}, b.read(at(0.15)))
	a.perform(a.Handle(ScopeWanted{Now: at(0.2), Scope: "s"}))
	a.read(at(0.3))
	for i := range 20 {
		a.perform(a.Handle(Ticked{Now: at(1 + float64(i))}))
		a.read(at(1.1 + float64(i)))
	}
	require.Positive(t, a.State().SnapshotNext())
	// b missed records: it keeps its revision and claims no lease until it has read the snapshot.
	first := b.NextOffset() + 1
	require.Equal(t, []string{"HistoryIncomplete"}, b.perform(b.Handle(LogTrimmed{Now: at(21), First: first})))
	require.False(t, b.State().Complete())
	require.Equal(t, identifier.Revision(1), b.State().Revision())
	require.Empty(t, b.perform(b.Handle(Ticked{Now: at(60)})))
	refused := b.perform(b.Handle(OrderRequested{
		Now: at(60), Scope: "s", Order: &messenger.EngineOrder{OrderId: "o", Engine: "e"},
	}))
	require.Len(t, refused, 1)
	require.Equal(t, []string{"HistoryRestored"}, b.read(at(61)))
	require.True(t, b.State().Complete())
	require.Equal(t, a.State().Next(), b.State().Next())
	want, err := a.State().Encode()
	require.NoError(t, err)
	got, err := b.State().Encode()
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func TestPeerSnapshotIsLoadedOnlyWhenNewer(t *testing.T) {
	var log [][]byte
	publish(&log, 0, "one")
	peer := newProcess("a", &log)
	peer.read(at(0))
	old, err := peer.State().Snapshot()
	require.NoError(t, err)
	publish(&log, 1, "two")
	peer.read(at(1))
	current, err := peer.State().Snapshot()
	require.NoError(t, err)
	p := newProcess("b", &log)
	require.Nil(t, p.State().Document())
	damaged := &messenger.Snapshot{NextOffset: 9, State: current.GetState(), Checksum: 1}
	require.Empty(t, p.perform(p.Handle(SnapshotLoaded{Now: at(2), Snapshot: damaged})))
	require.Contains(t, p.perform(p.Handle(SnapshotLoaded{Now: at(2), Snapshot: current})),
		fmt.Sprint("inForce ", peer.State().Revision()))
	require.Empty(t, p.perform(p.Handle(SnapshotLoaded{Now: at(3), Snapshot: old})))
	require.Equal(t, peer.State().Revision(), p.State().Revision())
}

func TestUnknownAppendIsRetriedUnderSameRecordID(t *testing.T) {
	var log [][]byte
	p := newProcess("a", &log)
	p.perform(p.Handle(ScopeWanted{Now: at(0), Scope: "s"}))
	p.read(at(0))
	require.Contains(t, p.read(at(0.1)), "LeaseGained")
	p.appended, p.loseAppends = nil, true
	order := &messenger.EngineOrder{
		OrderId: "o", Engine: "e", Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: "decode",
	}
	request := OrderRequested{Now: at(0.2), Scope: "s", Order: order}
	require.Empty(t, p.perform(p.Handle(request)))
	require.Len(t, p.appended, 1)
	require.Equal(t, []string{"closed engine has an unfinished order"}, p.perform(p.Handle(request)))
	lost := p.appended[0]
	p.Handle(AppendFailed{Now: at(0.3), Records: []identifier.RecordID{lost}, Unknown: true})
	p.appended, p.loseAppends = nil, false
	p.perform(p.Handle(Ticked{Now: at(1)}))
	require.NotContains(t, p.appended, lost)
	p.perform(p.Handle(Ticked{Now: at(2.4)}))
	require.Contains(t, p.appended, lost)
	require.Contains(t, p.read(at(2.5)), "SendOrder")
}

func TestShutdownReleasesLeases(t *testing.T) {
	var log [][]byte
	p, q := newProcess("a", &log), newProcess("b", &log)
	p.read(at(0))
	p.read(at(0.1))
	q.read(at(0.2))
	require.False(t, p.Idle(at(0.3)))
	require.Equal(t, []string{"LeaseLost"}, p.perform(p.Handle(ShutdownStarted{Now: at(0.3)})))
	require.True(t, p.Idle(at(0.3)))
	q.read(at(0.4))
	require.Equal(t, []string{"LeaseGained"}, q.read(at(0.5)))
}

func TestOrderWaitsForDrainToPropagate(t *testing.T) {
	var log [][]byte
	p := newProcess("a", &log)
	p.settings.PropagationDelay = 3 * time.Second
	p.perform(p.Handle(ScopeWanted{Now: at(0), Scope: "s"}))
	p.read(at(0))
	p.read(at(0.1))
	request := func(now float64) []string {
		order := &messenger.EngineOrder{
			OrderId: "o", Engine: "e", Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: "decode",
		}
		return p.perform(p.Handle(OrderRequested{Now: at(now), Scope: "s", Order: order}))
	}
	refused := "closed engine's drain for the order has not been read for long enough"
	require.Contains(t, request(0.2), refused)
	drain := &messenger.PlannedChange{
		ChangeId: replayer.SystemPlanPrefix + "o", Kind: messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN, Upstream: "e",
	}
	p.perform(p.Handle(PlanRequested{Now: at(0.3), Scope: "s", Change: drain}))
	require.Contains(t, p.read(at(1)), "UpstreamsDraining")
	p.perform(p.Handle(Ticked{Now: at(2.1)}))
	p.read(at(2.2))
	require.Contains(t, request(3.9), refused)
	require.NotContains(t, request(4), refused)
	require.Contains(t, p.read(at(4.1)), "SendOrder")
	// While the order is open the engine must not be restored.
	restore, _ := proto.Clone(drain).(*messenger.PlannedChange)
	restore.Kind = messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE
	p.perform(p.Handle(PlanRequested{Now: at(4.2), Scope: "s", Change: restore}))
	p.read(at(4.3))
	require.Equal(t, []identifier.UpstreamID{"e"}, p.State().Draining())
}
