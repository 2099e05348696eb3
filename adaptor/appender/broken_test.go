package appender

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestAppendWithAMalformedAnswerMayHaveBeenMade(t *testing.T) {
	for _, head := range emulator.MalformedHeads("200 OK", "409 Conflict", "503 Service Unavailable") {
		t.Run(head, func(t *testing.T) {
			server := emulator.NewBrokenServer("HTTP/1.1 "+head+"\r\n\r\n{\"offset\":1}", false)
			defer server.Close()
			_, err := NewClient(server.Address()).Append(t.Context(), "s", [][]byte{{1}})
			require.ErrorIs(t, err, ErrOutcomeUnknown)
			require.Equal(t, 1, server.Arrivals())
		})
	}
}
