// Package commander reads the command line and settings of the stand-ins and runs its commands.
package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Run runs the command line and returns the process's exit code.
func Run(arguments []string) int {
	root := &cli.Command{Name: "standin", Usage: "run small fakes of the platform, load and measurements"}
	root.Commands = append(root.Commands, measureCommand())
	if err := root.Run(context.Background(), arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
