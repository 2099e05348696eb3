package forwarder

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestExplanationWithAMalformedHeadIsAnError(t *testing.T) {
	for _, head := range emulator.MalformedHeads("200 OK") {
		t.Run(head, func(t *testing.T) {
			server := emulator.NewBrokenServer("HTTP/1.1 "+head+"\r\n\r\n{}", false)
			defer server.Close()
			_, err := FetchExplanation(t.Context(), server.Address(), nil)
			require.Error(t, err)
			require.NotContains(t, err.Error(), "explain: status")
		})
	}
}
