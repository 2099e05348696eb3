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

// roundSeconds is the approximate length of one soak round: a phase of random faults and one of planned changes, each
// followed by recovery.
const roundSeconds = 16

func newSoakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run gateways as processes under random faults and check every guarantee",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Value: "1-3", Usage: "seeds, as numbers and ranges separated by commas"},
			floatFlag("minutes", 0.5, "length of the run of each seed in minutes, rounded down to whole rounds"),
			intFlag("gateways", 4, "number of gateways in each run"),
			intFlag("callers", 24, "number of callers in each run"),
			intFlag("network", 77, "second byte of the gateways' loopback addresses; must differ between concurrent runs"),
			&cli.DurationFlag{Name: "event-pause", Usage: "time between two events of a stream, such as 60ms"},
			&cli.BoolFlag{Name: "false-answers", Usage: "upstreams whose responses are false are the only faults"},
			&cli.StringFlag{Name: "program", Value: "bin/rosemaryspool", Usage: "path of the gateway executable"},
			&cli.StringFlag{
				Name: "earlier-program", Usage: "path of an earlier version's gateway; each gateway starts as one and is upgraded by its first restart",
			},
			&cli.StringFlag{Name: "directory", Value: "bin/soak", Usage: "directory for logs, one subdirectory per seed"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			check := &checker{command: command}
			settings := soaker.Settings{
				Rounds: max(1, int(check.positive("minutes")*60/roundSeconds)), FaultPhase: soaker.DefaultFaultPhase,
				Gateways: check.count("gateways", 1), Callers: check.count("callers", 1), Network: check.count("network", 1),
				Command: []string{command.String("program"), "gateway"}, FatalRequests: true, MixedVersions: true,
				FalseAnswers: command.Bool("false-answers"),
				Accounts:     command.String("earlier-program") == "", EventPause: max(0, command.Duration("event-pause")),
			}
			if earlier := command.String("earlier-program"); earlier != "" {
				settings.EarlierCommand = []string{earlier, "gateway"}
			}
			if err := check.err(); err != nil {
				return err
			}
			seeds, err := parseSeeds(command.String("seeds"))
			if err != nil {
				return err
			}
			return runSoaks(ctx, settings, seeds, command.String("directory"), command.Root().Writer)
		},
	}
}

func runSoaks(ctx context.Context, settings soaker.Settings, seeds []uint64, directory string, output io.Writer) error {
	failed := 0
	for _, seed := range seeds {
		if ctx.Err() != nil {
			break
		}
		settings.Seed, settings.Directory = seed, filepath.Join(directory, fmt.Sprint("seed-", seed))
		report, err := runSoak(ctx, settings)
		if err != nil {
			return err
		}
		fmt.Fprintln(output, report)
		for _, v := range report.Violations {
			fmt.Fprintln(output, " ", v)
		}
		if len(report.Violations) > 0 {
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
