package commander

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
)

func promoteCommand(p *printer) *cli.Command {
	return &cli.Command{
		Name: "promote", Usage: "publish the document in force in one environment unchanged in another",
		Flags: append(changeFlags(),
			stringFlag(flagMessage, "reason for the change"),
			stringFlag(flagFrom, "environment whose document is promoted"),
			stringFlag(flagTo, "environment that gets the document"),
			&cli.Uint64Flag{Name: flagRevision, Usage: "revision of the source that you tested; refuse if another is in force there"},
		),
		Action: newAction(p, 0, []string{flagLog, flagOperator, flagFrom, flagTo}, promote),
	}
}

// promote publishes the source environment's document in the target environment.
func promote(ctx context.Context, command *cli.Command, s *session) error {
	from, to := identifier.Environment(command.String(flagFrom)), identifier.Environment(command.String(flagTo))
	if from == to {
		return &Failure{Exit: ExitUsage, Code: badSetting, Message: "--from and --to name the same environment"}
	}
	source, err := readSource(ctx, s, from)
	if err != nil {
		return err
	}
	if command.IsSet(flagRevision) && identifier.Revision(command.Uint64(flagRevision)) != source.Revision {
		return newSourceChangedFailure(source, identifier.Revision(command.Uint64(flagRevision)))
	}
	target := s.newFollower(to)
	if err := refresh(ctx, target); err != nil {
		return err
	}
	next := source.Sections.ForEnvironment(to)
	document, err := configurer.Compile(next)
	if err != nil {
		return err
	}
	author := configurer.Author{Operator: s.operator, Message: command.String(flagMessage), Accepted: s.accepted}
	change := configurer.NewPromotion(target.State().Revision(), target.State().Sections(), to, source, author)
	s.printer.progress("promoting revision %d of %s, digest %.12s", source.Revision, from, change.GetDigest())
	return s.publish(ctx, target, document, next, change)
}

// readSource returns the document in force in the source environment.
func readSource(ctx context.Context, s *session, from identifier.Environment) (configurer.PromotionSource, error) {
	reader := s.newFollower(from)
	if err := refresh(ctx, reader); err != nil {
		return configurer.PromotionSource{}, err
	}
	if reader.State().Document() == nil {
		return configurer.PromotionSource{}, newNothingInForceFailure(from)
	}
	return configurer.PromotionSource{Environment: from, Revision: reader.State().Revision(), Sections: reader.State().Sections()}, nil
}

// newNothingInForceFailure returns the failure for an environment without a document.
func newNothingInForceFailure(environment identifier.Environment) error {
	return &Failure{
		Exit: ExitNotFound, Code: nothingInForce, Message: fmt.Sprintf("no document is in force in %s", environment),
		Advice: "check the name of the environment, or publish a document there first",
	}
}

// newSourceChangedFailure returns the failure for a source whose revision in force is not the one that was tested.
func newSourceChangedFailure(source configurer.PromotionSource, tested identifier.Revision) error {
	return &Failure{
		Exit: ExitConflict, Code: revisionConflict,
		Message: fmt.Sprintf("nothing was changed: revision %d of %s is not in force, revision %d is", tested, source.Environment, source.Revision),
		Advice:  "test the document that is in force now, then promote that revision",
	}
}
