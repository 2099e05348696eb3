package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/standin/benchmarker"
)

func newCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how the core's costs grow with size and extrapolate them to the target size",
		Flags: []cli.Flag{
			listFlag("parts", benchmarker.Names(), "parts of the benchmark to run"),
		},
		Action: runCapacity,
	}
}

func runCapacity(_ context.Context, command *cli.Command) error {
	return benchmarker.NewBenchmarker(command.Root().Writer).Run(command.StringSlice("parts"))
}
