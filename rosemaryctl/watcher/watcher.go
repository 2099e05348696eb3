// Package watcher queries the status of the listed instances and polls them until all of them have applied a change.
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
	// DefaultCallTimeout limits one call to an instance; a healthy one responds within milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// pollInterval is the pause between two rounds of status calls.
	pollInterval = 250 * time.Millisecond
	// maxConcurrentCalls limits the calls in flight. With it, querying 360 instances of which a tenth does not respond
	// takes a few seconds.
	maxConcurrentCalls = 32
)

// ErrNoResponse means that no instance returned a state.
var ErrNoResponse = errors.New("watcher: no instance responded")

// StatusReply is a listed instance's reply to a status query, or the error of the query.
type StatusReply struct {
	Member lister.Member
	// Status is nil when the instance did not respond.
	Status *messenger.InstanceStatus
	Err    error
}

// Watcher queries the instances in the platform's instance list.
type Watcher struct {
	list        lister.List
	callTimeout time.Duration
}

// NewWatcher returns a watcher of the instances in the list. Each call to an instance is limited by callTimeout.
func NewWatcher(list lister.List, callTimeout time.Duration) *Watcher {
	return &Watcher{list: list, callTimeout: callTimeout}
}

// QueryStatuses queries all listed instances concurrently and returns the replies sorted by instance id.
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

// Bootstrap requests the state of each instance and returns the one with the highest log offset.
func (w *Watcher) Bootstrap(ctx context.Context, environment identifier.Environment) (*messenger.BootstrapReply, error) {
	members, err := w.list.Members(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "watcher: read instance list")
	}
	var latest *messenger.BootstrapReply
	request := &messenger.BootstrapRequest{Environment: string(environment), Instance: "rosemaryctl"}
	for _, m := range members {
		if m.Kind != lister.KindInstance {
			continue
		}
		reply, err := w.requestBootstrap(ctx, m, request)
		if err == nil && reply.GetNextOffset() > latest.GetNextOffset() {
			latest = reply
		}
	}
	if latest == nil {
		return nil, ErrNoResponse
	}
	return latest, nil
}

func (w *Watcher) requestBootstrap(ctx context.Context, member lister.Member, request *messenger.BootstrapRequest) (*messenger.BootstrapReply, error) {
	ctx, cancel := context.WithTimeout(ctx, w.callTimeout)
	defer cancel()
	client := querier.NewClient(member.PeerAddress)
	defer client.Close()
	return client.Bootstrap(ctx, request)
}

// Progress counts the instances that have applied a change.
type Progress struct {
	Done  int
	Total int
	// Pending lists the ids of the instances that have not confirmed the change.
	Pending []string
}

// Complete reports whether every instance has confirmed the change.
func (p Progress) Complete() bool {
	return len(p.Pending) == 0
}

// Wait polls until the condition holds at every instance of the environment that is not leaving, or until the wait time
// or the context ends. It polls at least once, and calls report after each round in which the progress has changed.
func (w *Watcher) Wait(ctx context.Context, environment identifier.Environment, wait time.Duration, holds func(*messenger.InstanceStatus) bool, report func(Progress)) (Progress, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	last := Progress{Done: -1}
	for {
		replies, err := w.QueryStatuses(ctx, &messenger.StatusRequest{})
		if err != nil {
			return last, err
		}
		progress := countProgress(replies, environment, holds)
		if progress.Done != last.Done || progress.Total != last.Total {
			report(progress)
		}
		last = progress
		if progress.Complete() {
			return progress, nil
		}
		select {
		case <-timer.C:
			return progress, nil
		case <-ctx.Done():
			return progress, nil
		case <-time.After(pollInterval):
		}
	}
}

// countProgress counts an instance that did not respond as pending, as its environment is unknown. Instances that are
// leaving, or belong to another environment, do not count.
func countProgress(replies []StatusReply, environment identifier.Environment, holds func(*messenger.InstanceStatus) bool) Progress {
	var progress Progress
	for _, r := range replies {
		if r.Member.Leaving || (r.Status != nil && r.Status.GetEnvironment() != string(environment)) {
			continue
		}
		progress.Total++
		if r.Status != nil && holds(r.Status) {
			progress.Done++
			continue
		}
		progress.Pending = append(progress.Pending, r.Member.ID)
	}
	return progress
}
