package soaker

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Gateways of one run may go on sending to an upstream that has ended. No other run may have got its address by then.
func TestRunsDoNotShareAddresses(t *testing.T) {
	settings := Settings{
		Seed: 1, Rounds: 1, Gateways: 1, Callers: 1, Command: []string{"/bin/true"}, Directory: t.TempDir(), Network: 120,
		Log: io.Discard,
	}
	s, err := NewSoaker(settings)
	require.NoError(t, err)
	defer s.Close()
	_, err = NewSoaker(settings)
	require.ErrorContains(t, err, "network 120 is used by another run")
	addresses := []string{s.processes[0].storeProxy.address(), s.processes[0].address(callerPort)}
	for _, b := range s.listBackends() {
		addresses = append(addresses, b.proxy.address(), b.upstream.Address())
	}
	for _, a := range addresses {
		require.True(t, strings.HasPrefix(a, "127.120."), a)
	}
}
