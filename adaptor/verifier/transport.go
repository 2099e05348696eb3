package verifier

import (
	"context"
	"net"
	"net/http"
)

// Transport is an http.Transport whose connections are Conns.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of t, which must have a DialContext and isn't used otherwise any more.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{Transport: t}
}
