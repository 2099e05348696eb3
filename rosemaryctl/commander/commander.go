// Package commander parses the command line and settings of the operators' client and runs its commands.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/suggester"
)

// Run runs the command line and returns the process's exit code, one of the Exit constants.
func Run(arguments []string) int {
	return run(context.Background(), arguments, os.Stdout, os.Stderr)
}

func run(ctx context.Context, arguments []string, out, errors io.Writer) int {
	p := &printer{output: outputText, out: out, err: errors}
	root := newRoot(p)
	err := root.Run(ctx, arguments)
	if err == nil {
		return ExitOK
	}
	failure := toFailure(err)
	p.printFailure(failure)
	return failure.Exit
}

func newRoot(p *printer) *cli.Command {
	root := &cli.Command{
		Name:           "rosemaryctl",
		Usage:          "check, publish and promote configuration, and plan changes of upstreams",
		Flags:          sharedFlags(),
		Writer:         p.out,
		ErrWriter:      p.err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			checkCommand(p), diffCommand(p), publishCommand(p), promoteCommand(p), historyCommand(p), statusCommand(p),
			explainCommand(p),
		},
	}
	root.Commands = append(root.Commands, planCommands(p)...)
	for _, c := range append(root.Commands, root) {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &Failure{Exit: ExitUsage, Code: badSetting, Message: err.Error(), Advice: "see rosemaryctl " + c.Name + " --help"}
		}
	}
	root.Action = func(_ context.Context, command *cli.Command) error { return runRoot(command) }
	return root
}

// runRoot prints the help, or for an unknown command a failure that suggests the nearest one.
func runRoot(command *cli.Command) error {
	if !command.Args().Present() {
		return cli.ShowAppHelp(command)
	}
	var names []string
	for _, c := range command.Commands {
		names = append(names, c.Name)
	}
	failure := &Failure{Exit: ExitUsage, Code: badSetting, Message: fmt.Sprintf("unknown command %q", command.Args().First())}
	failure.Advice = "see rosemaryctl --help"
	if nearest := suggester.FindNearest(command.Args().First(), names); nearest != "" {
		failure.Advice = fmt.Sprintf("did you mean %q?", nearest)
	}
	return failure
}

// newAction wraps the work of a command: it checks the settings and the number of arguments and sets the timeout.
func newAction(p *printer, arguments int, required []string, execute func(ctx context.Context, command *cli.Command, s *session) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		p.output = command.String(flagOutput)
		if err := checkSettings(command, required...); err != nil {
			return err
		}
		if command.Args().Len() != arguments {
			message := "usage: rosemaryctl " + command.Name + " " + command.ArgsUsage
			return &Failure{Exit: ExitUsage, Code: badSetting, Message: message}
		}
		ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
		defer cancel()
		return execute(ctx, command, newSession(command, p))
	}
}
