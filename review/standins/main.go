// Command standins holds the stand-ins of the review's cases: the platform's store, servers, clients and the operator.
// "standins CASE RECORD" plays a case; it ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// Results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) > 3 && os.Args[1] == "server" {
		serve(os.Args[2], os.Args[3], os.Args[4:])
		return
	}
	cases := map[string]func(*system, bool) (int, error){"large-answer": largeAnswer, "resumed-failure": resumedFailure}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*system, bool) (int, error), path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s, err := newSystem(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("trouble: %v", trouble)
	result, err := run(s, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		r.line("the case could not run: %v", err)
		return failed
	}
	r.line("result: %d", result)
	return result
}
