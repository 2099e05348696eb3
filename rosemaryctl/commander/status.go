package commander

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"rosemaryspool.example/rosemaryctl/watcher"
	"rosemaryspool.example/wire/messenger"
)

// fleetStatus combines the status of all listed instances.
type fleetStatus struct {
	Instances []instanceStatus `json:"instances"`
	Upstreams []upstreamStatus `json:"upstreams"`
	Leases    []leaseStatus    `json:"leases"`
}

type instanceStatus struct {
	ID           string `json:"id"`
	DataCentre   string `json:"dataCentre"`
	Environment  string `json:"environment,omitempty"`
	Revision     uint64 `json:"revision"`
	Digest       string `json:"digest,omitempty"`
	NextOffset   uint64 `json:"nextOffset"`
	LogReachable bool   `json:"logReachable"`
	Leaving      bool   `json:"leaving"`
	Refusing     string `json:"refusing,omitempty"`
	// Error is the reason why the instance did not respond.
	Error string `json:"error,omitempty"`
}

// upstreamStatus is a status of an upstream and the number of instances that report it. InFlight is the highest number
// that the upstream reported to any of them.
type upstreamStatus struct {
	Environment string `json:"environment"`
	Upstream    string `json:"upstream"`
	Kind        string `json:"kind"`
	Role        string `json:"role,omitempty"`
	Model       string `json:"model,omitempty"`
	Version     string `json:"version,omitempty"`
	State       string `json:"state"`
	InFlight    uint32 `json:"inFlight"`
	Instances   int    `json:"instances"`
}

type leaseStatus struct {
	Environment string `json:"environment"`
	Scope       string `json:"scope"`
	Holder      string `json:"holder"`
	Token       uint64 `json:"token"`
}

func (s fleetStatus) writeText(w io.Writer) {
	for _, i := range s.Instances {
		if i.Error != "" {
			_, _ = fmt.Fprintf(w, "instance %s %s: no answer: %s\n", i.ID, i.DataCentre, i.Error)
			continue
		}
		_, _ = fmt.Fprintf(w, "instance %s %s: %s revision %d digest %.12s%s\n", i.ID, i.DataCentre, i.Environment, i.Revision, i.Digest, i.notes())
	}
	for _, u := range s.Upstreams {
		_, _ = fmt.Fprintf(w, "%s %s %s: %s %s %s %s, %d in flight, as %d instances say\n",
			u.Kind, u.Environment, u.Upstream, u.State, u.Role, u.Model, u.Version, u.InFlight, u.Instances)
	}
	for _, l := range s.Leases {
		_, _ = fmt.Fprintf(w, "lease %s %s: held by %s, token %d\n", l.Environment, l.Scope, l.Holder, l.Token)
	}
}

// notes returns the exceptional conditions of the instance as a suffix of its line.
func (i instanceStatus) notes() string {
	notes := ""
	if !i.LogReachable {
		notes += ", log not reachable"
	}
	if i.Leaving {
		notes += ", leaving"
	}
	if i.Refusing != "" {
		notes += ", refuses non-idempotent work: " + i.Refusing
	}
	return notes
}

// newFleetStatus combines the replies. Instances that report the same status of an upstream are counted together.
func newFleetStatus(replies []watcher.StatusReply) fleetStatus {
	status := fleetStatus{Instances: []instanceStatus{}, Upstreams: []upstreamStatus{}, Leases: []leaseStatus{}}
	upstreams := map[upstreamStatus]upstreamStatus{}
	leases := map[leaseStatus]bool{}
	for _, r := range replies {
		status.Instances = append(status.Instances, newInstanceStatus(r))
		for _, u := range r.Status.GetUpstreams() {
			addUpstream(upstreams, r.Status.GetEnvironment(), u)
		}
		for _, l := range r.Status.GetLeases() {
			leases[leaseStatus{r.Status.GetEnvironment(), l.GetScope(), l.GetHolder(), l.GetToken()}] = true
		}
	}
	status.Upstreams = append(status.Upstreams, slices.SortedFunc(maps.Values(upstreams), compareUpstreams)...)
	status.Leases = append(status.Leases, slices.SortedFunc(maps.Keys(leases), compareLeases)...)
	return status
}

func newInstanceStatus(reply watcher.StatusReply) instanceStatus {
	line := instanceStatus{ID: reply.Member.ID, DataCentre: string(reply.Member.DataCentre), Leaving: reply.Member.Leaving}
	if reply.Err != nil {
		line.Error = reply.Err.Error()
		return line
	}
	s := reply.Status
	line.Environment, line.Revision, line.Digest, line.NextOffset = s.GetEnvironment(), s.GetRevision(), s.GetDigest(), s.GetNextOffset()
	line.LogReachable, line.Refusing = s.GetLogReachable(), s.GetRefusing()
	line.Leaving = line.Leaving || s.GetLeaving()
	return line
}

// addUpstream counts an instance's report of an upstream among the equal reports of other instances.
func addUpstream(upstreams map[upstreamStatus]upstreamStatus, environment string, upstream *messenger.UpstreamStatus) {
	key := upstreamStatus{
		Environment: environment, Upstream: upstream.GetUpstream(), Kind: upstream.GetKind(), Role: upstream.GetRole(), Model: upstream.GetModel(),
		Version: upstream.GetVersion(), State: upstream.GetState(),
	}
	status, ok := upstreams[key]
	if !ok {
		status = key
	}
	status.Instances++
	status.InFlight = max(status.InFlight, upstream.GetInFlight())
	upstreams[key] = status
}

func compareUpstreams(a, b upstreamStatus) int {
	return cmp.Or(cmp.Compare(a.Environment, b.Environment), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.State, b.State),
		cmp.Compare(a.Role, b.Role), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}

func compareLeases(a, b leaseStatus) int {
	return cmp.Or(cmp.Compare(a.Environment, b.Environment), cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Token, b.Token))
}

func statusCommand(p *printer) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the revision in force at every instance, upstreams with their roles and states, and leases",
		Action: newAction(p, 0, []string{flagInstances}, func(ctx context.Context, _ *cli.Command, s *session) error {
			replies, err := s.queryStatuses(ctx, &messenger.StatusRequest{})
			if err != nil {
				return err
			}
			s.printer.print(newFleetStatus(replies))
			return nil
		}),
	}
}

// queryStatuses queries all listed instances. It returns a failure if none of them responds.
func (s *session) queryStatuses(ctx context.Context, request *messenger.StatusRequest) ([]watcher.StatusReply, error) {
	replies, err := s.instances.QueryStatuses(ctx, request)
	if err != nil {
		return nil, &Failure{Exit: ExitUnavailable, Code: nothingPublished, Message: err.Error(), Advice: "check --instances"}
	}
	if !slices.ContainsFunc(replies, func(r watcher.StatusReply) bool { return r.Status != nil }) {
		return nil, &Failure{
			Exit: ExitUnavailable, Code: nothingPublished, Message: fmt.Sprintf("none of %d listed instances answered", len(replies)),
			Advice: "check --instances, and whether the instances are running",
		}
	}
	return replies, nil
}
