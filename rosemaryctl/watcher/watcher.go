// Package watcher asks the listed instances for their status and waits until all of them report a change.
package watcher

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/iter"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/adaptor/querier"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

const (
	// DefaultCallTimeout bounds one call to an instance; a healthy one answers within milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// pollInterval is the pause between two rounds of status calls.
	pollInterval = 250 * time.Millisecond
	// maxCalls bounds the calls at once; 360 instances of which a tenth is silent take a few seconds.
	maxConcurrentCalls = 32
)

// ErrNoPeer means that no instance answered.
var ErrNoAnswer = errors.New("watcher: no instance answered")

// View is what one listed instance said.
type StatusReply struct {
	Member lister.Member
	// Status is nil when the instance did not answer.
	Status *messenger.InstanceStatus
	Err    error
}

// Watcher asks the instances of the platform's list.
type Watcher struct {
	list        lister.List
	callTimeout time.Duration
}

// NewWatcher returns a watcher of a list's instances that waits for each of them up to a time.
func NewWatcher(list lister.List, callTimeout time.Duration) *Watcher {
	return &Watcher{list: list, callTimeout: callTimeout}
}

// Views asks every listed instance at once, in order of id.
func (w *Watcher) QueryStatuses(ctx context.Context, request *messenger.StatusRequest) ([]StatusReply, error) {
	members, err := w.list.Members(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "watcher: read instance list")
	}
	members = slices.DeleteFunc(members, func(m lister.Member) bool { return m.Kind != lister.KindInstance })
	slices.SortFunc(members, func(a, b lister.Member) int { return strings.Compare(a.ID, b.ID) })
	mapper := iter.Mapper[lister.Member, StatusReply]{MaxGoroutines: maxConcurrentCalls}
	return mapper.Map(members, func(m *lister.Member) StatusReply { return w.queryStatus(ctx, *m, request) }), nil
}

func (w *Watcher) queryStatus(ctx context.Context, member lister.Member, request *messenger.StatusRequest) StatusReply {
	ctx, cancel := context.WithTimeout(ctx, w.callTimeout)
	defer cancel()
	client := querier.NewClient(member.PeerAddress)
	defer client.Close()
	status, err := client.Status(ctx, request)
	return StatusReply{Member: member, Status: status, Err: err}
}

// Bootstrap returns the state of the instance that has read furthest.
func (w *Watcher) Bootstrap(ctx context.Context, environment identifier.Environment) (*messenger.BootstrapReply, error) {
	members, err := w.list.Members(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "watcher: read instance list")
	}
	var best *messenger.BootstrapReply
	request := &messenger.BootstrapRequest{Environment: string(environment), Instance: "rosemaryctl"}
	for _, m := range members {
		if m.Kind != lister.KindInstance {
			continue
		}
		reply, err := w.requestBootstrap(ctx, m, request)
		if err == nil && reply.GetNextOffset() > best.GetNextOffset() {
			best = reply
		}
	}
	if best == nil {
		return nil, ErrNoAnswer
	}
	return best, nil
}

func (w *Watcher) requestBootstrap(ctx context.Context, member lister.Member, request *messenger.BootstrapRequest) (*messenger.BootstrapReply, error) {
	ctx, cancel := context.WithTimeout(ctx, w.callTimeout)
	defer cancel()
	client := querier.NewClient(member.PeerAddress)
	defer client.Close()
	return client.Bootstrap(ctx, request)
}

// Progress is how far a change has come.
type Progress struct {
	Done  int
	Total int
	// Missing lists the instances that have not reported the change.
	Pending []string
}

// Complete tells whether every instance has reported the change.
func (p Progress) Complete() bool {
	return len(p.Pending) == 0
}

// Wait asks again and again until the condition holds at every instance of the environment that is not leaving, or the
// wait is over; it asks at least once. It calls report after each round whose progress differs from the last.
func (w *Watcher) Wait(ctx context.Context, environment identifier.Environment, wait time.Duration, holds func(*messenger.InstanceStatus) bool, report func(Progress)) (Progress, error) {
	over := time.NewTimer(wait)
	defer over.Stop()
	last := Progress{Done: -1}
	for {
		views, err := w.QueryStatuses(ctx, &messenger.StatusRequest{})
		if err != nil {
			return last, err
		}
		progress := countProgress(views, environment, holds)
		if progress.Done != last.Done || progress.Total != last.Total {
			report(progress)
		}
		last = progress
		if progress.Complete() {
			return progress, nil
		}
		select {
		case <-over.C:
			return progress, nil
		case <-ctx.Done():
			return progress, nil
		case <-time.After(pollInterval):
		}
	}
}

func countProgress(views []StatusReply, environment identifier.Environment, holds func(*messenger.InstanceStatus) bool) Progress {
	var progress Progress
	for _, v := range views {
		if v.Member.Leaving || (v.Status != nil && v.Status.GetEnvironment() != string(environment)) {
			continue
		}
		progress.Total++
		if v.Status != nil && holds(v.Status) {
			progress.Done++
			continue
		}
		progress.Pending = append(progress.Pending, v.Member.ID)
	}
	return progress
}
