// Command second plays the scripted cases of the second review. Each case starts gateways as processes against stand-ins
// of the platform's store, of servers and of clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
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
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// limit is how long a case may run. After it, or on a signal, all gateways are ended.
const limit = 110 * time.Second

// endInTime ends the gateways and the process when the limit has passed or a signal has come.
func endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	killAll()
	os.Exit(failed)
}

func play(name, record string) int {
	go endInTime()
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
	log, err := NewRecord(record)
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
