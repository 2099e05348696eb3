package commander

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/recorder"
	"rosemaryspool.example/standin/registrar"
	"rosemaryspool.example/standin/server"
	"rosemaryspool.example/standin/storekeeper"
)

func newLogCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "run a fake of the log service",
		Flags: serverFlags(
			floatFlag("appends-per-second", recorder.DefaultAppendsPerSecond, "maximum appends a second, over all clients"),
			intFlag("keep-records", recorder.DefaultKeepRecords, "number of records that each stream retains"),
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			check := &checker{command: command}
			address := check.address()
			settings := recorder.Settings{
				AppendsPerSecond: check.positive("appends-per-second"),
				KeepRecords:      check.count("keep-records", 1),
				Faults:           decodeFaults[recorder.Faults](check),
			}
			if err := check.err(); err != nil {
				return err
			}
			log := recorder.NewLog(settings)
			return serveUntilDone(ctx, command, server.Settings{Address: address, Handler: log.Handler()})
		},
	}
}

func newListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "run a fake of the instance list",
		Flags: serverFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			check := &checker{command: command}
			address := check.address()
			list := registrar.NewList(registrar.Settings{Faults: decodeFaults[registrar.Faults](check)})
			if err := check.err(); err != nil {
				return err
			}
			return serveUntilDone(ctx, command, server.Settings{Address: address, Handler: list.Handler()})
		},
	}
}

func newStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run a fake of the weight store",
		Flags: serverFlags(
			floatFlag("loads-per-minute", storekeeper.DefaultLoadsPerMinute, "maximum number of loads that may start a minute"),
			intFlag("burst", storekeeper.DefaultBurst, "maximum number of loads that may start at once"),
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			check := &checker{command: command}
			address := check.address()
			settings := storekeeper.Settings{
				LoadsPerMinute: check.positive("loads-per-minute"),
				Burst:          check.count("burst", 1),
				Faults:         decodeFaults[storekeeper.Faults](check),
			}
			if err := check.err(); err != nil {
				return err
			}
			store := storekeeper.NewStore(settings)
			return serveUntilDone(ctx, command, server.Settings{Address: address, Handler: store.Handler()})
		},
	}
}

// serveUntilDone starts a server, prints its URL and serves until ctx is done.
func serveUntilDone(ctx context.Context, command *cli.Command, settings server.Settings) error {
	s, err := server.Start(settings)
	if err != nil {
		return err
	}
	defer s.Close()
	return printURLAndWait(ctx, command, s)
}

// printURLAndWait prints the line that marks the server as ready and blocks until ctx is done.
func printURLAndWait(ctx context.Context, command *cli.Command, s *server.Server) error {
	fmt.Fprintf(command.Root().Writer, "part=%s url=%s\n", command.Name, s.URL())
	<-ctx.Done()
	return nil
}

// serveUpstream starts a server for an upstream, registers the upstream with the instance list if list-url is set,
// prints the URL and serves until ctx is done.
func serveUpstream(ctx context.Context, command *cli.Command, kind lister.Kind, settings server.Settings) error {
	s, err := server.Start(settings)
	if err != nil {
		return err
	}
	defer s.Close()
	member := lister.Member{
		ID:         command.String(settingID),
		Kind:       kind,
		Address:    s.URL(),
		DataCentre: identifier.DataCentre(command.String(settingDataCentre)),
	}
	if list := command.String(settingListURL); list != "" {
		if err := registrar.Announce(ctx, list, member); err != nil {
			return err
		}
	}
	return printURLAndWait(ctx, command, s)
}
