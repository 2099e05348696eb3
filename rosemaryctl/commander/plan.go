package commander

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/rosemaryctl/publisher"
	"rosemaryspool.example/wire/messenger"
)

// planKind is a kind of planned change, and the command that requests it.
type planKind struct {
	name, usage string
	kind        messenger.PlannedChangeKind
	// drains is true if the upstream gets no new work after the change.
	drains bool
}

var planKinds = []planKind{
	{"drain", "send an upstream no new work and let it finish its work in flight", messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN, true},
	{"replace", "drain an upstream that another one replaces", messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_REPLACE, true},
	{"withdraw", "drain an upstream that will not come back", messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_WITHDRAW, true},
	{"restore", "send an upstream work again", messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE, false},
}

// plannedChange is a planned change that the log has accepted or, on a dry run, would accept.
type plannedChange struct {
	Environment identifier.Environment `json:"environment"`
	Change      string                 `json:"change"`
	Upstream    identifier.UpstreamID  `json:"upstream"`
	Replacement identifier.UpstreamID  `json:"replacement,omitempty"`
	Offset      identifier.Offset      `json:"offset,omitempty"`
	DryRun      bool                   `json:"dryRun"`
	Dangers     []danger               `json:"dangers"`
	Confirmed   int                    `json:"confirmed"`
	Instances   int                    `json:"instances"`
}

func (r plannedChange) writeText(w io.Writer) {
	if r.DryRun {
		_, _ = fmt.Fprintf(w, "would %s %s in %s\n", r.Change, r.Upstream, r.Environment)
		writeDangers(w, r.Dangers)
		return
	}
	_, _ = fmt.Fprintf(w, "%s of %s in %s is accepted\n", r.Change, r.Upstream, r.Environment)
	if r.Instances > 0 {
		_, _ = fmt.Fprintf(w, "done at %d of %d instances\n", r.Confirmed, r.Instances)
	}
}

func planCommands(p *printer) []*cli.Command {
	var commands []*cli.Command
	for _, k := range planKinds {
		required := []string{flagLog, flagOperator, flagEnvironment}
		settle := &cli.DurationFlag{Name: flagSettle, Usage: "longest delay of load reports", Value: defaultSettle, Sources: environmentVariable(flagSettle)}
		flags := append(changeFlags(), environmentFlag(), settle)
		if k.kind == messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_REPLACE {
			flags = append(flags, stringFlag(flagWith, "upstream that replaces it"))
			required = append(required, flagWith)
		}
		execute := func(ctx context.Context, command *cli.Command, s *session) error { return s.plan(ctx, command, k) }
		commands = append(commands, &cli.Command{
			Name: k.name, Usage: k.usage, ArgsUsage: "UPSTREAM", Flags: flags, Action: newAction(p, 1, required, execute),
		})
	}
	return commands
}

// plan appends a planned change to the log and waits until every instance has applied it and, for a drain, until the
// upstream's work in flight is done.
func (s *session) plan(ctx context.Context, command *cli.Command, kind planKind) error {
	change := plannedChange{
		Environment: identifier.Environment(command.String(flagEnvironment)), Change: kind.name, DryRun: s.dryRun,
		Upstream: identifier.UpstreamID(command.Args().First()), Replacement: identifier.UpstreamID(command.String(flagWith)),
	}
	reader := s.newFollower(change.Environment)
	if err := refresh(ctx, reader); err != nil {
		return err
	}
	if err := change.check(reader.State(), kind, s.accepted); err != nil {
		return err
	}
	if s.dryRun {
		s.printer.print(change)
		return nil
	}
	if err := requireDangersAccepted(change.Dangers); err != nil {
		return err
	}
	message := &messenger.PlannedChange{
		ChangeId: publisher.NewID(), Kind: kind.kind, Upstream: string(change.Upstream), Operator: string(s.operator),
		Replacement: string(change.Replacement),
	}
	record, err := publisher.NewRecord(messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE, s.operator, message)
	if err != nil {
		return err
	}
	applied, err := publisher.Publish(ctx, s.log, reader, record)
	if err != nil {
		return err
	}
	if _, ok := applied.Effect.(replayer.PlanChanged); !ok {
		return &Failure{Exit: ExitInternal, Code: changeRefused, Message: fmt.Sprintf("the change had no effect: %+v", applied.Effect)}
	}
	change.Offset = applied.Offset
	if err := change.recheck(reader.State(), kind, s.accepted); err != nil {
		return err
	}
	return s.confirmPlan(ctx, change, kind)
}

// recheck checks the change again after it was accepted: planned changes that other operators made in the meantime may
// have made it dangerous.
func (r *plannedChange) recheck(state *replayer.State, kind planKind, accepted []string) error {
	if err := r.check(state, kind, accepted); err != nil {
		return err
	}
	for _, d := range r.Dangers {
		if !d.Accepted {
			return &Failure{
				Exit: ExitDanger, Code: dangerNotAccepted, Detail: r.Dangers,
				Message: fmt.Sprintf("accepted, but another change came at the same time: danger %s: %s", d.Name, d.Cost),
				Advice:  fmt.Sprintf("restore %s, or another drained upstream that you need more; see status", r.Upstream),
			}
		}
	}
	return nil
}

// confirmPlan waits until every instance has applied the change and then, for a drain, until every instance reports no
// work in flight at the upstream. In between it waits for the settle time, as load reports are delayed: one from before
// the change may lack the latest work.
func (s *session) confirmPlan(ctx context.Context, change plannedChange, kind planKind) error {
	applied := func(status *messenger.InstanceStatus) bool { return status.GetNextOffset() > uint64(change.Offset) }
	progress, err := s.await(ctx, change.Environment, applied, kind.name+" read by")
	if err == nil && progress.Total > 0 && kind.drains {
		s.printer.progress("waiting %s for reports of the work in flight", s.settle)
		pause(ctx, s.settle)
		isIdle := func(status *messenger.InstanceStatus) bool {
			return applied(status) && countInFlight(status, change.Upstream) == 0
		}
		progress, err = s.await(ctx, change.Environment, isIdle, "work done according to")
	}
	change.Confirmed, change.Instances = progress.Done, progress.Total
	s.printer.print(change)
	return err
}

// pause sleeps for the duration or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// check returns an error if the document in force lacks one of the upstreams, and sets the change's dangers.
func (r *plannedChange) check(state *replayer.State, kind planKind, accepted []string) error {
	document := state.Document()
	if document == nil {
		return newNothingInForceFailure(r.Environment)
	}
	for _, id := range []identifier.UpstreamID{r.Upstream, r.Replacement} {
		if err := findUpstream(document, id); err != nil {
			return err
		}
	}
	r.Dangers = []danger{}
	if !kind.drains {
		return nil
	}
	dangers := configurer.PlanDangers(document, state.Draining(), r.Upstream)
	unaccepted := configurer.Unaccepted(dangers, accepted)
	for _, d := range dangers {
		r.Dangers = append(r.Dangers, danger{Name: d.Name, Cost: d.Cost, Accepted: len(unaccepted) == 0})
	}
	return nil
}

func findUpstream(document *configurer.Document, id identifier.UpstreamID) error {
	if id == "" {
		return nil
	}
	for _, u := range document.Upstreams() {
		if u == id {
			return nil
		}
	}
	failure := &Failure{Exit: ExitNotFound, Code: unknownUpstream, Message: fmt.Sprintf("unknown upstream %q", id)}
	if nearest := document.NearestUpstream(id); nearest != "" {
		failure.Advice = fmt.Sprintf("did you mean %q?", nearest)
	}
	return failure
}

func countInFlight(status *messenger.InstanceStatus, upstream identifier.UpstreamID) uint32 {
	for _, u := range status.GetUpstreams() {
		if u.GetUpstream() == string(upstream) {
			return u.GetInFlight()
		}
	}
	return 0
}
