// Package lister reads the platform's instance list: its engines, services and the system's own instances.
package lister

import (
	"context"

	"rosemaryspool.example/core/identifier"
)

// Kind is the kind of a list member.
type Kind string

// Kinds of list members; KindInstance is one of the system's own instances.
const (
	KindEngine   Kind = "engine"
	KindService  Kind = "service"
	KindInstance Kind = "instance"
)

// Member is one entry of the instance list.
type Member struct {
	ID         string
	Kind       Kind
	Address    string
	DataCentre identifier.DataCentre
	Leaving    bool
	// PeerAddress is the address at which one of the system's own instances accepts net/rpc calls; empty for others.
	PeerAddress string
}

// List is the platform's instance list. It is eventually consistent: entries may be stale.
type List interface {
	// Members returns all members of the list.
	Members(ctx context.Context) ([]Member, error)
}
