package querier

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
	"rosemaryspool.example/wire/messenger"
)

// serveInPart forwards connections to a server, whose answers it resets after a number of bytes.
func serveInPart(t *testing.T, address string, bytes int64) string {
	t.Helper()
	listener := emulator.ServeTCP(func(conn *net.TCPConn, _ int) {
		server, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer server.Close()
		go func() { _, _ = io.Copy(server, conn) }()
		_, _ = io.CopyN(conn, server, bytes)
		_ = conn.SetLinger(0)
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func TestRepliesThatAreResetAreErrors(t *testing.T) {
	address, stop := serve(t, &fakePeer{})
	defer stop()
	for bytes := int64(0); ; bytes++ {
		client := NewClient(serveInPart(t, address, bytes))
		reply, err := client.Status(t.Context(), &messenger.StatusRequest{RequestId: "q1"})
		client.Close()
		if err != nil {
			continue
		}
		require.Equal(t, uint64(7), reply.Revision)
		require.Equal(t, []string{"q1"}, reply.Decisions)
		// The names of the fields alone take more.
		require.Greater(t, bytes, int64(50))
		return
	}
}
