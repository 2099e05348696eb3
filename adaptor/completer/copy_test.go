package completer

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/emulator"
)

func TestUnnamedRefusalOnAKeptConnectionIsNoAnswer(t *testing.T) {
	// The refusal of an earlier attempt, written late and without its ID, was taken for an attempt that ran.
	listener := emulator.ServeTCP(func(conn *net.TCPConn, _ int) {
		late := ""
		emulator.AnswerRequests(conn, func(request *http.Request) bool {
			id := request.Header.Get(HeaderAttempt)
			body := events(fmt.Sprintf(`{"id":%q,"choices":[{"finish_reason":"stop"}]}`, id), EndMark)
			_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
				late, HeaderAttempt, id, len(body), body)
			late = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
			return true
		})
	})
	defer listener.Close()
	client := NewClient(listener.Addr().String())
	// The third attempt has a connection of its own.
	for n, want := range []error{nil, ErrMismatched, nil} {
		request := Request{Attempt: identifier.AttemptID(fmt.Sprint("a", n)), Model: "m", MaxOutput: 1}
		_, err := client.Complete(t.Context(), request, func(Chunk) {})
		require.ErrorIs(t, err, want, "attempt %d", n)
	}
}
