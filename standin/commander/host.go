package commander

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/host"
)

func newHostCommand() *cli.Command {
	flags := []cli.Flag{
		stringFlag(settingAddress, "127.0.0.1", "IP number to listen on; the system chooses the ports"),
		stringFlag("document", "", "configuration document whose upstreams to run, in place of the numbers below"),
		intFlag("engines", 3, "number of mixed engines"),
		intFlag("services", 1, "number of upstreams of a plain service"),
		listFlag("data-centres", []string{"a"}, "data centres, over which upstreams are spread in turn"),
		&cli.BoolFlag{Name: "checks-tokens", Value: true, Usage: "refuse orders with an old fencing token", Sources: envSource("checks-tokens")},
	}
	return &cli.Command{
		Name:   "host",
		Usage:  "run a whole set of stand-ins in one process",
		Flags:  append(flags, modelFlags()...),
		Action: runHost,
	}
}

func runHost(ctx context.Context, command *cli.Command) error {
	check := &checker{command: command}
	settings := hostSettings(check)
	if err := check.err(); err != nil {
		return err
	}
	h, err := host.Start(ctx, settings)
	if err != nil {
		return err
	}
	defer h.Close()
	printStandIns(command.Root().Writer, h)
	<-ctx.Done()
	return nil
}

func hostSettings(c *checker) host.Settings {
	settings := host.Settings{Address: c.command.String(settingAddress)}
	if net.ParseIP(settings.Address) == nil {
		c.addError(settingAddress, fmt.Sprintf("%q is no IP number", settings.Address))
	}
	if path := c.command.String("document"); path != "" {
		return documentSettings(c, path, settings.Address)
	}
	centres := c.nonEmptyList("data-centres")
	if len(centres) == 0 {
		return settings
	}
	shared := engineSettings(c)
	shared.ChecksTokens = c.command.Bool("checks-tokens")
	for i := range c.count("engines", 0) {
		engine := host.Engine{Settings: shared, DataCentre: identifier.DataCentre(centres[i%len(centres)])}
		engine.ID = identifier.UpstreamID(fmt.Sprintf("engine-%d", i+1))
		settings.Engines = append(settings.Engines, engine)
	}
	for i := range c.count("services", 0) {
		settings.Services = append(settings.Services, host.Service{
			ID:         identifier.UpstreamID(fmt.Sprintf("service-%d", i+1)),
			DataCentre: identifier.DataCentre(centres[i%len(centres)]),
		})
	}
	return settings
}

// documentSettings reads the upstreams from a configuration document.
func documentSettings(c *checker, path, address string) host.Settings {
	shape := engineSettings(c)
	text, err := os.ReadFile(path)
	if err != nil {
		c.addError("document", err.Error())
		return host.Settings{}
	}
	document, err := configurer.Parse(path, text)
	if err != nil {
		c.addError("document", err.Error())
		return host.Settings{}
	}
	settings := host.NewSettings(document, shape)
	settings.Address = address
	return settings
}

// printHost prints a line for each part, and the line of the whole set last.
func printStandIns(output io.Writer, h *host.Host) {
	for _, id := range slices.Sorted(maps.Keys(h.Engines)) {
		fmt.Fprintf(output, "part=engine id=%s url=%s\n", id, h.Engines[id].URL)
	}
	for _, id := range slices.Sorted(maps.Keys(h.Services)) {
		fmt.Fprintf(output, "part=service id=%s url=%s\n", id, h.Services[id].URL)
	}
	fmt.Fprintf(output, "part=host logUrl=%s listUrl=%s storeUrl=%s\n", h.LogURL, h.ListURL, h.StoreURL)
}
