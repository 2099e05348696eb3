package commander

import (
	"maps"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"rosemaryspool.example/standin/scripter"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rosemaryctl": func() { os.Exit(Run(os.Args)) }})
}

// TestScenarios runs the scripts in testdata: the real client against stand-ins of the platform in the test's process.
func TestScenarios(t *testing.T) {
	params := scenarioParams()
	params.Dir = "testdata"
	testscript.Run(t, params)
}

func scenarioParams() testscript.Params {
	commands := map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"instances": startInstances,
		"fault":     setFault,
		"rival":     setCompetingChange,
		"busy":      setInFlight,
		"trim":      trimLog,
		"edit":      editFile,
	}
	maps.Copy(commands, scripter.Commands())
	return testscript.Params{
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               startPlatform,
		Cmds:                commands,
	}
}
