// Command standin is a set of small fakes of the platform with a load and measurement tool.
package main

import (
	"os"

	"rosemaryspool.example/standin/commander"
)

func main() {
	os.Exit(commander.Run(os.Args))
}
