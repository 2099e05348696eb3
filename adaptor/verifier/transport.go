package verifier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport whose connections are Conns. It returns ErrMalformed for responses whose heads aren't HTTP.
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

// RoundTrip implements http.RoundTripper. A connection with a malformed head carries no further request.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})
	response, err := t.Transport.RoundTrip(request.WithContext(traced))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		// Errors of Close are ignored, since the connection is not used again.
		_ = conn.Close()
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
