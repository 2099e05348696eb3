package sender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// writeWindow is the time from the start of a test until its write deadline.
const writeWindow = 3 * time.Second

// readBytes reads a number of bytes and then stops reading.
func readBytes(count int) func(net.Conn) {
	return func(conn net.Conn) { _, _ = io.ReadFull(conn, make([]byte, count)) }
}

// respondWith reads one request, writes a raw response and closes the connection.
func respondWith(raw string) func(net.Conn) {
	return func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	}
}

func TestSend(t *testing.T) {
	refused := errors.New("connection refused")
	cases := []struct {
		name    string
		dialErr error
		// remote serves the remote end of the connection.
		remote func(net.Conn)
		window time.Duration
		want   error
		status int
		// duration is how long the call takes on the fake clock.
		duration time.Duration
	}{
		{"connect fails", refused, nil, writeWindow, ErrNotSent, 0, 0},
		{"deadline exceeded before the write", nil, readBytes(0), -time.Second, ErrNotSent, 0, 0},
		{"nothing read until the deadline", nil, readBytes(0), writeWindow, ErrNotSent, 0, writeWindow},
		{"request partly read until the deadline", nil, readBytes(10), writeWindow, ErrResponseLost, 0, writeWindow},
		{"closed without a response", nil, respondWith(""), writeWindow, ErrResponseLost, 0, 0},
		{"truncated response", nil, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), writeWindow, ErrResponseLost, 0, 0},
		{"informational responses only", nil, respondWith("HTTP/1.1 103 Early Hints\r\n\r\n"), writeWindow, ErrResponseLost, 0, 0},
		{"response", nil, respondWith("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"), writeWindow, nil, 201, 0},
		{"redirect", nil, respondWith("HTTP/1.1 307 Go\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n"), writeWindow, nil, 307, 0},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			dials := 0
			dial := func(context.Context, string, string) (net.Conn, error) {
				dials++
				if c.dialErr != nil {
					return nil, c.dialErr
				}
				local, remote := net.Pipe()
				go c.remote(remote)
				return local, nil
			}
			start := time.Now()
			s := NewSender("10.0.0.1:80", dial)
			response, err := s.Send(t.Context(), http.MethodPost, "/v1/orders", nil, []byte("{}"), start.Add(c.window))
			require.ErrorIs(t, err, c.want, c.name)
			require.Equal(t, c.status, response.Status, c.name)
			require.Equal(t, c.duration, time.Since(start), c.name)
			require.Equal(t, 1, dials, "%s: one connection", c.name)
		})
	}
}

// noDeadlineConn ignores its write deadline, like a connection whose timer has not fired yet after a pause.
type noDeadlineConn struct{ net.Conn }

func (noDeadlineConn) SetWriteDeadline(time.Time) error { return nil }

func TestSendChecksClockBeforeWrite(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration
		want  error
	}{
		{"short pause", writeWindow - 1, ErrResponseLost},
		{"pause up to the deadline", writeWindow, ErrNotSent},
		{"long pause", time.Hour, ErrNotSent},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			dial := func(context.Context, string, string) (net.Conn, error) {
				local, remote := net.Pipe()
				go respondWith("")(remote)
				time.Sleep(c.pause)
				return noDeadlineConn{local}, nil
			}
			s := NewSender("10.0.0.1:80", dial)
			_, err := s.Send(t.Context(), http.MethodPost, "/v1/orders", nil, []byte("{}"), time.Now().Add(writeWindow))
			require.ErrorIs(t, err, c.want, c.name)
		})
	}
}

// TestSendReportsPartialWrites checks, for every point at which the remote end can stop reading, that ErrNotSent is not
// returned once a byte was read.
func TestSendReportsPartialWrites(t *testing.T) {
	const longerThanRequest = 200
	for count := range longerThanRequest {
		synctest.Test(t, func(t *testing.T) {
			received := make(chan int, 1)
			dial := func(context.Context, string, string) (net.Conn, error) {
				local, remote := net.Pipe()
				go func() {
					_ = remote.SetReadDeadline(time.Now().Add(writeWindow))
					n, _ := io.ReadFull(remote, make([]byte, count))
					received <- n
					_ = remote.Close()
				}()
				return local, nil
			}
			s := NewSender("10.0.0.1:80", dial)
			_, err := s.Send(t.Context(), http.MethodPost, "/", nil, []byte("{}"), time.Now().Add(writeWindow))
			if n := <-received; n > 0 {
				require.ErrorIs(t, err, ErrResponseLost, "after %d bytes", n)
				require.NotErrorIs(t, err, ErrNotSent)
			} else {
				require.ErrorIs(t, err, ErrNotSent)
			}
		})
	}
}

func TestSendStopsWithContext(t *testing.T) {
	cases := []struct {
		name   string
		remote func(net.Conn)
		want   error
	}{
		{"nothing written", readBytes(0), ErrNotSent},
		{"request read", func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, ErrResponseLost},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			dial := func(context.Context, string, string) (net.Conn, error) {
				local, remote := net.Pipe()
				go c.remote(remote)
				return local, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			s := NewSender("10.0.0.1:80", dial)
			_, err := s.Send(ctx, http.MethodPost, "/", nil, []byte("{}"), time.Time{})
			require.ErrorIs(t, err, c.want, c.name)
		})
	}
}
