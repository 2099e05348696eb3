// Command third plays the cases of the third review: it starts the store, the servers and the gateways, does what the case
// tells, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: third CASE RECORD")
	}
	cases := map[string]func(*system, bool) int{"reply": playReply, "beat": playBeat, "gaps": playGaps, "herd": playHerd, "roll": playRoll, "flap": playFlap}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("no case %q", os.Args[1])
	}
	s := newSystem(newRecorder(os.Args[2]))
	broken := play(s, os.Getenv("TROUBLE") != "0")
	s.stop()
	s.record.add("verdict", "-", fmt.Sprintf("broken %d times", broken))
	if broken > 0 {
		os.Exit(1)
	}
}
