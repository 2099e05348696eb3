// Package querier implements calls between the system's own instances over net/rpc.
package querier

import (
	"context"

	"rosemaryspool.example/wire/messenger"
)

// Peer is the interface that each instance provides to the others.
type Peer interface {
	// Bootstrap returns the peer's state and the offset of the next record to apply to it. Both are empty when the peer
	// has applied no record from the request's KnownOffset on.
	Bootstrap(ctx context.Context, request *messenger.BootstrapRequest) (*messenger.BootstrapReply, error)
	// Relay reads log records through the peer.
	Relay(ctx context.Context, request *messenger.RelayRequest) (*messenger.RelayReply, error)
	// Status returns the peer's status, such as the configuration revision in force.
	Status(ctx context.Context, request *messenger.StatusRequest) (*messenger.InstanceStatus, error)
}
