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
		stringFlag(settingAddress, "127.0.0.1", "IP address to listen on; ports are chosen by the system"),
		stringFlag("document", "", "configuration document whose upstreams to run in place of engines and services"),
		intFlag("engines", 3, "number of engines in the mixed role"),
		intFlag("services", 1, "number of upstreams of a plain HTTP service"),
		listFlag("data-centres", []string{"a"}, "data centres to which upstreams are assigned round-robin"),
		&cli.BoolFlag{
			Name: "checks-tokens", Value: true, Usage: "reject orders with an outdated fencing token",
			Sources: envSource("checks-tokens"),
		},
	}
	return &cli.Command{
		Name:   "host",
		Usage:  "run all stand-ins of a deployment in one process",
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
		c.addError(settingAddress, fmt.Sprintf("%q is not an IP address", settings.Address))
	}
	if path := c.command.String("document"); path != "" {
		return documentSettings(c, path, settings.Address)
	}
	dataCentres := c.nonEmptyList("data-centres")
	if len(dataCentres) == 0 {
		return settings
	}
	shared := engineSettings(c)
	shared.ChecksTokens = c.command.Bool("checks-tokens")
	for i := range c.count("engines", 0) {
		engine := host.Engine{Settings: shared, DataCentre: identifier.DataCentre(dataCentres[i%len(dataCentres)])}
		engine.ID = identifier.UpstreamID(fmt.Sprintf("engine-%d", i+1))
		settings.Engines = append(settings.Engines, engine)
	}
	for i := range c.count("services", 0) {
		settings.Services = append(settings.Services, host.Service{
			ID:         identifier.UpstreamID(fmt.Sprintf("service-%d", i+1)),
			DataCentre: identifier.DataCentre(dataCentres[i%len(dataCentres)]),
		})
	}
	return settings
}

// documentSettings returns the settings for the upstreams of a configuration document.
func documentSettings(c *checker, path, address string) host.Settings {
	engineDefaults := engineSettings(c)
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
	settings := host.NewSettings(document, engineDefaults)
	settings.Address = address
	return settings
}

// printStandIns prints one line for each upstream. The line part=host comes last and marks readiness.
func printStandIns(output io.Writer, h *host.Host) {
	for _, id := range slices.Sorted(maps.Keys(h.Engines)) {
		fmt.Fprintf(output, "part=engine id=%s url=%s\n", id, h.Engines[id].URL)
	}
	for _, id := range slices.Sorted(maps.Keys(h.Services)) {
		fmt.Fprintf(output, "part=service id=%s url=%s\n", id, h.Services[id].URL)
	}
	fmt.Fprintf(output, "part=host logUrl=%s listUrl=%s storeUrl=%s\n", h.LogURL, h.ListURL, h.StoreURL)
}
