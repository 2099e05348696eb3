package connector

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/standin/emulator"
)

// startScript starts an upstream that handles each request of a connection with a function.
func startScript(t *testing.T, handle func(n int, conn net.Conn, request *http.Request)) string {
	t.Helper()
	listener := emulator.ServeTCP(func(conn *net.TCPConn, _ int) {
		reader := bufio.NewReader(conn)
		for n := 1; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			handle(n, conn, request)
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func rawRefusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", id)
}

func TestCopyOfAnEarlierRefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  string
		next   string
		method string
		body   int
		before string
		early  bool
	}{
		{"right before the answer", "a", "b", "POST", 4, "", false},
		{"id in other case", "ab", "AB", "POST", 4, "", false},
		{"inner space", "a b", "a  b", "POST", 4, "", false},
		{"behind 1xx", "a", "b", "POST", 4, "HTTP/1.1 103 Early Hints\r\nId: b\r\n\r\n", false},
		{"before a large body is read", "a", "b", "POST", 4 << 20, "", true},
		{"at 16 KiB", "a", "b", "POST", maxInlineBodyBytes, "", true},
		{"above 16 KiB", "a", "b", "POST", maxInlineBodyBytes + 1, "", true},
		{"request without an id on the same address", "a", "", "POST", 4, "", false},
		{"to HEAD", "a", "b", "HEAD", 0, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := startScript(t, func(n int, conn net.Conn, request *http.Request) {
				id := request.Header.Get("Id")
				if n == 1 && id == c.first {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, rawRefusal(id))
					return
				}
				copied := ""
				if n > 1 {
					copied = c.before + rawRefusal(c.first)
				}
				if c.early {
					_, _ = io.WriteString(conn, copied)
					copied = ""
					time.Sleep(20 * time.Millisecond)
				}
				_, _ = io.Copy(io.Discard, request.Body)
				named := ""
				if id != "" {
					named = "Id: " + id + "\r\n"
				}
				_, _ = io.WriteString(conn, copied+"HTTP/1.1 200 OK\r\n"+named+"Content-Length: 2\r\n\r\n")
				if request.Method != "HEAD" {
					_, _ = io.WriteString(conn, "ok")
				}
			})
			client := NewConnector(DialTCP, identify, func() {}, func(tracker.Entry, *Response) {})
			defer client.Close()
			send := func(method, id string, body int) (*Response, error) {
				header := http.Header{}
				if id != "" {
					header.Set("Id", id)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				t.Cleanup(cancel)
				r, err := client.Exchange(ctx, Request{
					Upstream: tracker.Entry{Address: address}, ID: identifier.RequestID(id), Method: method, URI: "/", Host: "h",
					Header: header, Body: []byte(strings.Repeat("x", body)), Limit: 9, MaxIdle: time.Minute,
				})
				if err == nil {
					_, err := io.Copy(io.Discard, r.Body)
					r.Close(err == nil)
				}
				return r, err
			}
			r, err := send("POST", c.first, 1)
			require.NoError(t, err)
			require.Equal(t, 503, r.Status)
			r, err = send(c.method, c.next, c.body)
			if c.method == "HEAD" && err != nil {
				t.Log("HEAD: ", err)
				require.False(t, NotSent(err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, 200, r.Status)
			t.Log("connection", r.Connection, "exchange", r.Exchange)
		})
	}
}

func TestNoConnectionCarriesAnIDTwiceUnderLoad(t *testing.T) {
	address := startEcho(t)
	client := NewConnector(DialTCP, identify, func() {}, func(tracker.Entry, *Response) {})
	defer client.Close()
	var mu sync.Mutex
	seen := map[string]int{}
	var group sync.WaitGroup
	for g := range 6 {
		group.Go(func() {
			for n := range 300 {
				id := fmt.Sprint("r", (n*7+g)%9)
				r, err := client.Exchange(context.Background(), Request{
					Upstream: tracker.Entry{Address: address}, ID: identifier.RequestID(id), Method: http.MethodPost, URI: "/",
					Host: "h", Header: http.Header{"Id": {id}}, Limit: 6, MaxIdle: time.Minute,
				})
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				seen[fmt.Sprint(id, "/", r.Connection)]++
				mu.Unlock()
				_, err = io.Copy(io.Discard, r.Body)
				r.Close(err == nil)
			}
		})
	}
	group.Wait()
	for key, count := range seen {
		require.Equal(t, 1, count, key)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	require.LessOrEqual(t, client.pools[address].open, 6)
	require.Len(t, client.pools[address].idle, client.pools[address].open)
}
