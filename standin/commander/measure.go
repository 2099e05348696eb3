package commander

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/standin/simulator"
)

// newMeasureCommand returns the command that compares scheduling policies in simulated time.
func newMeasureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure routing, admission and engine roles on a simulated clock",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "kalipci,luminaria", Usage: "deployments, separated by commas"},
			&cli.StringFlag{Name: "seeds", Value: "1-5", Usage: "seeds, as numbers and ranges separated by commas"},
			&cli.StringFlag{
				Name: "load", Value: "0.6,0.8,0.9,1.0,1.3",
				Usage: "arrival rates as fractions of the capacity at the best prefill/decode split, separated by commas",
			},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "faults separated by commas, or all"},
			&cli.StringFlag{Name: "policy", Value: "all", Usage: "policies separated by commas, or all"},
			&cli.FloatFlag{Name: "minutes", Value: 30, Usage: "length of a run in simulated minutes"},
			&cli.StringFlag{Name: "set", Usage: "simulation parameters to override, as name=value separated by commas"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "number of workloads to simulate in parallel"},
			&cli.BoolFlag{Name: "losses", Usage: "also print the requests without a response in time by class and cause"},
			&cli.StringFlag{
				Name: "plot", Usage: "write a plot of goodput and roles over time for the first case to this SVG or PNG file",
			},
		},
		Action: runMeasure,
	}
}

// gcPercent trades memory for speed: simulations allocate many short-lived objects.
const gcPercent = 400

// runMeasure simulates the cases selected by the flags and writes their result lines and tables to standard output. It
// returns an error of the simulations only after the tables are written.
func runMeasure(_ context.Context, command *cli.Command) error {
	plan, err := parsePlan(command)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	cases, runErr := simulator.Run(plan, os.Stdout)
	if err := simulator.WriteTable(cases, os.Stdout); err != nil {
		return err
	}
	if command.Bool("losses") {
		if err := simulator.WriteLosses(cases, os.Stdout); err != nil {
			return err
		}
	}
	if path := command.String("plot"); path != "" && len(cases) > 0 {
		if err := simulator.WritePlot(cases, path); err != nil {
			return err
		}
	}
	return runErr
}

// parsePlan builds the measurement plan from the flags.
func parsePlan(command *cli.Command) (simulator.Plan, error) {
	plan := simulator.Plan{
		Deployments: splitList(command.String("deployment")),
		Policies:    splitList(command.String("policy")),
		Overrides:   splitList(command.String("set")),
		Parallel:    command.Int("parallel"),
		Length:      time.Duration(command.Float("minutes") * float64(time.Minute)),
	}
	if command.String("policy") == "all" {
		plan.Policies = simulator.PolicyNames
	}
	var err error
	if plan.Seeds, err = parseSeeds(command.String("seeds")); err != nil {
		return plan, err
	}
	for _, text := range splitList(command.String("load")) {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return plan, fmt.Errorf("commander: load %q: %w", text, err)
		}
		plan.Loads = append(plan.Loads, load)
	}
	if command.String("fault") == "all" {
		plan.Faults = simulator.Faults
		return plan, nil
	}
	for _, text := range splitList(command.String("fault")) {
		fault, err := simulator.ParseFault(text)
		if err != nil {
			return plan, err
		}
		plan.Faults = append(plan.Faults, fault)
	}
	return plan, nil
}

// splitList splits text at commas; empty text gives an empty list.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// parseSeeds parses numbers and inclusive ranges such as "1-20,42".
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range splitList(text) {
		low, high, isRange := strings.Cut(part, "-")
		if !isRange {
			high = low
		}
		first, err := strconv.ParseUint(low, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("commander: seed %q: %w", part, err)
		}
		last, err := strconv.ParseUint(high, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("commander: seed %q: %w", part, err)
		}
		if last < first {
			return nil, fmt.Errorf("commander: seeds %q: the range is empty", part)
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}
