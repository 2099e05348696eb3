// Package commander reads the command line and settings of the operators' client and runs its commands.
package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Run runs the command line and returns the process's exit code.
func Run(arguments []string) int {
	root := &cli.Command{Name: "rosemaryctl", Usage: "check, publish and promote configuration, and plan changes of engines"}
	if err := root.Run(context.Background(), arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
