package provider

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/standin/server"
)

// startService starts a service with faults and its HTTP server.
func startService(t *testing.T, faults Faults) (*Service, *server.Server) {
	t.Helper()
	service := NewService(Settings{Faults: faults})
	s, err := server.Start(server.Settings{
		Address: "127.0.0.1:0", Handler: service.Handler(), ConnContext: CountRequests,
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return service, s
}

func testCall() invoker.Call {
	return invoker.Call{
		Attempt: "attempt-a", Method: http.MethodPost, Path: "/v1/fabricOrders", ContentType: "application/json",
		Body: []byte(`{"metres":3}`), Key: "key-1", AtMostOnce: true,
	}
}

// faultCases are the service failures after which an HTTP client may send a call again.
var faultCases = []struct {
	name   string
	faults Faults
	// status is the response status that the client must return; zero means an unknown outcome.
	status int
}{
	{"no fault", Faults{}, 200},
	{"error status", Faults{Status: 503}, 503},
	{"connection closed before the response", Faults{CloseBeforeReply: 1}, 0},
	{"kept-alive connection closed", Faults{CloseKeptAlive: true}, 200},
	{"redirect 307", Faults{RedirectStatus: 307}, 307},
	{"redirect 308", Faults{RedirectStatus: 308}, 308},
	{"no response", Faults{NoAnswer: 1}, 0},
}

func TestServiceContract(t *testing.T) {
	for _, c := range faultCases {
		for _, overTCP := range []bool{false, true} {
			service, s := startService(t, Faults{})
			var client invoker.Service = service
			if overTCP {
				client = invoker.NewClient(s.URL())
			}
			warmUp := invoker.Call{Attempt: "warm", Method: http.MethodPost, Path: "/warm", AtMostOnce: false}
			_, err := client.Invoke(t.Context(), warmUp)
			require.NoError(t, err, "opens a connection that may be reused")
			service.Switches.Set(c.faults)

			ctx, cancel := context.WithCancel(t.Context())
			if c.faults.NoAnswer > 0 {
				go cancelAfterRun(service, cancel)
			}
			response, err := client.Invoke(ctx, testCall())
			cancel()
			if c.status == 0 {
				require.ErrorIs(t, err, invoker.ErrOutcomeUnknown, c.name)
			} else {
				require.NoError(t, err, c.name)
				require.Equal(t, c.status, response.Status, c.name)
			}
			counts := service.Counts()
			require.Equal(t, 2, counts.Arrivals, "%s: the warm-up call and one request", c.name)
			require.Equal(t, 1, counts.ByKey["key-1"], c.name)
			require.Equal(t, 1, counts.ByAttempt["attempt-a"], c.name)
		}
	}
}

// cancelAfterRun cancels a call once the service has run it.
func cancelAfterRun(service *Service, cancel context.CancelFunc) {
	for service.Counts().ByKey["key-1"] == 0 {
		runtime.Gosched()
	}
	cancel()
}

// TestStandardClientSendsCallsAgain verifies that closed kept-alive connections and redirects are effective faults: the
// client of net/http sends the call again after each of them.
func TestStandardClientSendsCallsAgain(t *testing.T) {
	cases := []struct {
		name     string
		faults   Faults
		arrivals int
	}{
		{"kept-alive connection closed", Faults{CloseKeptAlive: true}, 3},
		{"redirect 307", Faults{RedirectStatus: 307}, 3},
		{"redirect 308", Faults{RedirectStatus: 308}, 3},
	}
	for _, c := range cases {
		service, s := startService(t, Faults{})
		client := &http.Client{Transport: &http.Transport{}}
		for i := range 2 {
			request, err := http.NewRequestWithContext(
				t.Context(), http.MethodPost, s.URL()+"/v1/fabricOrders", bytes.NewReader([]byte("{}")),
			)
			require.NoError(t, err)
			request.Header.Set(invoker.HeaderKey, "key-1")
			response, err := client.Do(request)
			require.NoError(t, err, c.name)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err, "a connection is reused only after the body was read to its end")
			require.NoError(t, response.Body.Close())
			if i == 0 {
				service.Switches.Set(c.faults)
			}
		}
		require.Equal(t, c.arrivals, service.Counts().Arrivals, c.name)
	}
}
