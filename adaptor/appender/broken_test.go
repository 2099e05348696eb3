package appender

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestAppendWithAMalformedAnswerMayHaveBeenMade(t *testing.T) {
	heads := emulator.MalformedStatuses
	for _, line := range emulator.MalformedNames {
		heads = append(heads, "200 OK\r\n"+line, "409 Conflict\r\n"+line, "503 Service Unavailable\r\n"+line)
	}
	for _, head := range heads {
		t.Run(head, func(t *testing.T) {
			server := emulator.NewBrokenServer("HTTP/1.1 "+head+"\r\n\r\n{\"offset\":1}", false)
			defer server.Close()
			_, err := NewClient(server.Address()).Append(t.Context(), "s", [][]byte{{1}})
			require.ErrorIs(t, err, ErrOutcomeUnknown)
			require.Equal(t, 1, server.Arrivals())
		})
	}
}
