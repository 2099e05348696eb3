// Command rosemaryctl is the client for operators.
package main

import (
	"os"

	"rosemaryspool.example/rosemaryctl/commander"
)

func main() {
	os.Exit(commander.Run(os.Args))
}
