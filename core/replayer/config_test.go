package replayer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// newSections returns the sections of a document with the given number of callers.
func newSections(t testing.TB, environment identifier.Environment, callers int) configurer.Sections {
	t.Helper()
	document := &configurer.Document{
		FormatVersion: 1, Environment: environment, Keys: configurer.Keys{Window: configurer.DefaultKeyWindow},
		Services: []configurer.Service{{Name: "registro", Upstreams: []identifier.UpstreamID{"registro-1"}}},
		Classes:  []configurer.Class{{Name: "certificateSigning", Service: "registro", Deadline: configurer.DefaultKeyWindow}},
	}
	for i := range callers {
		id := identifier.CallerID(fmt.Sprintf("caller-%05d", i))
		document.Callers = append(document.Callers, configurer.Caller{ID: id, RequestsPerSecond: 1, Burst: 1})
	}
	sections, err := document.Sections()
	require.NoError(t, err)
	return sections
}

func newConfigRecord(t testing.TB, id string, change *messenger.ConfigChange) []byte {
	t.Helper()
	payload, err := proto.Marshal(change)
	require.NoError(t, err)
	raw, err := proto.Marshal(&messenger.Record{Id: id, Kind: messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, Payload: payload})
	require.NoError(t, err)
	return raw
}

func TestApplyConfigChanges(t *testing.T) {
	trial := newSections(t, "trial", 2)
	changed := trial.Apply(configurer.Sections{"callers/caller-00001": []byte(`{"id":"caller-00001","requestsPerSecond":2,"burst":2}`)}, nil)
	invalid := trial.Apply(nil, []string{"services/registro"})
	cases := []struct {
		name     string
		change   *messenger.ConfigChange
		accepted bool
	}{
		{"another environment", configurer.NewChange(0, nil, newSections(t, "production", 2), configurer.Author{}), false},
		{"first", configurer.NewChange(0, nil, trial, configurer.Author{}), true},
		{"invalid result", configurer.NewChange(2, trial, invalid, configurer.Author{}), false},
		{"delta", configurer.NewChange(2, trial, changed, configurer.Author{}), true},
		{"outdated base", configurer.NewChange(2, trial, changed, configurer.Author{}), false},
	}
	s := NewState("trial", nil)
	for i, c := range cases {
		applied, err := s.Apply(identifier.Offset(i+1), newConfigRecord(t, c.name, c.change))
		require.NoError(t, err)
		_, accepted := applied.Effect.(ConfigAccepted)
		require.Equal(t, c.accepted, accepted, "%s: %+v", c.name, applied.Effect)
	}
	require.Equal(t, changed, s.Sections())
	require.Equal(t, changed.Digest(), s.Digest())
	snapshot, err := s.Snapshot()
	require.NoError(t, err)
	restored, err := Decode("trial", nil, snapshot.GetState(), snapshot.GetChecksum())
	require.NoError(t, err)
	require.Equal(t, s.Document(), restored.Document())
}

// BenchmarkFoldOneCaller measures the cost of applying a change of one caller from the log.
func BenchmarkFoldOneCaller(b *testing.B) {
	for _, callers := range []int{100, 1000, 10_000, 44_000} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			sections := newSections(b, "trial", callers)
			s := NewState("trial", nil)
			_, err := s.Apply(1, newConfigRecord(b, "first", configurer.NewChange(0, nil, sections, configurer.Author{})))
			require.NoError(b, err)
			content := []byte(`{"id":"caller-00001","requestsPerSecond":2,"burst":2}`)
			next := sections.Apply(configurer.Sections{"callers/caller-00001": content}, nil)
			change := configurer.NewChange(1, sections, next, configurer.Author{Operator: "operator"})
			payload := newConfigRecord(b, "change", change)
			message := &messenger.ConfigChange{}
			for b.Loop() {
				// Each iteration applies the same change to the same base, so the configuration is reset afterwards.
				base := s.config
				record := &messenger.Record{}
				require.NoError(b, proto.Unmarshal(payload, record))
				require.NoError(b, proto.Unmarshal(record.GetPayload(), message))
				_, ok := s.applyConfig(2, record, message).(ConfigAccepted)
				require.True(b, ok)
				s.config = base
			}
			b.ReportMetric(float64(len(payload)), "record-bytes")
		})
	}
}
