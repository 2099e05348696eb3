package verifier

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestConnTellsALostConnectionFromAnEnd(t *testing.T) {
	const (
		tries    = 20
		text     = "text"
		timeout  = 5 * time.Second
		upload   = 3 << 20
		readPart = 64 << 10
	)
	readSome := func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, readPart) }
	readNothing := func(*net.TCPConn) {}
	reset := func(c *net.TCPConn, _ <-chan struct{}) { _ = c.SetLinger(0) }
	closeOnly := func(*net.TCPConn, <-chan struct{}) {}
	for _, c := range []struct {
		name   string
		upload int
		// before is what the other side does before it sends a text.
		before func(c *net.TCPConn)
		// after is what it does then, before it closes the connection; ended receives a value once the text has been read.
		after func(c *net.TCPConn, ended <-chan struct{})
		// early has the write begin when the connection is closed, and the read after the write.
		early bool
		lost  bool
	}{
		{"reset", upload, readSome, reset, false, true},
		{"closed with unread data", upload, readSome, closeOnly, false, true},
		{"reset before a short write", 1, readNothing, reset, true, true},
		{"reset before a long write", upload, readNothing, reset, true, true},
		{"end, and all is read", upload, readSome, func(c *net.TCPConn, _ <-chan struct{}) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, false, false},
		{"end, and nothing more is read", upload, readSome, func(c *net.TCPConn, ended <-chan struct{}) {
			_ = c.CloseWrite()
			<-ended
		}, false, false},
		{"end before a reset", upload, readSome, func(c *net.TCPConn, ended <-chan struct{}) {
			_ = c.CloseWrite()
			reset(c, ended)
		}, false, false},
		{"end before a short write", 1, readNothing, closeOnly, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			// A connection that is reset before the dial has returned fails the dial.
			dialled, closed, ended := make(chan struct{}, tries), make(chan struct{}, tries), make(chan struct{}, tries)
			listener := emulator.ServeTCP(func(conn *net.TCPConn, _ int) {
				<-dialled
				c.before(conn)
				_, _ = io.WriteString(conn, text)
				c.after(conn, ended)
				_ = conn.Close()
				closed <- struct{}{}
			})
			defer listener.Close()
			for range tries {
				raw, err := net.DialTimeout("tcp", listener.Addr().String(), timeout)
				require.NoError(t, err)
				dialled <- struct{}{}
				require.NoError(t, raw.SetDeadline(time.Now().Add(timeout)))
				conn := NewConn(raw)
				if c.early {
					<-closed
				}
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = conn.Write(make([]byte, c.upload))
				}()
				if c.early {
					<-written
				}
				began := time.Now()
				content, err := io.ReadAll(conn)
				ended <- struct{}{}
				require.Less(t, time.Since(began), timeout/2)
				<-written
				require.NoError(t, conn.Close())
				if c.lost {
					require.ErrorIs(t, err, syscall.ECONNRESET)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, text, string(content))
			}
		})
	}
}
