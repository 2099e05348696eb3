// Package responder serves other instances and operators over net/rpc.
package responder

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/adaptor/querier"
	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/coordinator"
	"rosemaryspool.example/wire/messenger"
)

// maxRelayedRecords bounds the records of one relayed read of the log.
const maxRelayedRecords = 1024

// Settings identifies the instance in its replies.
type Settings struct {
	Instance    identifier.InstanceID
	DataCentre  identifier.DataCentre
	Environment identifier.Environment
}

// LocalState is the state of the daemon that the responder reports.
type LocalState interface {
	// Leaving reports whether the instance is shutting down.
	Leaving() bool
	// Upstreams returns this instance's view of the state of the upstreams.
	Upstreams() []*messenger.UpstreamStatus
	// Explain returns the retained decisions about a request, one a line.
	Explain(request identifier.RequestID) []string
	// RefusalReason returns why non-idempotent calls are refused, or an empty string while they are accepted.
	RefusalReason() string
}

// Responder handles the requests of peers and operators to one instance.
type Responder struct {
	settings    Settings
	coordinator *coordinator.Coordinator
	log         appender.Log
	localState  LocalState
	logger      zerolog.Logger
	done        chan struct{}
}

// NewResponder returns a responder; it serves requests when Run is called.
func NewResponder(
	settings Settings, control *coordinator.Coordinator, log appender.Log, localState LocalState, logger zerolog.Logger,
) *Responder {
	return &Responder{
		settings: settings, coordinator: control, log: log, localState: localState, logger: logger, done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (r *Responder) Done() <-chan struct{} { return r.done }

// Run serves requests on a listener until stop is closed.
func (r *Responder) Run(listener net.Listener, stop <-chan struct{}) {
	defer close(r.done)
	if err := querier.Serve(listener, r, stop); err != nil {
		r.logger.Error().Str("event", "peersFailed").Err(err).Msg("Stopped serving peers")
	}
}

// Bootstrap returns a snapshot of the replayed state if it is newer than the requester's.
func (r *Responder) Bootstrap(
	ctx context.Context, request *messenger.BootstrapRequest,
) (*messenger.BootstrapReply, error) {
	reply := &messenger.BootstrapReply{Instance: string(r.settings.Instance)}
	if request.GetEnvironment() != string(r.settings.Environment) {
		return nil, eris.Errorf("responder: environment is %s", r.settings.Environment)
	}
	var failure error
	inspected := r.coordinator.Inspect(ctx, func(c *controller.Controller) {
		if uint64(c.State().Next()) <= request.GetKnownOffset() {
			return
		}
		snapshot, err := c.State().Snapshot()
		if err != nil {
			failure = err
			return
		}
		reply.NextOffset = snapshot.GetNextOffset()
		reply.State = snapshot.GetState()
		reply.Checksum = snapshot.GetChecksum()
	})
	if !inspected {
		return nil, errStopping
	}
	return reply, failure
}

// Relay reads the log on behalf of a peer.
func (r *Responder) Relay(ctx context.Context, request *messenger.RelayRequest) (*messenger.RelayReply, error) {
	from := identifier.Offset(request.GetFromOffset())
	limit := min(int(request.GetMaxRecords()), maxRelayedRecords)
	batch, err := r.log.Read(ctx, appender.Stream(request.GetStream()), from, limit, 0)
	if err != nil {
		return nil, eris.Wrap(err, "responder: relay a read")
	}
	reply := &messenger.RelayReply{
		FirstOffset: uint64(batch.FirstOffset), NextOffset: uint64(from) + uint64(len(batch.Entries)),
	}
	for _, e := range batch.Entries {
		reply.Entries = append(reply.Entries, &messenger.LogEntry{Offset: uint64(e.Offset), Record: e.Record})
	}
	return reply, nil
}

// Status returns the configuration, leases and upstreams of the instance, and the decisions about a request if one is
// named.
func (r *Responder) Status(ctx context.Context, request *messenger.StatusRequest) (*messenger.InstanceStatus, error) {
	status := &messenger.InstanceStatus{
		Instance:     string(r.settings.Instance),
		DataCentre:   string(r.settings.DataCentre),
		Environment:  string(r.settings.Environment),
		LogReachable: r.coordinator.LogReachable(),
		Leaving:      r.localState.Leaving(),
		Upstreams:    r.localState.Upstreams(),
		Refusing:     r.localState.RefusalReason(),
	}
	if request.GetRequestId() != "" {
		status.Decisions = r.localState.Explain(identifier.RequestID(request.GetRequestId()))
	}
	if !r.coordinator.Inspect(ctx, func(c *controller.Controller) { describeState(status, c) }) {
		return nil, errStopping
	}
	return status, nil
}

// errStopping is the error of requests that arrive while the instance stops.
var errStopping = eris.New("responder: instance is stopping")

// describeState fills in the part of a status that comes from the replayed state.
func describeState(status *messenger.InstanceStatus, control *controller.Controller) {
	state := control.State()
	status.Revision = uint64(state.Revision())
	status.Digest = state.Digest()
	status.NextOffset = uint64(state.Next())
	for _, l := range state.Leases() {
		if l.Released {
			continue
		}
		lease := &messenger.LeaseStatus{Scope: string(l.Scope), Holder: l.Holder, Token: uint64(l.Token)}
		status.Leases = append(status.Leases, lease)
	}
}
