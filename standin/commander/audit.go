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
		Usage: "send non-idempotent calls with repeats and compare the responses with the executions counted by the services",
		Flags: []cli.Flag{
			listFlag("targets", nil, "base URLs of the daemons"),
			listFlag("services", nil, "base URLs of the stand-in services that count executions"),
			stringFlag("service", "atolye-app", "name of the service"),
			stringFlag("class", "fabricOrder", "work class of the calls"),
			listFlag("callers", []string{"hangar-istanbul"}, "callers to send as, round-robin"),
			intFlag("keys", 100, "number of idempotency keys"),
			intFlag("repeats", 3, "number of times that the call of each key is sent"),
			stringFlag("prefix", "audit", "prefix of every key; must differ from that of earlier audits"),
			&cli.DurationFlag{
				Name: "length", Value: 10 * time.Second, Usage: "time over which the calls are spread",
				Sources: envSource("length"),
			},
			intFlag("concurrency", 64, "maximum number of calls in flight"),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the call order and targets", Sources: envSource("seed")},
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
	if report.Violations() > 0 {
		return eris.Errorf("commander: audit found %d violations", report.Violations())
	}
	return nil
}
