package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/wire/messenger"
)

// explanation holds every decision about one request that the instances still keep.
type explanation struct {
	Request   string             `json:"request"`
	Decisions []instanceDecision `json:"decisions"`
}

// instanceDecision is a decision and the instance that reported it.
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
			replies, err := s.queryStatuses(ctx, &messenger.StatusRequest{RequestId: found.Request})
			if err != nil {
				return err
			}
			for _, r := range replies {
				for _, d := range r.Status.GetDecisions() {
					found.Decisions = append(found.Decisions, instanceDecision{r.Member.ID, d})
				}
			}
			if len(found.Decisions) == 0 {
				return &Failure{
					Exit: ExitNotFound, Code: unknownRequest, Message: "no instance has a decision about request " + found.Request,
					Advice: "instances keep only the latest decisions; search their logs",
				}
			}
			s.printer.print(found)
			return nil
		}),
	}
}
