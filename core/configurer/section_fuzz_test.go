package configurer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzApply checks that no section of a change makes Apply panic, that Apply accepts exactly what Compile accepts for
// the complete document, and that an accepted section ends up in the result.
func FuzzApply(f *testing.F) {
	for name, content := range parseSections(f, validText) {
		f.Add(name, content)
	}
	f.Add("callers/x", []byte(`{"id":"x","requestsPerSecond":1e400,"burst":-1}`))
	f.Add("classes/", []byte(`{"name":"","deadline":"-1s"}`))
	f.Add("keys/x", []byte(`null`))
	first := parseConfiguration(f, validText)
	f.Fuzz(func(t *testing.T, name string, content []byte) {
		changed := Sections{name: content}
		_, compileErr := Compile(first.Sections().Apply(changed, nil))
		next, err := first.Apply(changed, nil)
		if err != nil {
			if _, isEnvironment := changed[sectionEnvironment]; !isEnvironment {
				require.Error(t, compileErr)
			}
			return
		}
		require.NoError(t, compileErr)
		found, ok := next.Section(name)
		require.True(t, ok)
		require.Equal(t, content, found)
		require.Equal(t, next.Sections().Digest(), next.Digest())
	})
}
