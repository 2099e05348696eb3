// Package commander implements the command line of standin: it parses flags and environment variables and runs the
// commands.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	exitSuccess = 0
	exitFailure = 1
)

// Run executes the command line until the command returns or SIGINT or SIGTERM cancels it, and returns the exit code of
// the process.
func Run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, arguments, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitSuccess
}

func run(ctx context.Context, arguments []string, output io.Writer) error {
	root := &cli.Command{
		Name:     "standin",
		Usage:    "run fakes of the platform, load tests and measurements",
		Writer:   output,
		Commands: commands(),
	}
	return root.Run(ctx, arguments)
}

func commands() []*cli.Command {
	return []*cli.Command{
		newLogCommand(),
		newListCommand(),
		newStoreCommand(),
		newEngineCommand(),
		newServiceCommand(),
		newHostCommand(),
		newLoadCommand(),
		newAuditCommand(),
		newMeasureCommand(),
		newCapacityCommand(),
		newSoakCommand(),
	}
}
