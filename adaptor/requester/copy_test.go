package requester

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
	"rosemaryspool.example/wire/messenger"
)

// startRepeating starts a server that writes its latest answer on a connection once more before the next one.
func startRepeating(t *testing.T, answer func(request *http.Request, number int) string) string {
	t.Helper()
	numbers := make(chan int, 1)
	numbers <- 1
	listener := emulator.ServeTCP(func(conn *net.TCPConn, _ int) {
		earlier := ""
		emulator.AnswerRequests(conn, func(request *http.Request) bool {
			number := <-numbers
			numbers <- number + 1
			own := answer(request, number)
			_, err := io.WriteString(conn, earlier+own)
			earlier = own
			return err == nil
		})
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func TestCallsTakeNoEarlierAnswerForTheirOwn(t *testing.T) {
	// Replies have no ID: an append got the offset of the one before.
	client := NewClient(startRepeating(t, func(_ *http.Request, number int) string {
		body := fmt.Sprintf(`{"offset":"%d"}`, number)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}))
	for n := 1; n <= 3; n++ {
		var reply messenger.AppendReply
		require.NoError(t, client.Call(t.Context(), http.MethodPost, "/x", &messenger.AppendRequest{}, &reply))
		require.EqualValues(t, n, reply.Offset)
	}
}

func TestRefusalsOfEarlierCallsAreNotTakenForTheNext(t *testing.T) {
	// By the contract of the log, 503 promises that nothing was appended.
	client := NewClient(startRepeating(t, func(_ *http.Request, number int) string {
		if number == 1 {
			return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	}))
	var status *StatusError
	require.ErrorAs(t, client.Call(t.Context(), http.MethodPost, "/x", nil, nil), &status)
	require.NoError(t, client.Call(t.Context(), http.MethodPost, "/x", nil, nil))
}
