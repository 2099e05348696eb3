// Package commander parses the daemon's command line and settings and runs its commands.
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

// Run runs the command line and returns the process's exit code: 0 on success, 1 on failure, 2 on invalid settings.
func Run(arguments []string) int {
	return run(arguments, os.Stdout, os.Stderr)
}

func run(arguments []string, output, errorOutput io.Writer) int {
	root := &cli.Command{
		Name:           "rosemaryspool",
		Usage:          "serve language models on a fixed fleet of engines",
		Commands:       []*cli.Command{serveCommand(output), demoCommand(output), gatewayCommand(output), explainCommand(output)},
		Writer:         output,
		ErrWriter:      errorOutput,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	ctx, cancel := signalContext()
	defer cancel()
	err := root.Run(ctx, arguments)
	if err == nil {
		return 0
	}
	fmt.Fprintln(errorOutput, err)
	if _, ok := err.(*SettingsError); ok {
		return 2
	}
	return 1
}

// signalContext returns a context that the first SIGTERM or interrupt cancels. A second signal ends the process at once
// with exit code 1.
func signalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(1)
	}()
	return ctx, cancel
}
