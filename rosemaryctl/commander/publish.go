package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/rosemaryctl/differ"
	"rosemaryspool.example/rosemaryctl/follower"
	"rosemaryspool.example/rosemaryctl/publisher"
	"rosemaryspool.example/wire/messenger"
)

// publishResult is a change of configuration that the log has accepted.
type publishResult struct {
	Environment  identifier.Environment `json:"environment"`
	Revision     identifier.Revision    `json:"revision"`
	BaseRevision identifier.Revision    `json:"baseRevision"`
	Digest       string                 `json:"digest"`
	Confirmed    int                    `json:"confirmed"`
	Instances    int                    `json:"instances"`
}

func (r publishResult) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "revision %d of %s is accepted\n", r.Revision, r.Environment)
	if r.Instances > 0 {
		_, _ = fmt.Fprintf(w, "in force at %d of %d instances\n", r.Confirmed, r.Instances)
	}
}

func publishCommand(p *printer) *cli.Command {
	return &cli.Command{
		Name: "publish", Usage: "put a document in force in its environment", ArgsUsage: "FILE",
		Flags: append(changeFlags(),
			stringFlag(flagMessage, "reason for the change"),
			&cli.Uint64Flag{Name: flagBase, Usage: "revision that your document is based on; refuse if another is in force"},
		),
		Action: newAction(p, 1, []string{flagLog, flagOperator}, func(ctx context.Context, command *cli.Command, s *session) error {
			document, sections, err := readDocument(command.Args().First())
			if err != nil {
				return err
			}
			reader := s.newFollower(document.Environment)
			if err := refresh(ctx, reader); err != nil {
				return err
			}
			base := reader.State().Revision()
			if command.IsSet(flagBase) && identifier.Revision(command.Uint64(flagBase)) != base {
				return newConflictFailure(reader.State(), identifier.Revision(command.Uint64(flagBase)), sections)
			}
			author := configurer.Author{Operator: s.operator, Message: command.String(flagMessage), Accepted: s.accepted}
			change := configurer.NewChange(base, reader.State().Sections(), sections, author)
			return s.publish(ctx, reader, document, sections, change)
		}),
	}
}

// publish checks that the change's dangers are accepted, appends it to the log and waits until it is in force at every
// instance. A dry run, and a document without differences, only print the preview.
func (s *session) publish(ctx context.Context, reader *follower.Follower, document *configurer.Document, next configurer.Sections, change *messenger.ConfigChange) error {
	changePreview := newPreview(reader.State(), document, next, s.accepted)
	if len(changePreview.Changes) == 0 || s.dryRun {
		s.printer.print(changePreview)
		return nil
	}
	if err := requireDangersAccepted(changePreview.Dangers); err != nil {
		return err
	}
	record, err := publisher.NewRecord(messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, s.operator, change)
	if err != nil {
		return err
	}
	s.printer.progress("publishing on revision %d of %s", change.GetBaseRevision(), document.Environment)
	applied, err := publisher.Publish(ctx, s.log, reader, record)
	if err != nil {
		return err
	}
	switch e := applied.Effect.(type) {
	case replayer.ConfigAccepted:
		return s.confirm(ctx, document.Environment, e.Revision)
	case replayer.ConfigRefused:
		if reader.State().Revision() != identifier.Revision(change.GetBaseRevision()) {
			return newConflictFailure(reader.State(), identifier.Revision(change.GetBaseRevision()), next)
		}
		return &Failure{Exit: ExitInvalid, Code: changeRefused, Message: "the change was refused: " + e.Refusal.Reason}
	default:
		return &Failure{Exit: ExitInternal, Code: changeRefused, Message: fmt.Sprintf("the change had no effect: %+v", applied.Effect)}
	}
}

// confirm waits until every instance has the revision, or a later one, in force.
func (s *session) confirm(ctx context.Context, environment identifier.Environment, revision replayer.Revision) error {
	result := publishResult{Environment: environment, Revision: revision.Revision, BaseRevision: revision.Base, Digest: revision.Digest}
	holds := func(status *messenger.InstanceStatus) bool { return status.GetRevision() >= uint64(revision.Revision) }
	progress, err := s.await(ctx, environment, holds, "in force at")
	result.Confirmed, result.Instances = progress.Done, progress.Total
	s.printer.print(result)
	return err
}

// requireDangersAccepted returns a failure that lists every danger that was not accepted, or nil.
func requireDangersAccepted(dangers []danger) error {
	var lines, accepts []string
	for _, d := range dangers {
		if d.Accepted {
			continue
		}
		lines = append(lines, "danger "+d.Name+": "+d.Cost)
		accepts = append(accepts, "--accept "+d.Name)
	}
	if len(lines) == 0 {
		return nil
	}
	return &Failure{
		Exit: ExitDanger, Code: dangerNotAccepted, Message: "nothing was changed: dangers are not accepted\n" + strings.Join(lines, "\n"),
		Advice: "if you want them, repeat the command with " + strings.Join(accepts, " "), Detail: dangers,
	}
}

// conflict describes why a change was refused: which revision replaced its base, and how the documents differ.
type conflict struct {
	Base         identifier.Revision   `json:"baseRevision"`
	InForce      identifier.Revision   `json:"inForce"`
	SupersededBy identifier.Revision   `json:"winner"`
	Operator     identifier.OperatorID `json:"operator"`
	Message      string                `json:"message"`
	// Changes lists the differences from the document in force to the refused one.
	Changes []differ.Change `json:"changes"`
}

func (c conflict) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "your document differs from revision %d, which is in force:\n", c.InForce)
	differ.Write(w, c.Changes)
}

// newConflictFailure returns the failure for a change whose base is no longer in force. It names the revision that
// replaced the base and its operator, and lists the differences to the refused document.
func newConflictFailure(state *replayer.State, base identifier.Revision, next configurer.Sections) error {
	c := conflict{Base: base, InForce: state.Revision(), Changes: differ.Compare(state.Sections(), next)}
	for _, r := range state.History() {
		if r.Base == base {
			c.SupersededBy, c.Operator, c.Message = r.Revision, r.Operator, r.Message
		}
	}
	message := fmt.Sprintf("nothing was changed: revision %d is not in force, revision %d is", base, c.InForce)
	if c.SupersededBy != 0 {
		message = fmt.Sprintf("nothing was changed: revision %d by %s (%s) came before yours on revision %d", c.SupersededBy, c.Operator, orNoMessage(c.Message), base)
	}
	return &Failure{
		Exit: ExitConflict, Code: revisionConflict, Message: message,
		Advice: "merge the other change into your document, check it with diff, and publish again", Detail: c,
	}
}

func orNoMessage(message string) string {
	if message == "" {
		return "no message"
	}
	return message
}

// refresh reads a stream to its end, so that the command works on the current state.
func refresh(ctx context.Context, reader *follower.Follower) error {
	err := reader.Refresh(ctx, 0)
	if err == nil || errors.Is(err, follower.ErrIncomplete) {
		return err
	}
	return &Failure{
		Exit: ExitUnavailable, Code: nothingPublished, Message: "nothing was changed: " + err.Error(),
		Advice: "check --log and try again when the log is available",
	}
}
