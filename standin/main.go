// Command standin runs fakes of the platform's services and upstreams, sends load and audit calls to daemons, and
// measures scheduling policies and the cost of the core.
package main

import (
	"os"

	"rosemaryspool.example/standin/commander"
)

func main() {
	os.Exit(commander.Run(os.Args))
}
