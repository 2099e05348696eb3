// Package querier carries calls between the system's own instances over net/rpc.
package querier

import (
	"context"

	"rosemaryspool.example/wire/messenger"
)

// Peer is another instance, or this one as others see it.
type Peer interface {
	Bootstrap(ctx context.Context, request *messenger.BootstrapRequest) (*messenger.BootstrapReply, error)
	Relay(ctx context.Context, request *messenger.RelayRequest) (*messenger.RelayReply, error)
	Status(ctx context.Context, request *messenger.StatusRequest) (*messenger.InstanceStatus, error)
}
