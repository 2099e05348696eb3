package commander

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/loader"
	"rosemaryspool.example/standin/measurer"
)

// models names the model of each deployment.
var deploymentModels = map[string]identifier.ModelName{"kalipci": "prova-llm", "luminaria": "lume-llm"}

func newLoadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a mix of work over time to daemons and report goodput by class",
		Flags: []cli.Flag{
			listFlag("targets", nil, "base URLs of the daemons"),
			stringFlag("deployment", "kalipci", "whose mix to send: kalipci or luminaria"),
			stringFlag("model", "", "model to ask for; empty for the deployment's"),
			listFlag("callers", nil, "callers to send as, in turn; empty for drawn names"),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals", Sources: envSource("seed")},
			floatFlag("share", 0.5, "arrivals as a share of the engines' capacity"),
			intFlag("engines", 0, "number of engines that the share refers to; 0 for the deployment's"),
			&cli.DurationFlag{Name: "length", Value: time.Minute, Usage: "how long to send", Sources: envSource("length")},
			&cli.DurationFlag{
				Name: "patience", Value: time.Minute, Usage: "how long to wait for answers after the last request", Sources: envSource("patience"),
			},
			intFlag("max-requests", 0, "number of requests after which to stop; 0 for no such bound"),
			intFlag("concurrency", 256, "open requests at once"),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	check := &checker{command: command}
	workload := newWorkload(check)
	settings := loader.Settings{
		Targets:     check.nonEmptyList("targets"),
		Concurrency: check.count("concurrency", 1),
		MaxRequests: check.count("max-requests", 0),
		Patience:    check.duration("patience"),
		Seed:        command.Uint64("seed"),
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

// drawWorkload draws the arrivals; after a mistake in the settings it returns nil.
func newWorkload(c *checker) *measurer.Workload {
	figures, err := measurer.Deployment(c.command.String("deployment"))
	if err != nil {
		c.addError("deployment", err.Error())
	}
	if engines := c.count("engines", 0); engines > 0 {
		figures.Engines = engines
	}
	share := c.positive("share")
	length := c.duration("length")
	if c.err() != nil {
		return nil
	}
	return measurer.NewWorkload(figures, c.command.Uint64("seed"), share, length)
}
