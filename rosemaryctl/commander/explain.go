package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/wire/messenger"
)

// explanation is every decision that the instances still know of one request.
type explanation struct {
	Request   string             `json:"request"`
	Decisions []instanceDecision `json:"decisions"`
}

type instanceDecision struct {
	Instance string `json:"instance"`
	Decision string `json:"decision"`
}

func (e explanation) writeText(w io.Writer) {
	for _, d := range e.Decisions {
		_, _ = fmt.Fprintf(w, "%s: %s\n", d.Instance, d.Decision)
	}
}

func explainCommand(p *printer) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the decisions about one request", ArgsUsage: "REQUEST-ID",
		Action: newAction(p, 1, []string{flagInstances}, func(ctx context.Context, command *cli.Command, s *session) error {
			found := explanation{Request: command.Args().First()}
			views, err := s.queryStatuses(ctx, &messenger.StatusRequest{RequestId: found.Request})
			if err != nil {
				return err
			}
			for _, v := range views {
				for _, d := range v.Status.GetDecisions() {
					found.Decisions = append(found.Decisions, instanceDecision{v.Member.ID, d})
				}
			}
			if len(found.Decisions) == 0 {
				return &Failure{
					Exit: ExitNotFound, Code: unknownRequest, Message: "no instance knows a decision about request " + found.Request,
					Advice: "instances keep the latest decisions only; look into their logs",
				}
			}
			s.printer.print(found)
			return nil
		}),
	}
}
