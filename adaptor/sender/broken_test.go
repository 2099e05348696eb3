package sender

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestResponseToAnUploadThatIsResetIsLost(t *testing.T) {
	const tries = 100
	server := emulator.NewBrokenServer("HTTP/1.1 200 OK\r\n\r\npart", true)
	defer server.Close()
	for range tries {
		_, err := NewSender(server.Address(), nil).Send(
			t.Context(), http.MethodPost, "/", nil, make([]byte, 3<<20), time.Time{})
		require.ErrorIs(t, err, ErrResponseLost)
	}
	require.Equal(t, tries, server.Arrivals())
}

func TestResponseWithAMalformedHeadIsLost(t *testing.T) {
	for _, head := range emulator.MalformedHeads("200 OK", "503 Service Unavailable", "103 Early Hints") {
		t.Run(head, func(t *testing.T) {
			server := emulator.NewBrokenServer("HTTP/1.1 "+head+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false)
			defer server.Close()
			_, err := NewSender(server.Address(), nil).Send(t.Context(), http.MethodPost, "/", nil, nil, time.Time{})
			require.ErrorIs(t, err, ErrResponseLost)
			require.Equal(t, 1, server.Arrivals())
		})
	}
}
