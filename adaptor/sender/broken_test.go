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
