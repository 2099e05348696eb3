// Command rosemaryctl is the operators' client: it publishes configuration and plans changes of upstreams.
package main

import (
	"os"

	"rosemaryspool.example/rosemaryctl/commander"
)

func main() {
	os.Exit(commander.Run(os.Args))
}
