package configurer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func parseSections(t testing.TB, text string) Sections {
	t.Helper()
	document, err := Parse("test", []byte(text))
	require.NoError(t, err)
	sections, err := document.Sections()
	require.NoError(t, err)
	return sections
}

func TestSectionsAreCanonical(t *testing.T) {
	sections := parseSections(t, validText)
	contents := map[string]string{}
	for name, content := range sections {
		contents[name] = string(content)
	}
	require.Equal(t, map[string]string{
		"formatVersion":       `1`,
		"environment":         `"trial"`,
		"placement":           `{"fixedRoles":false,"minimumDwell":"1m0s"}`,
		"keys":                `{"window":"2h0m0s"}`,
		"models/prova-llm":    `{"name":"prova-llm","version":"1.10","adapters":["en","tr"]}`,
		"engines/prova-1":     `{"id":"prova-1","dataCentre":"marmara-a","model":"prova-llm","role":"mixed","checksTokens":true}`,
		"services/atolye-app": `{"name":"atolye-app","upstreams":["atolye-1","atolye-2"],"notRunStatuses":[503]}`,
		"classes/fabricOrder": `{"name":"fabricOrder","service":"atolye-app","priority":60,"urgent":false,"idempotent":false,"deadline":"20s"}`,
		"classes/fittingVerdict": `{"name":"fittingVerdict","model":"prova-llm","priority":90,"urgent":true,"idempotent":true,` +
			`"expectedOutput":2,"maxOutput":16,"deadline":"8s"}`,
		"callers/terzi-ada": `{"id":"terzi-ada","requestsPerSecond":2.5,"burst":3}`,
	}, contents)
	document, err := Compile(sections)
	require.NoError(t, err)
	parsed, err := Parse("test", []byte(validText))
	require.NoError(t, err)
	require.Equal(t, parsed, document)
}

func TestCompileRejects(t *testing.T) {
	cases := []struct {
		name, section, content string
		code                   string
	}{
		{"unknown section", "zones/a", `{}`, "code 5015"},
		{"unknown key", "keys", `{"window":"2h0m0s","size":1}`, "code 5015"},
		{"extra space", "keys", `{"window": "2h0m0s"}`, "code 5015"},
		{"non-canonical duration", "keys", `{"window":"120m"}`, "code 5015"},
		{"name differs from section", "callers/terzi-eda", `{"id":"terzi-ada","requestsPerSecond":2.5,"burst":3}`, "code 5015"},
		{"unsorted list", "services/atolye-app", `{"name":"atolye-app","upstreams":["b","a"]}`, "code 5015"},
		{"default not filled in", "callers/terzi-ada", `{"id":"terzi-ada","requestsPerSecond":2.5,"burst":0}`, "code 5015"},
		{"malformed JSON", "classes/fabricOrder", `{`, "code 5015"},
		{"singleton section with a name", "placement/x", `{"fixedRoles":false,"minimumDwell":"1m0s"}`, "code 5015"},
		{"missing section", "keys", "", "code 5015"},
		{"newer format version", "formatVersion", `2`, "code 5011"},
		{"missing model", "models/prova-llm", "", "code 5010"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sections := parseSections(t, validText)
			sections[c.section] = []byte(c.content)
			if c.content == "" {
				delete(sections, c.section)
			}
			_, err := Compile(sections)
			require.ErrorContains(t, err, c.code)
		})
	}
}

func TestDigestCoversAllButEnvironment(t *testing.T) {
	sections := parseSections(t, validText)
	production := sections.ForEnvironment("production")
	require.Equal(t, "production", string(production.Environment()))
	require.Equal(t, "trial", string(sections.Environment()))
	require.Equal(t, sections.Digest(), production.Digest())
	for name, content := range sections {
		if name == sectionEnvironment {
			continue
		}
		changed := sections.Apply(Sections{name: append([]byte{' '}, content...)}, nil)
		require.NotEqual(t, sections.Digest(), changed.Digest(), name)
		require.NotEqual(t, sections.Digest(), sections.Apply(nil, []string{name}).Digest(), name)
	}
	require.Equal(t, sections.Digest(), parseSections(t, validText).Digest())
}

// TestDigestIsStable fails if the digest of a document of format version 1 changes. Instances that run different
// binaries would then disagree; introduce a new format version instead of changing the test.
func TestDigestIsStable(t *testing.T) {
	require.Equal(t, "ab141ab4f801e467f4ef67505455f66adf607a2935b9f4d5252e727c93397f2f", parseSections(t, validText).Digest())
}

// textWithCallers returns a document with the given number of callers.
func textWithCallers(callers int) string {
	var text strings.Builder
	text.WriteString(strings.Replace(validText, "callers:\n", "", 1)[:strings.Index(validText, "callers:\n")])
	text.WriteString("callers:\n")
	for i := range callers {
		fmt.Fprintf(&text, "  - {id: caller-%05d, requestsPerSecond: %d, burst: 20}\n", i, 1+i%9)
	}
	return text.String()
}

var benchmarkSizes = []int{100, 1000, 10_000, 44_000}

func BenchmarkParse(b *testing.B) {
	for _, size := range benchmarkSizes {
		text := []byte(textWithCallers(size))
		b.Run(fmt.Sprint("callers=", size), func(b *testing.B) {
			for b.Loop() {
				_, err := Parse("benchmark", text)
				require.NoError(b, err)
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	for _, size := range benchmarkSizes {
		sections := parseSections(b, textWithCallers(size))
		b.Run(fmt.Sprint("callers=", size), func(b *testing.B) {
			for b.Loop() {
				_, err := Compile(sections)
				require.NoError(b, err)
			}
		})
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range benchmarkSizes {
		sections := parseSections(b, textWithCallers(size))
		b.Run(fmt.Sprint("callers=", size), func(b *testing.B) {
			for b.Loop() {
				_ = sections.Digest()
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, size := range benchmarkSizes {
		sections := parseSections(b, textWithCallers(size))
		changed := Sections{"callers/caller-00001": []byte(`{"id":"caller-00001","requestsPerSecond":9,"burst":20}`)}
		b.Run(fmt.Sprint("callers=", size), func(b *testing.B) {
			for b.Loop() {
				_ = sections.Apply(changed, nil)
			}
		})
	}
}
