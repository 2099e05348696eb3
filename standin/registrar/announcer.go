package registrar

import (
	"context"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/adaptor/requester"
)

// Announce adds or replaces a member in the stand-in instance list at a base URL.
func Announce(ctx context.Context, listURL string, member lister.Member) error {
	path := "/v1/instances/" + url.PathEscape(member.ID)
	err := requester.NewClient(listURL).Call(ctx, http.MethodPut, path, encodeMember(member), nil)
	return eris.Wrap(err, "registrar: set member in the instance list")
}
