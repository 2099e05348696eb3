package gatekeeper

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

// BenchmarkAnswers measures requests through one instance and back, with the upstream and the caller in the same process.
func BenchmarkAnswers(b *testing.B) {
	for _, c := range []struct {
		name   string
		path   string
		stage  string
		events int
	}{
		{"small", lookups + "x", "", 0},
		{"megabyte", emulator.LargePath, "", 0},
		{"stream", verdicts + "x", "decode", 90},
	} {
		b.Run(c.name, func(b *testing.B) {
			store := emulator.NewStore()
			network := emulator.NewNetwork()
			server := network.Serve(store)
			defer server.Close()
			u := network.NewUpstream("u1", c.stage, c.events)
			defer u.Close()
			putUpstream(store, u, "ready")
			store.Put(platform.TopicConfiguration, platform.KeyConfiguration, []byte(strings.Replace(routeTable, "%d", "1", 1)))
			in := testStore{Store: store, address: server.Listener.Addr().String(), network: network}
			gatekeeper, err := NewGatekeeper(testSettings(in), in.openers(), zerolog.Nop(), metrics.NewRegistry())
			require.NoError(b, err)
			go func() { _ = gatekeeper.Run(b.Context()) }()
			<-gatekeeper.governor.Configured()
			<-gatekeeper.governor.Listed()
			ti := &testInstance{dial: network.Dial}
			client := ti.client()
			b.ReportAllocs()
			for b.Loop() {
				request, err := http.NewRequest(http.MethodPost, "http://"+gatekeeper.CallerAddress()+c.path, nil)
				require.NoError(b, err)
				request.Host = "h.example"
				request.Header.Set(emulator.HeaderAttempt, "a1")
				request.Header.Set(emulator.HeaderDeadline, "1900")
				if c.events > 0 {
					for i, h := 0, promptHeaders(); i < len(h); i += 2 {
						request.Header.Set(h[i], h[i+1])
					}
				}
				response, err := client.Do(request)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(b, err)
				require.Equal(b, http.StatusOK, response.StatusCode)
				_ = response.Body.Close()
			}
		})
	}
}
