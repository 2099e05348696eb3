package invoker

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/emulator"
)

// startRepeating starts a service that writes each response twice, the second time just before the next response on the
// connection. It returns its base URL.
func startRepeating(t *testing.T, named bool) string {
	t.Helper()
	listener := emulator.ServeTCP(func(conn *net.TCPConn, _ int) {
		earlier := ""
		emulator.AnswerRequests(conn, func(request *http.Request) bool {
			id := request.Header.Get(HeaderAttempt)
			name := ""
			if named {
				name = HeaderAttempt + ": " + id + "\r\n"
			}
			own := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", name, len(id), id)
			_, err := fmt.Fprint(conn, earlier, own)
			earlier = own
			return err == nil
		})
	})
	t.Cleanup(func() { _ = listener.Close() })
	return "http://" + listener.Addr().String()
}

func TestResponsesOfEarlierCallsAreNoAnswer(t *testing.T) {
	// A response that was written once more on a kept connection was taken for the next call's.
	for _, c := range []struct {
		name       string
		atMostOnce bool
		// second is the error of the second call.
		second error
	}{
		{"call that may be repeated, on a kept connection", false, ErrOutcomeUnknown},
		{"call that may run once, on a connection of its own", true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := NewClient(startRepeating(t, true))
			for n, want := range []error{nil, c.second} {
				attempt := fmt.Sprint("a", n)
				call := Call{Method: http.MethodGet, Path: "/x", AtMostOnce: c.atMostOnce}
				call.Attempt = identifier.AttemptID(attempt)
				response, err := client.Invoke(t.Context(), call)
				require.ErrorIs(t, err, want)
				if want == nil {
					require.Equal(t, attempt, string(response.Body))
				}
			}
		})
	}
}

func TestUnnamedResponsesOnKeptConnectionsAreNoAnswers(t *testing.T) {
	// A response that was written once more without an ID was taken for the next call's.
	client := NewClient(startRepeating(t, false))
	for n, want := range []error{nil, ErrOutcomeUnknown, nil, ErrOutcomeUnknown} {
		attempt := fmt.Sprint("a", n)
		response, err := client.Invoke(t.Context(), Call{Method: http.MethodGet, Path: "/x", Attempt: identifier.AttemptID(attempt)})
		require.ErrorIs(t, err, want, "call %d", n)
		if want == nil {
			require.Equal(t, attempt, string(response.Body))
		}
	}
}

func TestResponsesMayLeaveTheAttemptOut(t *testing.T) {
	require.NoError(t, checkAttempt(Call{Attempt: "a1"}, http.Header{}))
	require.NoError(t, checkAttempt(Call{Attempt: "a1"}, http.Header{HeaderAttempt: {"a1"}}))
	require.ErrorIs(t, checkAttempt(Call{Attempt: "a1"}, http.Header{HeaderAttempt: {"a2"}}), ErrOutcomeUnknown)
}
