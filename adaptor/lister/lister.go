// Package lister is the adaptor for the platform's instance list.
package lister

import (
	"context"

	"rosemaryspool.example/core/identifier"
)

// Kind tells what a list member is.
type Kind string

// Kinds of list members.
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
	// PeerAddress is where one of the system's own instances takes net/rpc calls.
	PeerAddress string
}

// List is the platform's instance list; what it returns lags behind reality.
type List interface {
	Members(ctx context.Context) ([]Member, error)
}
