package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/rosemaryctl/differ"
)

// preview describes what publishing a document would change.
type preview struct {
	Environment  identifier.Environment `json:"environment"`
	BaseRevision identifier.Revision    `json:"baseRevision"`
	Digest       string                 `json:"digest"`
	Changes      []differ.Change        `json:"changes"`
	Dangers      []danger               `json:"dangers"`
}

// danger is an effect of a change that the operator has to accept by name.
type danger struct {
	Name     string `json:"name"`
	Cost     string `json:"cost"`
	Accepted bool   `json:"accepted"`
}

func (v preview) writeText(w io.Writer) {
	if len(v.Changes) == 0 {
		_, _ = fmt.Fprintf(w, "no difference from revision %d of %s\n", v.BaseRevision, v.Environment)
		return
	}
	_, _ = fmt.Fprintf(w, "changes to revision %d of %s:\n", v.BaseRevision, v.Environment)
	differ.Write(w, v.Changes)
	writeDangers(w, v.Dangers)
}

func writeDangers(w io.Writer, dangers []danger) {
	for _, d := range dangers {
		mark := "danger"
		if d.Accepted {
			mark = "accepted danger"
		}
		_, _ = fmt.Fprintf(w, "%s %s: %s\n", mark, d.Name, d.Cost)
	}
}

// newPreview compares the document in force with the next one.
func newPreview(state *replayer.State, document *configurer.Document, next configurer.Sections, accepted []string) preview {
	v := preview{
		Environment: document.Environment, BaseRevision: state.Revision(), Digest: next.Digest(),
		Changes: differ.Compare(state.Sections(), next), Dangers: []danger{},
	}
	dangers := configurer.Dangers(state.Document(), document)
	unaccepted := map[string]bool{}
	for _, d := range configurer.Unaccepted(dangers, accepted) {
		unaccepted[d.Name] = true
	}
	for _, d := range dangers {
		v.Dangers = append(v.Dangers, danger{Name: d.Name, Cost: d.Cost, Accepted: !unaccepted[d.Name]})
	}
	return v
}

func diffCommand(p *printer) *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what a document would change, and its dangers", ArgsUsage: "FILE",
		Action: newAction(p, 1, []string{flagLog}, func(ctx context.Context, command *cli.Command, s *session) error {
			document, sections, err := readDocument(command.Args().First())
			if err != nil {
				return err
			}
			reader := s.newFollower(document.Environment)
			if err := refresh(ctx, reader); err != nil {
				return err
			}
			s.printer.print(newPreview(reader.State(), document, sections, nil))
			return nil
		}),
	}
}
