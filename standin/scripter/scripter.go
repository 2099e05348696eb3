// Package scripter converts the console blocks of a documentation page into a test script, which runs the commands and
// checks their output.
package scripter

import (
	"fmt"
	"os/exec"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// Markup of a page: console blocks contain commands and their output; HTML comments contain lines for the test only.
const (
	blockFence    = "```"
	consoleFence  = "```console"
	commandPrompt = "$ "
	exitCodeMark  = " # exit "
	hiddenStart   = "<!-- test: "
	hiddenEnd     = " -->"
)

// Script returns the lines of a test script that runs every command of a page and checks for the output that the page
// shows.
func Script(page string) []string {
	var script []string
	inConsole := false
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, blockFence):
			inConsole = line == consoleFence
		case inConsole && strings.HasPrefix(line, commandPrompt):
			script = append(script, commandLine(strings.TrimPrefix(line, commandPrompt)))
		case inConsole:
			script = append(script, fmt.Sprintf("shows '%s'", line))
		case strings.HasPrefix(line, hiddenStart):
			script = append(script, strings.TrimSuffix(strings.TrimPrefix(line, hiddenStart), hiddenEnd))
		}
	}
	return script
}

// commandLine returns the script line of one command; a page specifies a non-zero exit code in a comment after the
// command.
func commandLine(text string) string {
	text, code, found := strings.Cut(text, exitCodeMark)
	if !found {
		code = "0"
	}
	return fmt.Sprintf("exits %s %s", code, text)
}

// Commands returns the testscript commands that the scripts of Script use.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){"exits": checkExit, "shows": checkShown}
}

// checkExit implements "exits CODE COMMAND ARGUMENTS": it runs a command and checks its exit code.
func checkExit(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	if exit, ok := err.(*exec.ExitError); ok {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if fmt.Sprint(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

// checkShown implements "shows TEXT": it checks that the output of the last command contains a text.
func checkShown(ts *testscript.TestScript, _ bool, args []string) {
	output := ts.ReadFile("stdout") + ts.ReadFile("stderr")
	if !strings.Contains(output, args[0]) {
		ts.Fatalf("the page shows %q, but the command printed %q", args[0], output)
	}
}
