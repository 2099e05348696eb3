package lister

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Client is an HTTP client of the instance list. It implements List.
type Client struct {
	requester *requester.Client
}

// NewClient returns a client of the instance list at a base URL.
func NewClient(baseURL string) *Client {
	return &Client{requester: requester.NewClient(baseURL)}
}

// Members implements List.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	var reply messenger.InstanceListing
	if err := c.requester.Call(ctx, http.MethodGet, "/v1/instances", nil, &reply); err != nil {
		return nil, eris.Wrap(err, "lister: read members")
	}
	members := make([]Member, 0, len(reply.Members))
	for _, m := range reply.Members {
		members = append(members, decodeMember(m))
	}
	return members, nil
}

func decodeMember(listed *messenger.ListedUpstream) Member {
	return Member{
		ID:          listed.Id,
		Kind:        Kind(listed.Kind),
		Address:     listed.Address,
		DataCentre:  identifier.DataCentre(listed.DataCentre),
		Leaving:     listed.Leaving,
		PeerAddress: listed.PeerAddress,
	}
}
