// Package scripter turns the console blocks of an operators' page into a test script and checks what its commands write.
package scripter

import (
	"fmt"
	"os/exec"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// Marks of a page: commands and their output stand in console blocks, and what only the test does in comments.
const (
	blockFence    = "```"
	consoleFence  = "```console"
	commandPrompt = "$ "
	exitCodeMark  = " # exit "
	hiddenStart   = "<!-- test: "
	hiddenEnd     = " -->"
)

// Script returns the lines of a test script that runs every command of a page and looks for the output that it shows.
func Script(page string) []string {
	var script []string
	inside := false
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, blockFence):
			inside = line == consoleFence
		case inside && strings.HasPrefix(line, commandPrompt):
			script = append(script, commandLine(strings.TrimPrefix(line, commandPrompt)))
		case inside:
			script = append(script, fmt.Sprintf("shows '%s'", line))
		case strings.HasPrefix(line, hiddenStart):
			script = append(script, strings.TrimSuffix(strings.TrimPrefix(line, hiddenStart), hiddenEnd))
		}
	}
	return script
}

// command returns the script line of one command; one that fails carries its exit code in a comment.
func commandLine(text string) string {
	text, code, found := strings.Cut(text, exitCodeMark)
	if !found {
		code = "0"
	}
	return fmt.Sprintf("exits %s %s", code, text)
}

// Commands returns the script commands that a page's script needs.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){"exits": checkExit, "shows": checkShown}
}

// checkExit runs a command and checks its exit code: exits CODE COMMAND ARGUMENTS.
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

// checkShown checks that the last command wrote a text: shows TEXT.
func checkShown(ts *testscript.TestScript, _ bool, args []string) {
	written := ts.ReadFile("stdout") + ts.ReadFile("stderr")
	if !strings.Contains(written, args[0]) {
		ts.Fatalf("the page shows %q, but the command wrote %q", args[0], written)
	}
}
