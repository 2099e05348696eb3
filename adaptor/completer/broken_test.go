package completer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestCompletionWithAMalformedAnswerIsTruncated(t *testing.T) {
	for _, head := range emulator.MalformedHeads("200 OK", "400 Bad Request", "503 Service Unavailable") {
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
