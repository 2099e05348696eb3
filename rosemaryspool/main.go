// Command rosemaryspool is the entry daemon: it accepts requests from callers and dispatches them to upstreams.
package main

import (
	"os"

	"rosemaryspool.example/rosemaryspool/commander"
)

func main() {
	os.Exit(commander.Run(os.Args))
}
