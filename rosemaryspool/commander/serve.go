package commander

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/rosemaryspool/assembler"
	"rosemaryspool.example/rosemaryspool/logger"
)

func serveCommand(output io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry instance",
		Flags: serveFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			settings, err := readSettings(command)
			if err != nil {
				return err
			}
			return serve(ctx, settings, command.String("log-level"), output)
		},
	}
}

func serve(ctx context.Context, settings assembler.Settings, level string, output io.Writer) error {
	log, err := logger.NewLog(output, level, nil)
	if err != nil {
		return err
	}
	defer log.Close()
	daemon, err := assembler.NewDaemon(settings, log.Logger)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
