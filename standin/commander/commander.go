// Package commander reads the command line and settings of the stand-ins and runs its commands.
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
	exitSuccess    = 0
	exitFailure = 1
)

// Run runs the command line until it is done or a signal ends it, and returns the process's exit code.
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
		Usage:    "run small fakes of the platform, load and measurements",
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
