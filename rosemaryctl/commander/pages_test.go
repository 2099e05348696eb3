package commander

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/scripter"
)

// newVersion is a script command that writes a document with a new model version.
const newVersion = `edit trial.yaml next.yaml '"2026.11"' '"2026.12"'`

// TestPages runs the commands on the operations pages about publishing, promotion and planned changes, and checks that
// they print the output shown there.
func TestPages(t *testing.T) {
	removedEngine := `edit trial.yaml next.yaml '  - id: prova-7\n    dataCentre: marmara-a\n    model: prova-llm\n    checksTokens: true\n' ''`
	publish := "exec rosemaryctl publish trial.yaml"
	promote := "exec rosemaryctl promote --from trial --to production"
	pages := []struct {
		name  string
		setup []string
	}{
		{"first-installation", nil},
		{"trial-to-production", []string{"instances production 3", publish, promote, newVersion}},
		{"promotion-refused", []string{
			"instances production 3", publish, promote, removedEngine, "exec rosemaryctl publish next.yaml --accept engineRemoved:prova-7",
		}},
		{"planned-changes", []string{publish}},
	}
	directory := t.TempDir()
	var files []string
	for _, p := range pages {
		text, err := os.ReadFile(filepath.Join("..", "..", "docs", "operations", p.name+".md"))
		require.NoError(t, err)
		lines := append([]string{"instances trial 3"}, p.setup...)
		commands := scripter.Script(string(text))
		require.NotEmpty(t, commands)
		file := filepath.Join(directory, p.name+".txtar")
		require.NoError(t, os.WriteFile(file, []byte(strings.Join(append(lines, commands...), "\n")+"\n"), 0o600))
		files = append(files, file)
	}
	params := scenarioParams()
	params.Files = files
	testscript.Run(t, params)
}
