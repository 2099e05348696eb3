// Command second plays the scripted cases of the second review. Each case starts gateways as processes against stand-ins
// of the platform's store, of servers and of clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// setting is what a case gets.
type setting struct {
	trouble   bool
	directory string
	network   int
	log       *Record
}

var cases = map[string]func(setting) (bool, error){
	"returned": playReturned,
	"joined":   playJoined,
	"reborn":   playReborn,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return failed
	}
	directory, err := os.MkdirTemp("", "second")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(directory)
	log, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	n, err := network()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	kept, err := run(setting{trouble: os.Getenv("TROUBLE") != "0", directory: directory, network: n, log: log})
	switch {
	case err != nil:
		log.Say("could not run: %v", err)
		return failed
	case !kept:
		log.Say("the rule was broken")
		return broken
	}
	log.Say("the rule was kept")
	return held
}
