package commander

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/rosemaryspool/demonstrator"
)

func demoCommand(output io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the daemon with stand-ins of the platform in one process and send a few requests",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "exit after the requests, with code 0 if all succeeded"},
			textFlag("deployment", "kalipci", "sample deployment: kalipci or luminaria"),
			textFlag("log-file", "", "file for the daemon's log lines; without it they are discarded"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return demonstrator.Run(ctx, demonstrator.Settings{
				Deployment: command.String("deployment"),
				Once:       command.Bool("once"),
				LogFile:    command.String("log-file"),
			}, output)
		},
	}
}
