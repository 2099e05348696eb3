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

// fleetStatus is what all listed instances say.
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
	// Error tells why the instance did not answer.
	Error string `json:"error,omitempty"`
}

// upstreamStatus is one account of an upstream with the number of instances that give it. InFlight is the highest number
// that one of them was told by the upstream.
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

// newFleetStatus joins the views; instances that agree on an upstream are counted together.
func newFleetStatus(views []watcher.StatusReply) fleetStatus {
	status := fleetStatus{Instances: []instanceStatus{}, Upstreams: []upstreamStatus{}, Leases: []leaseStatus{}}
	accounts := map[upstreamStatus]upstreamStatus{}
	leases := map[leaseStatus]bool{}
	for _, v := range views {
		status.Instances = append(status.Instances, newInstanceStatus(v))
		for _, u := range v.Status.GetUpstreams() {
			addUpstream(accounts, v.Status.GetEnvironment(), u)
		}
		for _, l := range v.Status.GetLeases() {
			leases[leaseStatus{v.Status.GetEnvironment(), l.GetScope(), l.GetHolder(), l.GetToken()}] = true
		}
	}
	status.Upstreams = append(status.Upstreams, slices.SortedFunc(maps.Values(accounts), compareUpstreams)...)
	status.Leases = append(status.Leases, slices.SortedFunc(maps.Keys(leases), compareLeases)...)
	return status
}

func newInstanceStatus(view watcher.StatusReply) instanceStatus {
	line := instanceStatus{ID: view.Member.ID, DataCentre: string(view.Member.DataCentre), Leaving: view.Member.Leaving}
	if view.Err != nil {
		line.Error = view.Err.Error()
		return line
	}
	s := view.Status
	line.Environment, line.Revision, line.Digest, line.NextOffset = s.GetEnvironment(), s.GetRevision(), s.GetDigest(), s.GetNextOffset()
	line.LogReachable, line.Refusing = s.GetLogReachable(), s.GetRefusing()
	line.Leaving = line.Leaving || s.GetLeaving()
	return line
}

func addUpstream(accounts map[upstreamStatus]upstreamStatus, environment string, upstream *messenger.UpstreamStatus) {
	key := upstreamStatus{
		Environment: environment, Upstream: upstream.GetUpstream(), Kind: upstream.GetKind(), Role: upstream.GetRole(), Model: upstream.GetModel(),
		Version: upstream.GetVersion(), State: upstream.GetState(),
	}
	account, ok := accounts[key]
	if !ok {
		account = key
	}
	account.Instances++
	account.InFlight = max(account.InFlight, upstream.GetInFlight())
	accounts[key] = account
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
		Name: "status", Usage: "show what every instance has in force, engines and roles, leases, and leaving upstreams",
		Action: newAction(p, 0, []string{flagInstances}, func(ctx context.Context, _ *cli.Command, s *session) error {
			views, err := s.queryStatuses(ctx, &messenger.StatusRequest{})
			if err != nil {
				return err
			}
			s.printer.print(newFleetStatus(views))
			return nil
		}),
	}
}

// views asks all instances; it is a failure when none answers.
func (s *session) queryStatuses(ctx context.Context, request *messenger.StatusRequest) ([]watcher.StatusReply, error) {
	views, err := s.instances.QueryStatuses(ctx, request)
	if err != nil {
		return nil, &Failure{Exit: ExitUnavailable, Code: nothingPublished, Message: err.Error(), Advice: "check --instances"}
	}
	if !slices.ContainsFunc(views, func(v watcher.StatusReply) bool { return v.Status != nil }) {
		return nil, &Failure{
			Exit: ExitUnavailable, Code: nothingPublished, Message: fmt.Sprintf("none of %d listed instances answered", len(views)),
			Advice: "check --instances, and that the instances run",
		}
	}
	return views, nil
}
