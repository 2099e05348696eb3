package verifier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestConnectionWithAMalformedHeadIsNotUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name, line string
		malformed  bool
	}{{"blank in a name", "Bad Name: x", true}, {"name", "Name: x", false}} {
		t.Run(c.name, func(t *testing.T) {
			listener := emulator.ServeTCP(func(conn *net.TCPConn, number int) {
				line := c.line
				if number > 1 {
					line = "Name: x"
				}
				emulator.AnswerRequests(conn, func(*http.Request) bool {
					_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nNumber: %d\r\n%s\r\nContent-Length: 0\r\n\r\n", number, line)
					return err == nil
				})
			})
			defer listener.Close()
			transport := NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			numbers := ""
			for n := range 3 {
				response, err := client.Get("http://" + listener.Addr().String())
				if c.malformed && n == 0 {
					require.ErrorIs(t, err, ErrMalformed)
					continue
				}
				require.NoError(t, err)
				numbers += response.Header.Get("Number")
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			}
			if c.malformed {
				require.Equal(t, "22", numbers)
			} else {
				require.Equal(t, "111", numbers)
			}
		})
	}
}
