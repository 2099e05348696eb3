package requester

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// connectionKey is the context key of a connection's request counter.
type connectionKey struct{}

// countConnection adds a request counter to the context of each connection.
func countConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(atomic.Int64))
}

func TestOpenNeverRetries(t *testing.T) {
	cases := []struct {
		name string
		body string
		// serve handles every request after the first on a connection.
		serve  http.HandlerFunc
		status int
	}{
		{"keep-alive connection closed", "{}", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0},
		{"redirect 307", "{}", http.RedirectHandler("/again", http.StatusTemporaryRedirect).ServeHTTP, 307},
		{"redirect 308", "{}", http.RedirectHandler("/again", http.StatusPermanentRedirect).ServeHTTP, 308},
		{"redirect without a body", "", http.RedirectHandler("/again", http.StatusTemporaryRedirect).ServeHTTP, 307},
	}
	for _, c := range cases {
		var arrivals atomic.Int64
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrivals.Add(1)
			if r.Context().Value(connectionKey{}).(*atomic.Int64).Add(1) > 1 {
				c.serve(w, r)
			}
		}))
		s.Config.ConnContext = countConnection
		s.Start()
		client := NewClient(s.Listener.Addr().String())
		header := http.Header{"Idempotency-Key": {"key-1"}}
		first, err := client.Open(t.Context(), http.MethodPost, "/", []byte(c.body), header)
		require.NoError(t, err)
		require.NoError(t, first.Body.Close())
		second, err := client.Open(t.Context(), http.MethodPost, "/", []byte(c.body), header)
		if c.status == 0 {
			require.Error(t, err, c.name)
			require.NotErrorIs(t, err, ErrUnreachable, "%s: the server received the request", c.name)
		} else {
			require.NoError(t, err, c.name)
			require.Equal(t, c.status, second.StatusCode, c.name)
			require.NoError(t, second.Body.Close())
		}
		require.EqualValues(t, 2, arrivals.Load(), c.name)
		s.Close()
	}
}

func TestRequestIsNotLostWithAConnectionThatClosedBeforeItWasSent(t *testing.T) {
	// A connection that an earlier answer had closed failed the next request as if it might have run.
	var arrivals atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrivals.Add(1) }))
	defer s.Close()
	client := NewClient(s.Listener.Addr().String())
	closing := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			_ = info.Conn.Close()
		}
	}})
	for range 2 {
		response, err := client.Open(closing, http.MethodPost, "/", []byte("{}"), http.Header{})
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.EqualValues(t, 2, arrivals.Load())
}

func TestNormalizeURL(t *testing.T) {
	cases := []struct{ given, want string }{
		{"10.0.0.1:80", "http://10.0.0.1:80"},
		{"http://10.0.0.1:80/", "http://10.0.0.1:80"},
		{"https://10.0.0.1", "https://10.0.0.1"},
	}
	for _, c := range cases {
		require.Equal(t, c.want, NormalizeURL(c.given))
	}
}
