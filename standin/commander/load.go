package commander

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/loader"
	"rosemaryspool.example/standin/simulator"
)

// deploymentModels maps each sample deployment to the model that its requests name by default.
var deploymentModels = map[string]identifier.ModelName{"kalipci": "prova-llm", "luminaria": "lume-llm"}

func newLoadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a time-varying mix of requests to daemons and report goodput by class",
		Flags: []cli.Flag{
			listFlag("targets", nil, "base URLs of the daemons"),
			stringFlag("deployment", "kalipci", "deployment whose request mix to send: kalipci or luminaria"),
			stringFlag("model", "", "model to request; empty for the model of the deployment"),
			listFlag("callers", nil, "callers to send as, round-robin; empty for random names"),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals", Sources: envSource("seed")},
			floatFlag("share", 0.5, "arrival rate as a fraction of the engines' capacity"),
			intFlag("engines", 0, "number of engines that the share refers to; 0 for the number in the deployment"),
			&cli.DurationFlag{Name: "length", Value: time.Minute, Usage: "how long to send", Sources: envSource("length")},
			&cli.DurationFlag{
				Name: "patience", Value: time.Minute, Usage: "how long to wait for responses after the last request",
				Sources: envSource("patience"),
			},
			intFlag("max-requests", 0, "maximum number of requests; 0 for no limit"),
			intFlag("concurrency", 256, "maximum number of requests in flight"),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	check := &checker{command: command}
	workload := newWorkload(check)
	settings := loader.Settings{
		Targets:      check.nonEmptyList("targets"),
		Concurrency:  check.count("concurrency", 1),
		MaxRequests:  check.count("max-requests", 0),
		DrainTimeout: check.duration("patience"),
		Seed:         command.Uint64("seed"),
	}
	if err := check.err(); err != nil {
		return err
	}
	model := identifier.ModelName(command.String("model"))
	if model == "" {
		model = deploymentModels[command.String("deployment")]
	}
	var callers []identifier.CallerID
	for _, c := range command.StringSlice("callers") {
		callers = append(callers, identifier.CallerID(c))
	}
	report := loader.Run(ctx, settings, loader.Arrivals(workload, model, callers))
	return report.Write(command.Root().Writer)
}

// newWorkload generates the arrivals, or returns nil if any setting that was read so far is invalid.
func newWorkload(c *checker) *simulator.Workload {
	parameters, err := simulator.Deployment(c.command.String("deployment"))
	if err != nil {
		c.addError("deployment", err.Error())
	}
	if engines := c.count("engines", 0); engines > 0 {
		parameters.Engines = engines
	}
	share := c.positive("share")
	length := c.duration("length")
	if c.err() != nil {
		return nil
	}
	return simulator.NewWorkload(parameters, c.command.Uint64("seed"), share, length)
}
