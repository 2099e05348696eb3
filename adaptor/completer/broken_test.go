package completer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestCompletionWithAMalformedAnswerIsTruncated(t *testing.T) {
	heads := emulator.MalformedStatuses
	for _, line := range emulator.MalformedNames {
		heads = append(heads, "200 OK\r\n"+line, "400 Bad Request\r\n"+line, "503 Service Unavailable\r\n"+line)
	}
	for _, head := range heads {
		t.Run(head, func(t *testing.T) {
			answer := "HTTP/1.1 " + head + "\r\n" + HeaderAttempt + ": a1\r\n\r\n" +
				"data: {\"id\":\"a1\",\"choices\":[{\"text\":\"t\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
			server := emulator.NewBrokenServer(answer, false)
			defer server.Close()
			_, err := NewClient(server.Address()).Complete(t.Context(), Request{Attempt: "a1"}, func(Chunk) {
				require.Fail(t, "a part of a malformed answer was delivered")
			})
			require.ErrorIs(t, err, ErrTruncated)
		})
	}
}
