package connector

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/standin/emulator"
)

// identify reads request IDs as the tests' upstreams write them.
func identify(h http.Header) identifier.RequestID { return identifier.RequestID(h.Get("Id")) }

// startEcho starts an upstream that answers each request with its ID, and names the connection by a number.
func startEcho(t *testing.T) string {
	t.Helper()
	listener := emulator.ServeTCP(func(conn *net.TCPConn, number int) {
		emulator.AnswerRequests(conn, func(request *http.Request) bool {
			named := ""
			if id := request.Header.Get("Id"); id != "" {
				named = "Id: " + id + "\r\n"
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection-Number: %d\r\nContent-Length: 0\r\n\r\n", named, number)
			return true
		})
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// exchange sends a request and returns the number of the connection that carried it.
func exchange(t *testing.T, c *Connector, address string, id identifier.RequestID, limit int) string {
	t.Helper()
	header := http.Header{}
	if id != "" {
		header.Set("Id", string(id))
	}
	r, err := c.Exchange(context.Background(), Request{
		Upstream: tracker.Entry{Address: address}, ID: id, Method: http.MethodPost, URI: "/", Host: "h", Header: header,
		Limit: limit, MaxIdle: time.Minute,
	})
	require.NoError(t, err)
	require.Equal(t, id != "", r.Identified)
	_, err = io.Copy(io.Discard, r.Body)
	r.Close(err == nil)
	return r.Header.Get("Connection-Number")
}

func TestConnectionCarriesEachRequestOnce(t *testing.T) {
	for _, c := range []struct {
		name        string
		ids         []identifier.RequestID
		limit       int
		connections []string
	}{
		{"other requests share a connection", []identifier.RequestID{"a", "b", "c"}, 9, []string{"1", "1", "1"}},
		{"the same request takes another", []identifier.RequestID{"a", "b", "a", "a"}, 9, []string{"1", "1", "2", "3"}},
		{"at the limit an idle one makes way", []identifier.RequestID{"a", "a", "b"}, 1, []string{"1", "2", "2"}},
		{"a request without an ID takes a new one", []identifier.RequestID{"a", "", "", "b"}, 9, []string{"1", "2", "3", "3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, opened := startEcho(t), 0
			client := NewConnector(DialTCP, identify, func() { opened++ }, func(tracker.Entry, *Response) {})
			defer client.Close()
			for i, id := range c.ids {
				require.Equal(t, c.connections[i], exchange(t, client, address, id, c.limit), "request %d", i)
			}
		})
	}
}

func TestConnectionIsClosedAfterMaxCarriedRequests(t *testing.T) {
	address, opened := startEcho(t), 0
	client := NewConnector(DialTCP, identify, func() { opened++ }, func(tracker.Entry, *Response) {})
	defer client.Close()
	for n := range maxCarried + 1 {
		exchange(t, client, address, identifier.RequestID(fmt.Sprint("r", n)), 9)
	}
	require.Equal(t, 2, opened)
}

func TestConnectionsAtTheLimitAreNotReplacedForTheirIdleTime(t *testing.T) {
	// An upstream counts the connection that is closed beside the new one, and resets what is beyond its limit.
	address, opened := startEcho(t), 0
	client := NewConnector(DialTCP, identify, func() { opened++ }, func(tracker.Entry, *Response) {})
	defer client.Close()
	exchange(t, client, address, "a", 1)
	_, err := client.Exchange(context.Background(), Request{
		Upstream: tracker.Entry{Address: address}, ID: "b", Method: http.MethodPost, URI: "/", Host: "h",
		Header: http.Header{}, Limit: 1, MaxIdle: 0,
	})
	require.ErrorIs(t, err, ErrNoConnection)
	require.Equal(t, 1, opened)
}
