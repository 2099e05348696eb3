package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/auditor"
)

func newAuditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "send non-idempotent calls with repeats and compare what callers were told with what ran",
		Flags: []cli.Flag{
			listFlag("targets", nil, "base URLs of the daemons"),
			listFlag("services", nil, "base URLs of the stand-in services that count the runs"),
			stringFlag("service", "atolye-app", "name of the service"),
			stringFlag("class", "fabricOrder", "work class of the calls"),
			listFlag("callers", []string{"hangar-istanbul"}, "callers to send as, in turn"),
			intFlag("keys", 100, "number of keys"),
			intFlag("repeats", 3, "how often each key's call is sent"),
			stringFlag("prefix", "audit", "beginning of every key; another audit needs another one"),
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "time over which to send", Sources: envSource("length")},
			intFlag("concurrency", 64, "open calls at once"),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the order and the targets", Sources: envSource("seed")},
		},
		Action: runAudit,
	}
}

func runAudit(ctx context.Context, command *cli.Command) error {
	check := &checker{command: command}
	settings := auditor.Settings{
		Targets:     check.nonEmptyList("targets"),
		Services:    check.nonEmptyList("services"),
		Service:     identifier.ServiceName(check.nonEmpty("service")),
		Class:       identifier.ClassName(check.nonEmpty("class")),
		Keys:        check.count("keys", 1),
		Repeats:     check.count("repeats", 1),
		Prefix:      check.nonEmpty("prefix"),
		Length:      check.duration("length"),
		Concurrency: check.count("concurrency", 1),
		Seed:        command.Uint64("seed"),
	}
	for _, c := range check.nonEmptyList("callers") {
		settings.Callers = append(settings.Callers, identifier.CallerID(c))
	}
	if err := check.err(); err != nil {
		return err
	}
	report, err := auditor.Run(ctx, settings)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.Root().Writer, report)
	if report.Breaches() > 0 {
		return eris.Errorf("commander: audit found %d breaches", report.Breaches())
	}
	return nil
}
