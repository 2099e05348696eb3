package replayer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// compileUnchecked accepts every document except those with a section "bad".
func compileUnchecked(sections configurer.Sections) (*configurer.Document, error) {
	if _, ok := sections["bad"]; ok {
		return nil, errors.New("section bad")
	}
	return &configurer.Document{FormatVersion: len(sections)}, nil
}

// logWriter builds the records of a log; all use the scope "s".
type logWriter struct {
	records [][]byte
}

func (w *logWriter) add(kind messenger.RecordKind, author string, token uint64, payload proto.Message) {
	w.addID(fmt.Sprintf("r%d", len(w.records)+1), kind, author, token, payload)
}

func (w *logWriter) addID(id string, kind messenger.RecordKind, author string, token uint64, payload proto.Message) {
	encoded, _ := proto.Marshal(payload)
	raw, _ := proto.Marshal(&messenger.Record{Id: id, Kind: kind, Author: author, Scope: "s", Token: token, Payload: encoded})
	w.records = append(w.records, raw)
}

func (w *logWriter) claim(holder string, last, token uint64, renewal bool) {
	w.add(messenger.RecordKind_RECORD_KIND_LEASE_CLAIM, holder, token, &messenger.LeaseClaim{
		Scope: "s", Holder: holder, LastOffset: last, DurationMs: 6000, Renewal: renewal,
	})
}

func (w *logWriter) intent(author string, token uint64, order, engine string) {
	w.add(messenger.RecordKind_RECORD_KIND_ORDER_INTENT, author, token, &messenger.OrderIntent{Order: &messenger.EngineOrder{
		OrderId: order, Engine: engine, Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: "decode",
	}})
}

func (w *logWriter) outcome(author string, token uint64, order, engine string) {
	w.add(messenger.RecordKind_RECORD_KIND_ORDER_OUTCOME, author, token, &messenger.OrderOutcome{
		OrderId: order, Engine: engine, Result: messenger.OrderResult_ORDER_RESULT_DONE,
	})
}

func (w *logWriter) config(operator string, base uint64, sections configurer.Sections, digest string) {
	change := &messenger.ConfigChange{BaseRevision: base, Digest: digest, Operator: operator}
	for name, content := range sections {
		change.Changed = append(change.Changed, &messenger.ConfigSection{Name: name, Content: content})
	}
	w.add(messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, operator, 0, change)
}

func (w *logWriter) drain(upstream string) {
	w.add(messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE, "op", 0, &messenger.PlannedChange{
		ChangeId: "c" + upstream, Kind: messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN, Upstream: upstream,
	})
}

func (w *logWriter) snapshot(author string, token uint64, s *State) {
	snapshot, _ := s.Snapshot()
	w.add(messenger.RecordKind_RECORD_KIND_SNAPSHOT, author, token, snapshot)
}

func (w *logWriter) replay(t require.TestingT, until int) *State {
	s := NewState("trial", compileUnchecked)
	for i, raw := range w.records[:until] {
		_, err := s.Apply(identifier.Offset(i+1), raw)
		require.NoError(t, err)
	}
	return s
}

func TestApplyReportsTheEffectOfEachRecord(t *testing.T) {
	sections := configurer.Sections{"classes": []byte("[]")}
	digest := sections.Digest()
	bad := configurer.Sections{"bad": []byte("1")}
	w := &logWriter{}
	w.claim("a", 0, 0, false)       // 1: granted, token 1
	w.claim("b", 0, 0, false)       // 2: not based on the latest grant
	w.claim("a", 1, 1, true)        // 3: renewal
	w.intent("a", 1, "o1", "e1")    // 4: accepted
	w.intent("a", 1, "o2", "e1")    // 5: engine has an unfinished order
	w.claim("b", 3, 0, false)       // 6: takes over, token 6
	w.intent("a", 1, "o3", "e2")    // 7: stale token
	w.outcome("a", 1, "o1", "e1")   // 8: stale token
	w.claim("a", 6, 1, true)        // 9: stale renewal
	w.outcome("b", 6, "o1", "e1")   // 10: closes o1
	w.intent("b", 6, "o1", "e1")    // 11: already closed
	w.config("x", 0, sections, "?") // 12: wrong digest
	w.config("x", 0, sections, digest)
	w.config("y", 0, sections, digest) // 14: base replaced by 13
	w.config("z", 13, bad, configurer.Sections{"bad": bad["bad"], "classes": sections["classes"]}.Digest())
	w.add(messenger.RecordKind(77), "n", 0, &messenger.LeaseRelease{})
	w.records = append(w.records, []byte{0xff, 0x01}) // 17: malformed
	w.records = append(w.records, w.records[3])       // 18: duplicate
	w.addID("x19", messenger.RecordKind_RECORD_KIND_SNAPSHOT, "a", 1, &messenger.Snapshot{NextOffset: 5})
	want := []string{
		"granted a 1", "refused", "granted a 1", "accepted o1", "refused", "granted b 6", "staleToken", "staleToken",
		"staleToken", "closed o1", "refused", "configRefused 0 ", "config 13", "configRefused 13 x", "configRefused 0 ",
		"unknownKind", "malformed", "duplicate", "staleToken",
	}
	s := NewState("trial", compileUnchecked)
	for i, raw := range w.records {
		applied, err := s.Apply(identifier.Offset(i+1), raw)
		require.NoError(t, err)
		require.Equal(t, want[i], describeEffect(applied.Effect), "offset %d", i+1)
	}
	require.Equal(t, Counters{Malformed: 1, Duplicate: 1, Stale: 4, Unknown: 1, Refused: 6}, s.Counters())
	require.Equal(t, identifier.Revision(13), s.Revision())
	require.Len(t, s.unknownRecords, 1)
}

func describeEffect(effect Effect) string {
	switch e := effect.(type) {
	case LeaseGranted:
		return fmt.Sprintf("granted %s %d", e.Lease.Holder, e.Lease.Token)
	case IntentAccepted:
		return "accepted " + string(e.Order.ID())
	case OrderClosed:
		return "closed " + string(e.Order.ID())
	case ConfigAccepted:
		return fmt.Sprintf("config %d", e.Revision.Revision)
	case ConfigRefused:
		return fmt.Sprintf("configRefused %d %s", e.Refusal.BeatenBy, e.Refusal.BeatenByOperator)
	case Skipped:
		return string(e.Cause)
	default:
		return fmt.Sprintf("%T", effect)
	}
}

func TestApplyRefusesGapsAndIgnoresOldOffsets(t *testing.T) {
	w := &logWriter{}
	w.claim("a", 0, 0, false)
	s := w.replay(t, 1)
	_, err := s.Apply(5, w.records[0])
	var gap *GapError
	require.ErrorAs(t, err, &gap)
	applied, err := s.Apply(1, w.records[0])
	require.NoError(t, err)
	require.Equal(t, Skipped{Cause: CauseOld}, applied.Effect)
	require.Equal(t, identifier.Offset(2), s.Next())
}

// addRandomRecord adds a random record of any kind, valid or not.
func addRandomRecord(t *rapid.T, w *logWriter) {
	number := func(name string) uint64 { return rapid.Uint64Range(0, uint64(len(w.records)+1)).Draw(t, name) }
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		w.claim(name, number("last"), number("token"), rapid.Bool().Draw(t, "renewal"))
	case 2:
		w.intent(name, number("token"), fmt.Sprint("o", number("order")), "e1")
	case 3:
		w.outcome(name, number("token"), fmt.Sprint("o", number("order")), "e1")
	case 4:
		sections := configurer.Sections{name: []byte{byte(number("content"))}}
		w.config(name, number("base"), sections, sections.Digest())
	case 5:
		w.drain(name)
	case 6:
		w.records = append(w.records, rapid.SliceOfN(rapid.Byte(), 0, 12).Draw(t, "noise"))
	default:
		w.add(messenger.RecordKind(50), name, 0, &messenger.LeaseRelease{Scope: name})
	}
}

// TestDecodedStateContinuesLikeTheOriginal checks that replay from a snapshot at any offset ends in the same state as a
// replay of the complete log.
func TestDecodedStateContinuesLikeTheOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &logWriter{}
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			addRandomRecord(t, w)
		}
		split := rapid.IntRange(0, len(w.records)).Draw(t, "cut")
		complete := w.replay(t, len(w.records))
		snapshot, err := w.replay(t, split).Snapshot()
		require.NoError(t, err)
		restored, err := Decode("trial", compileUnchecked, snapshot.GetState(), snapshot.GetChecksum())
		require.NoError(t, err)
		for i := split; i < len(w.records); i++ {
			_, err := restored.Apply(identifier.Offset(i+1), w.records[i])
			require.NoError(t, err)
		}
		wantBytes, err := complete.Encode()
		require.NoError(t, err)
		gotBytes, err := restored.Encode()
		require.NoError(t, err)
		require.Equal(t, wantBytes, gotBytes)
	})
}

func TestDecodeRejectsOtherEnvironmentAndBadChecksum(t *testing.T) {
	w := &logWriter{}
	sections := configurer.Sections{"a": []byte("1")}
	w.config("x", 0, sections, sections.Digest())
	snapshot, err := w.replay(t, 1).Snapshot()
	require.NoError(t, err)
	_, err = Decode("production", compileUnchecked, snapshot.GetState(), snapshot.GetChecksum())
	require.ErrorIs(t, err, ErrEnvironment)
	_, err = Decode("trial", compileUnchecked, snapshot.GetState()[1:], snapshot.GetChecksum())
	require.ErrorIs(t, err, ErrChecksum)
}

func TestRestorerAcceptsOnlySnapshotsOfTheCurrentHolderThatCoverTheGap(t *testing.T) {
	cases := []struct {
		name   string
		holder string
		token  uint64
		first  identifier.Offset
		want   bool
	}{
		{"current holder", "b", 3, 3, true},
		{"stale holder", "a", 1, 3, false},
		{"gap before the first available record", "b", 3, 5, false},
	}
	for _, c := range cases {
		w := &logWriter{}
		w.claim("a", 0, 0, false)
		w.drain("u1")
		w.claim("b", 1, 0, false)
		w.drain("u2")
		w.snapshot(c.holder, c.token, w.replay(t, 2))
		r := NewRestorer("trial", compileUnchecked, c.first)
		var restored *State
		for o := int(c.first); o <= len(w.records) && restored == nil; o++ {
			restored = r.Offer(identifier.Offset(o), w.records[o-1])
		}
		require.Equal(t, c.want, restored != nil, c.name)
		if c.want {
			require.Equal(t, []identifier.UpstreamID{"u1", "u2"}, restored.Draining())
			require.Equal(t, 6*time.Second, restored.Leases()[0].Duration)
		}
	}
}
