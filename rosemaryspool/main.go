// Command rosemaryspool is the entry daemon of the serving system.
package main

import (
	"os"

	"rosemaryspool.example/rosemaryspool/commander"
)

func main() {
	os.Exit(commander.Run(os.Args))
}
