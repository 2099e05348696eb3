package configurer

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemaryspool.example/wire/messenger"
)

func parseConfiguration(t testing.TB, text string) *Configuration {
	t.Helper()
	configuration, err := NewConfiguration(parseSections(t, text))
	require.NoError(t, err)
	return configuration
}

// TestApplyEqualsCompile checks that a series of incremental changes yields the same document, digest and acceptance as
// compiling the complete document, and does not modify earlier configurations.
func TestApplyEqualsCompile(t *testing.T) {
	first := parseConfiguration(t, textWithCallers(20))
	names := []string{
		"callers/caller-00003", "callers/caller-00019", "callers/new", "classes/fabricOrder", "classes/new", "engines/prova-1",
		"engines/prova-2", "models/prova-llm", "services/atolye-app", "keys", "placement",
	}
	contents := map[string][]string{
		"callers":   {`{"id":%q,"requestsPerSecond":3,"burst":3}`, `{"id":%q,"requestsPerSecond":3,"burst":-3}`},
		"classes":   {`{"name":%q,"service":"atolye-app","priority":6,"urgent":false,"idempotent":false,"deadline":"20s"}`, `{"name":%q}`},
		"engines":   {`{"id":%q,"dataCentre":"a","model":"prova-llm","role":"mixed","checksTokens":true}`, `{"id":%q,"dataCentre":"a","model":"prova-llm","role":"decode","checksTokens":true}`},
		"models":    {`{"name":%q,"version":"2"}`, `{"name":%q,"version":"3"}`},
		"services":  {`{"name":%q,"upstreams":["a","b"]}`, `{"name":%q,"upstreams":["prova-2"]}`},
		"keys":      {`{"window":"1h0m0s"}`, `{"window":"1s"}`},
		"placement": {`{"fixedRoles":true,"minimumDwell":"1m0s"}`},
	}
	require.NoError(t, flag.Set("rapid.seed", "1"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		configuration := first
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			before := configuration.Digest()
			changed, removed := Sections{}, []string{}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 4, rapid.ID).Draw(t, "names") {
				kind, key, entry := strings.Cut(name, "/")
				if _, known := configuration.Section(name); known && entry && rapid.Bool().Draw(t, "remove") {
					removed = append(removed, name)
					continue
				}
				content := rapid.SampledFrom(contents[kind]).Draw(t, "content")
				if entry {
					content = fmt.Sprintf(content, key)
				}
				changed[name] = []byte(content)
			}
			sections := configuration.Sections().Apply(changed, removed)
			document, compileErr := Compile(sections)
			next, err := configuration.Apply(changed, removed)
			require.Equal(t, before, configuration.Digest())
			require.Equal(t, before, configuration.Sections().Digest())
			require.Equal(t, compileErr == nil, err == nil, "%v %v", compileErr, err)
			if err != nil {
				continue
			}
			require.Equal(t, document, next.Document())
			require.Equal(t, sections, next.Sections())
			require.Equal(t, sections.Digest(), next.Digest())
			configuration = next
		}
	})
}

func TestApplyRejects(t *testing.T) {
	production := []byte(`"production"`)
	cases := []struct {
		name    string
		changed Sections
		removed []string
		message string
	}{
		{"removed section does not exist", nil, []string{"classes/none"}, "code 5015"},
		{"singleton removed", nil, []string{"keys"}, "code 5015"},
		{"changed and removed", Sections{"models/prova-llm": []byte(`{"name":"prova-llm","version":"2"}`)}, []string{"models/prova-llm"}, "code 5015"},
		{"removed twice", nil, []string{"callers/terzi-ada", "callers/terzi-ada"}, "code 5015"},
		{"removed model is in use", nil, []string{"models/prova-llm"}, "code 5010"},
		{"environment changed", Sections{"environment": production}, nil, "code 5017"},
		{"negative rate", Sections{"callers/a": []byte(`{"id":"a","requestsPerSecond":-1,"burst":1}`)}, nil, "code 5007"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseConfiguration(t, validText).Apply(c.changed, c.removed)
			require.ErrorContains(t, err, c.message)
		})
	}
}

func TestChangeRecords(t *testing.T) {
	old := parseConfiguration(t, validText)
	next := parseSections(t, strings.Replace(strings.Replace(validText, "terzi-ada", "terzi-eda", 1), "deadline: 8s", "deadline: 7s", 1))
	author := Author{Operator: "ayse", Message: "shorter", Accepted: []string{"deadlineShortened:fittingVerdict"}}
	change := NewChange(7, old.Sections(), next, author)
	require.EqualValues(t, 7, change.GetBaseRevision())
	require.Equal(t, []string{"callers/terzi-ada"}, change.GetRemoved())
	require.Len(t, change.GetChanged(), 2)
	require.Equal(t, "callers/terzi-eda", change.GetChanged()[0].GetName())
	require.Equal(t, "classes/fittingVerdict", change.GetChanged()[1].GetName())
	require.Equal(t, author.Accepted, change.GetAcceptedDangers())
	result, err := old.ApplyChange(change)
	require.NoError(t, err)
	require.Equal(t, next, result.Sections())

	change.Digest = old.Digest()
	_, err = old.ApplyChange(change)
	require.ErrorContains(t, err, "code 5016")
	change.Changed = append(change.Changed, change.GetChanged()[0])
	_, err = old.ApplyChange(change)
	require.ErrorContains(t, err, "stands twice")
}

func TestPromotionKeepsTheDigest(t *testing.T) {
	trial := parseConfiguration(t, validText)
	source := PromotionSource{Environment: "trial", Revision: 42, Sections: trial.Sections()}
	change := NewPromotion(0, nil, "production", source, Author{Operator: "ayse"})
	require.Equal(t, trial.Digest(), change.GetDigest())
	require.Equal(t, "trial", change.GetPromotedFrom())
	require.EqualValues(t, 42, change.GetPromotedRevision())
	result, err := (&Configuration{}).ApplyChange(change)
	require.NoError(t, err)
	require.Equal(t, "production", string(result.Document().Environment))
	again := NewPromotion(1, result.Sections(), "production", source, Author{})
	require.Empty(t, again.GetChanged())
	require.Empty(t, again.GetRemoved())
}

func TestEmptyConfiguration(t *testing.T) {
	empty := &Configuration{}
	require.Nil(t, empty.Document())
	require.Empty(t, empty.Digest())
	require.Empty(t, empty.Sections())
	_, err := empty.ApplyChange(&messenger.ConfigChange{})
	require.ErrorContains(t, err, "the section is missing")
}

// BenchmarkApplyOneCaller measures the cost of applying a change of one caller.
func BenchmarkApplyOneCaller(b *testing.B) {
	for _, size := range benchmarkSizes {
		configuration := parseConfiguration(b, textWithCallers(size))
		changed := Sections{"callers/caller-00001": []byte(`{"id":"caller-00001","requestsPerSecond":9,"burst":20}`)}
		b.Run(fmt.Sprint("callers=", size), func(b *testing.B) {
			for b.Loop() {
				_, err := configuration.Apply(changed, nil)
				require.NoError(b, err)
			}
		})
	}
}
