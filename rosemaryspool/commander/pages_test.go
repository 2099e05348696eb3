package commander

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/scripter"
)

// pagesDirectory holds the operations manual, one page per procedure.
const pagesDirectory = "../../docs/operations"

func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}

// TestPages runs the commands on the operations pages that need running daemons, and checks that they print the output
// shown there.
func TestPages(t *testing.T) {
	pages := []string{
		"overload", "leaving-upstream", "role-changes", "log-down", "lost-data-centre", "unknown-outcome", "engine-stuck",
		"logs-and-metrics",
	}
	directory := t.TempDir()
	params := scenarioParams()
	for _, p := range pages {
		commands := scripter.Script(readPage(t, filepath.Join(pagesDirectory, p+".md")))
		require.NotEmpty(t, commands, p)
		file := filepath.Join(directory, p+".txtar")
		require.NoError(t, os.WriteFile(file, []byte(strings.Join(commands, "\n")+"\n"), 0o600))
		params.Files = append(params.Files, file)
	}
	testscript.Run(t, params)
}

// TestIndexListsEveryPage checks that the index links to every operations page, and to no page that does not exist.
func TestIndexListsEveryPage(t *testing.T) {
	index := readPage(t, "../../docs/OPERATIONS.md")
	paths, err := filepath.Glob(pagesDirectory + "/*.md")
	require.NoError(t, err)
	for _, p := range paths {
		require.Contains(t, index, "(operations/"+filepath.Base(p)+")")
	}
	for _, link := range regexp.MustCompile(`\((operations/[^)]+)\)`).FindAllStringSubmatch(index, -1) {
		require.FileExists(t, "../../docs/"+link[1])
	}
}

// TestEventsAndMetricsAreDocumented checks that the tables of events and metrics list exactly the names in the daemon's
// code.
func TestEventsAndMetricsAreDocumented(t *testing.T) {
	page := readPage(t, filepath.Join(pagesDirectory, "logs-and-metrics.md"))
	events, metrics, _ := strings.Cut(page, "\n## Metrics")
	cases := []struct {
		table   string
		pattern string
	}{
		{events, `Str\("event", "(\w+)"\)`},
		{metrics, `(?:NewHistogram|GetOrRegister\w+|NewPrefixedChildRegistry)\((?:registry, )?"(\w+)`},
	}
	for _, c := range cases {
		documented := map[string]bool{}
		for _, row := range regexp.MustCompile(`(?m)^\| `+"`"+`(\w+)`).FindAllStringSubmatch(c.table, -1) {
			documented[row[1]] = true
		}
		require.Equal(t, namesInCode(t, regexp.MustCompile(c.pattern)), documented)
	}
}

// namesInCode returns the names that the pattern captures in the daemon's code, tests aside.
func namesInCode(t *testing.T, pattern *regexp.Regexp) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	require.NoError(t, filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, match := range pattern.FindAllStringSubmatch(readPage(t, path), -1) {
			names[match[1]] = true
		}
		return nil
	}))
	return names
}
