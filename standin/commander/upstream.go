package commander

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/batcher"
	"rosemaryspool.example/standin/generator"
	"rosemaryspool.example/standin/provider"
	"rosemaryspool.example/standin/server"
)

func engineFlags() []cli.Flag {
	flags := append(serverFlags(), upstreamFlags("engine-1")...)
	return append(flags, append(modelFlags(),
		stringFlag("role", string(identifier.RoleMixed), "mixed, prefill or decode"),
		&cli.BoolFlag{Name: "checks-tokens", Value: true, Usage: "refuse orders with an old fencing token", Sources: envSource("checks-tokens")},
	)...)
}

// modelFlags returns the settings that engines share.
func modelFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("model", "prova-llm", "name of the loaded model"),
		stringFlag("version", "1", "version of the loaded model"),
		floatFlag("speed", 1, "model seconds in one second"),
		floatFlag("prefill-per-second", 0, "uncached prompt tokens a second; 0 for the usual"),
		durationFlag("decode-base", "part of a decode step that does not depend on the batch; 0 for the usual"),
		durationFlag("decode-per-sequence", "what each sequence adds to a decode step; 0 for the usual"),
		intFlag("max-batch", 0, "sequences in one batch; 0 for the usual"),
		intFlag("cache-tokens", 0, "prefix cache in tokens; 0 for the usual"),
		durationFlag("order-absence", "how long a role change or load keeps the engine away; 0 for the usual"),
		durationFlag("order-patience", "how long an ordered engine lets running work end; 0 for the usual"),
		durationFlag("report-lag", "age that a load report may have"),
		durationFlag("cache-event-lag", "how late cache events show"),
	}
}

func durationFlag(name, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Sources: envSource(name)}
}

// engineSettings reads the settings that engines share.
func engineSettings(c *checker) generator.Settings {
	return generator.Settings{
		Version:       identifier.ModelVersion(c.nonEmpty("version")),
		Speed:         c.positive("speed"),
		OrderAbsence:  c.duration("order-absence"),
		OrderPatience: c.duration("order-patience"),
		ReportLag:     c.duration("report-lag"),
		CacheEventLag: c.duration("cache-event-lag"),
		Model: batcher.Settings{
			Model:             identifier.ModelName(c.nonEmpty("model")),
			PrefillPerSecond:  c.nonNegative("prefill-per-second"),
			DecodeBase:        c.duration("decode-base"),
			DecodePerSequence: c.duration("decode-per-sequence"),
			MaxBatch:          c.count("max-batch", 0),
			CacheTokens:       identifier.Tokens(c.count("cache-tokens", 0)),
		},
	}
}

// duration returns a time that is not negative.
func (c *checker) duration(name string) time.Duration {
	value := c.command.Duration(name)
	if value < 0 {
		c.addError(name, "may not be negative")
	}
	return value
}

// notNegative returns a number that is not negative.
func (c *checker) nonNegative(name string) float64 {
	value := c.command.Float(name)
	if value < 0 {
		c.addError(name, "may not be negative")
	}
	return value
}

// role returns an engine's role.
func (c *checker) role() identifier.Role {
	role := identifier.Role(c.command.String("role"))
	switch role {
	case identifier.RoleMixed, identifier.RolePrefill, identifier.RoleDecode:
	default:
		c.addError("role", "must be mixed, prefill or decode")
	}
	return role
}

func newEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run one model engine",
		Flags: engineFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			check := &checker{command: command}
			address := check.address()
			settings := engineSettings(check)
			settings.ID = identifier.UpstreamID(check.nonEmpty(settingID))
			settings.ChecksTokens = command.Bool("checks-tokens")
			settings.Model.Role = check.role()
			settings.Faults = decodeFaults[generator.Faults](check)
			if err := check.err(); err != nil {
				return err
			}
			engine := generator.NewEngine(settings)
			defer engine.Close()
			serving := server.Settings{Address: address, Handler: engine.Handler()}
			return serveUpstream(ctx, command, lister.KindEngine, serving)
		},
	}
}

func newServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run one upstream of a plain service",
		Flags: append(serverFlags(), upstreamFlags("service-1")...),
		Action: func(ctx context.Context, command *cli.Command) error {
			check := &checker{command: command}
			serving := server.Settings{Address: check.address(), ConnContext: provider.CountRequests}
			check.nonEmpty(settingID)
			service := provider.NewService(provider.Settings{Faults: decodeFaults[provider.Faults](check)})
			if err := check.err(); err != nil {
				return err
			}
			serving.Handler = service.Handler()
			return serveUpstream(ctx, command, lister.KindService, serving)
		},
	}
}
