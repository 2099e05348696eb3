package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/standin/soaker"
)

// roundSeconds is about how long one round of a soak takes.
const roundSeconds = 16

func newSoakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run gateways as processes under random faults and check every promise",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Value: "1-3", Usage: "seeds, as numbers and ranges by commas"},
			floatFlag("minutes", 0.5, "length of the run of one seed"),
			intFlag("gateways", 4, "gateways in each run"),
			intFlag("callers", 24, "callers in each run"),
			intFlag("network", 77, "second byte of the gateways' loopback addresses; different for runs at the same time"),
			&cli.StringFlag{Name: "program", Value: "bin/rosemaryspool", Usage: "path of the gateway's program"},
			&cli.StringFlag{Name: "directory", Value: "bin/soak", Usage: "where logs are kept"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			check := &checker{command: command}
			settings := soaker.Settings{
				Rounds: max(1, int(check.positive("minutes")*60/roundSeconds)), Storm: soaker.DefaultStorm,
				Gateways: check.count("gateways", 1), Callers: check.count("callers", 1), Network: check.count("network", 1),
				Command: []string{command.String("program"), "gateway"},
			}
			if err := check.err(); err != nil {
				return err
			}
			played, err := parseSeeds(command.String("seeds"))
			if err != nil {
				return err
			}
			return runSoaks(ctx, settings, played, command.String("directory"), command.Root().Writer)
		},
	}
}

func runSoaks(ctx context.Context, settings soaker.Settings, played []uint64, directory string, output io.Writer) error {
	failed := 0
	for _, seed := range played {
		if ctx.Err() != nil {
			break
		}
		settings.Seed, settings.Directory = seed, filepath.Join(directory, fmt.Sprint("seed-", seed))
		report, err := runSoak(ctx, settings)
		if err != nil {
			return err
		}
		fmt.Fprintln(output, report)
		for _, b := range report.Breaches {
			fmt.Fprintln(output, " ", b)
		}
		if len(report.Breaches) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d seeds failed; their logs are in %s", failed, directory)
	}
	return ctx.Err()
}

func runSoak(ctx context.Context, settings soaker.Settings) (soaker.Report, error) {
	if err := os.MkdirAll(settings.Directory, 0o700); err != nil {
		return soaker.Report{}, err
	}
	log, err := os.Create(filepath.Join(settings.Directory, "soak.log"))
	if err != nil {
		return soaker.Report{}, err
	}
	defer log.Close()
	settings.Log = log
	s, err := soaker.NewSoaker(settings)
	if err != nil {
		return soaker.Report{}, err
	}
	defer s.Close()
	return s.Run(ctx)
}
