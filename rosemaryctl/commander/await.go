package commander

import (
	"context"
	"fmt"
	"strings"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryctl/watcher"
	"rosemaryspool.example/wire/messenger"
)

// await waits until a condition holds at every instance and prints the progress. Without an instance list, or with a
// wait of zero, it returns at once.
func (s *session) await(ctx context.Context, environment identifier.Environment, holds func(*messenger.InstanceStatus) bool, label string) (watcher.Progress, error) {
	if s.instances == nil || s.wait <= 0 {
		s.printer.progress("not waiting for the instances")
		return watcher.Progress{}, nil
	}
	report := func(p watcher.Progress) { s.printer.progress("%s %d of %d instances", label, p.Done, p.Total) }
	progress, err := s.instances.Wait(ctx, environment, s.wait, holds, report)
	if err != nil {
		return progress, newNotConfirmedFailure("accepted, but the instances could not be queried: " + err.Error())
	}
	if !progress.Complete() {
		return progress, newNotConfirmedFailure(fmt.Sprintf("accepted, but not confirmed by %s within %s", strings.Join(progress.Pending, ", "), s.wait))
	}
	return progress, nil
}

// newNotConfirmedFailure returns the failure for an accepted change that not every instance has confirmed.
func newNotConfirmedFailure(message string) error {
	return &Failure{
		Exit: ExitNotConfirmed, Code: notInForce, Message: message,
		Advice: "the change stays accepted; look at status, and do not repeat the command",
	}
}
