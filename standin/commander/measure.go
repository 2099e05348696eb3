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

	"rosemaryspool.example/standin/measurer"
)

// measureCommand returns the command that measures policies on the fake clock.
func newMeasureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure routing, admission and roles on the fake clock",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "kalipci,luminaria", Usage: "deployments, by commas"},
			&cli.StringFlag{Name: "seeds", Value: "1-5", Usage: "seeds, as numbers and ranges by commas"},
			&cli.StringFlag{Name: "load", Value: "0.6,0.8,0.9,1.0,1.3", Usage: "shares of the best split's capacity, by commas"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "faults by commas, or all"},
			&cli.StringFlag{Name: "policy", Value: "all", Usage: "policies by commas, or all"},
			&cli.FloatFlag{Name: "minutes", Value: 30, Usage: "length of a run on the fake clock"},
			&cli.StringFlag{Name: "set", Usage: "figures of the fakes to override, as name=value by commas"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "workloads that run at once"},
			&cli.BoolFlag{Name: "losses", Usage: "also tell by class and cause which answers were lost"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot of goodput and roles over time for the first case to this SVG or PNG file"},
		},
		Action: runMeasure,
	}
}

// garbagePercent trades memory for speed: runs allocate much that lives shortly.
const gcPercent = 400

// measure runs the cases that the flags name and writes lines and tables.
func runMeasure(_ context.Context, command *cli.Command) error {
	plan, err := parsePlan(command)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	cases, failure := measurer.Run(plan, os.Stdout)
	if err := measurer.WriteTable(cases, os.Stdout); err != nil {
		return err
	}
	if command.Bool("losses") {
		if err := measurer.WriteLosses(cases, os.Stdout); err != nil {
			return err
		}
	}
	if path := command.String("plot"); path != "" && len(cases) > 0 {
		if err := measurer.WritePlot(cases, path); err != nil {
			return err
		}
	}
	return failure
}

// measurePlan reads the flags.
func parsePlan(command *cli.Command) (measurer.Plan, error) {
	plan := measurer.Plan{
		Deployments: splitList(command.String("deployment")),
		Policies:    splitList(command.String("policy")),
		Overrides:   splitList(command.String("set")),
		Parallel:    command.Int("parallel"),
		Length:      time.Duration(command.Float("minutes") * float64(time.Minute)),
	}
	if command.String("policy") == "all" {
		plan.Policies = measurer.PolicyNames
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
		plan.Faults = measurer.Faults
		return plan, nil
	}
	for _, text := range splitList(command.String("fault")) {
		fault, err := measurer.ParseFault(text)
		if err != nil {
			return plan, err
		}
		plan.Faults = append(plan.Faults, fault)
	}
	return plan, nil
}

// list splits a flag at its commas; an empty flag is an empty list.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// seeds reads numbers and ranges such as "1-20,42".
func parseSeeds(text string) ([]uint64, error) {
	var all []uint64
	for _, part := range splitList(text) {
		low, high, ranged := strings.Cut(part, "-")
		if !ranged {
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
			all = append(all, seed)
		}
	}
	return all, nil
}
