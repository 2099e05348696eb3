package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
)

// history holds the latest changes of an environment, accepted and refused.
type history struct {
	Environment identifier.Environment `json:"environment"`
	InForce     identifier.Revision    `json:"inForce"`
	Accepted    []acceptedChange       `json:"accepted"`
	Refused     []refusedChange        `json:"refused"`
}

type acceptedChange struct {
	Revision         identifier.Revision    `json:"revision"`
	BaseRevision     identifier.Revision    `json:"baseRevision"`
	Digest           string                 `json:"digest"`
	Operator         identifier.OperatorID  `json:"operator"`
	Message          string                 `json:"message"`
	PromotedFrom     identifier.Environment `json:"promotedFrom,omitempty"`
	PromotedRevision identifier.Revision    `json:"promotedRevision,omitempty"`
	Changed          []string               `json:"changed"`
	Removed          []string               `json:"removed"`
}

type refusedChange struct {
	Offset       identifier.Offset     `json:"offset"`
	BaseRevision identifier.Revision   `json:"baseRevision"`
	Operator     identifier.OperatorID `json:"operator"`
	Reason       string                `json:"reason"`
	SupersededBy identifier.Revision   `json:"beatenBy,omitempty"`
}

func (h history) writeText(w io.Writer) {
	for _, c := range h.Accepted {
		_, _ = fmt.Fprintf(w, "revision %d by %s on %d: %s; %d sections changed, %d removed, digest %.12s\n",
			c.Revision, c.Operator, c.BaseRevision, orNoMessage(c.Message), len(c.Changed), len(c.Removed), c.Digest)
		if c.PromotedFrom != "" {
			_, _ = fmt.Fprintf(w, "    promoted from revision %d of %s\n", c.PromotedRevision, c.PromotedFrom)
		}
	}
	for _, c := range h.Refused {
		_, _ = fmt.Fprintf(w, "refused at %d: %s on %d: %s\n", c.Offset, c.Operator, c.BaseRevision, c.Reason)
	}
	_, _ = fmt.Fprintf(w, "in force in %s: revision %d\n", h.Environment, h.InForce)
}

func newHistory(state *replayer.State) history {
	h := history{Environment: state.Environment(), InForce: state.Revision(), Accepted: []acceptedChange{}, Refused: []refusedChange{}}
	for _, r := range state.History() {
		h.Accepted = append(h.Accepted, acceptedChange{
			Revision: r.Revision, BaseRevision: r.Base, Digest: r.Digest, Operator: r.Operator, Message: r.Message,
			PromotedFrom: r.PromotedFrom, PromotedRevision: r.PromotedRevision, Changed: append([]string{}, r.Changed...), Removed: append([]string{}, r.Removed...),
		})
	}
	for _, r := range state.ConfigRefusals() {
		h.Refused = append(h.Refused, refusedChange{
			Offset: r.Offset, BaseRevision: r.Base, Operator: r.Operator, Reason: r.Reason, SupersededBy: r.BeatenBy,
		})
	}
	return h
}

func historyCommand(p *printer) *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the latest changes of an environment, accepted and refused",
		Flags: []cli.Flag{environmentFlag()},
		Action: newAction(p, 0, []string{flagLog, flagEnvironment}, func(ctx context.Context, command *cli.Command, s *session) error {
			reader := s.newFollower(identifier.Environment(command.String(flagEnvironment)))
			if err := refresh(ctx, reader); err != nil {
				return err
			}
			s.printer.print(newHistory(reader.State()))
			return nil
		}),
	}
}
