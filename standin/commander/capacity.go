package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/standin/surveyor"
)

func newCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how the core's costs grow with size and extrapolate them to the target size",
		Flags: []cli.Flag{
			listFlag("parts", surveyor.Names(), "parts of the survey to run"),
		},
		Action: runCapacity,
	}
}

func runCapacity(_ context.Context, command *cli.Command) error {
	return surveyor.NewSurveyor(command.Root().Writer).Run(command.StringSlice("parts"))
}
