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
		stringFlag("role", string(identifier.RoleMixed), "role of the engine: mixed, prefill or decode"),
		&cli.BoolFlag{
			Name: "checks-tokens", Value: true, Usage: "reject orders with an outdated fencing token",
			Sources: envSource("checks-tokens"),
		},
	)...)
}

// modelFlags returns the flags of the simulated engines, shared by the commands engine and host.
func modelFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("model", "prova-llm", "name of the loaded model"),
		stringFlag("version", "1", "version of the loaded model"),
		floatFlag("speed", 1, "simulated seconds per second of wall-clock time"),
		floatFlag("prefill-per-second", 0, "prefill speed in uncached prompt tokens a second; 0 for the default"),
		durationFlag("decode-base", "time of a decode step without the part that grows with the batch; 0 for the default"),
		durationFlag("decode-per-sequence", "time that each sequence of the batch adds to a decode step; 0 for the default"),
		intFlag("max-batch", 0, "maximum number of sequences in one batch; 0 for the default"),
		intFlag("cache-tokens", 0, "capacity of the prefix cache in tokens; 0 for the default"),
		durationFlag("order-absence", "how long a role change or model load makes the engine unavailable; 0 for the default"),
		durationFlag("order-patience", "how long an engine drains running work before an order; 0 for the default"),
		durationFlag("report-lag", "maximum age of a load report"),
		durationFlag("cache-event-lag", "delay of cache events"),
	}
}

func durationFlag(name, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Sources: envSource(name)}
}

// engineSettings returns the engine settings that modelFlags defines.
func engineSettings(c *checker) generator.Settings {
	return generator.Settings{
		Version:          identifier.ModelVersion(c.nonEmpty("version")),
		Speed:            c.positive("speed"),
		OrderDowntime:    c.duration("order-absence"),
		OrderGracePeriod: c.duration("order-patience"),
		ReportLag:        c.duration("report-lag"),
		CacheEventLag:    c.duration("cache-event-lag"),
		Simulation: batcher.Settings{
			Model:             identifier.ModelName(c.nonEmpty("model")),
			PrefillPerSecond:  c.nonNegative("prefill-per-second"),
			DecodeBase:        c.duration("decode-base"),
			DecodePerSequence: c.duration("decode-per-sequence"),
			MaxBatch:          c.count("max-batch", 0),
			CacheTokens:       identifier.Tokens(c.count("cache-tokens", 0)),
		},
	}
}

// duration returns a duration that must not be negative.
func (c *checker) duration(name string) time.Duration {
	value := c.command.Duration(name)
	if value < 0 {
		c.addError(name, "must not be negative")
	}
	return value
}

// nonNegative returns a number that must not be negative.
func (c *checker) nonNegative(name string) float64 {
	value := c.command.Float(name)
	if value < 0 {
		c.addError(name, "must not be negative")
	}
	return value
}

// role returns the role setting and requires one of the supported roles.
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
		Usage: "run a fake model engine",
		Flags: engineFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			check := &checker{command: command}
			address := check.address()
			settings := engineSettings(check)
			settings.ID = identifier.UpstreamID(check.nonEmpty(settingID))
			settings.ChecksTokens = command.Bool("checks-tokens")
			settings.Simulation.Role = check.role()
			settings.Faults = decodeFaults[generator.Faults](check)
			if err := check.err(); err != nil {
				return err
			}
			engine := generator.NewEngine(settings)
			defer engine.Close()
			serverSettings := server.Settings{Address: address, Handler: engine.Handler()}
			return serveUpstream(ctx, command, lister.KindEngine, serverSettings)
		},
	}
}

func newServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a fake upstream of a plain HTTP service",
		Flags: append(serverFlags(), upstreamFlags("service-1")...),
		Action: func(ctx context.Context, command *cli.Command) error {
			check := &checker{command: command}
			serverSettings := server.Settings{Address: check.address(), ConnContext: provider.CountRequests}
			check.nonEmpty(settingID)
			service := provider.NewService(provider.Settings{Faults: decodeFaults[provider.Faults](check)})
			if err := check.err(); err != nil {
				return err
			}
			serverSettings.Handler = service.Handler()
			return serveUpstream(ctx, command, lister.KindService, serverSettings)
		},
	}
}
