package verifier

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
	for _, c := range []struct {
		name   string
		upload int
		// before is what the other side does before it sends a text, answer what it does then. It closes the connection at the end.
		before, answer func(c *net.TCPConn)
		// early has the write begin after that, and the read after the write.
		early bool
		lost  bool
	}{
		{"reset", upload, readSome, func(c *net.TCPConn) { _ = c.SetLinger(0) }, false, true},
		{"closed with unread data", upload, readSome, func(*net.TCPConn) {}, false, true},
		{"reset before a short write", 1, func(*net.TCPConn) {}, func(c *net.TCPConn) { _ = c.SetLinger(0) }, true, true},
		{"reset before a long write", upload, func(*net.TCPConn) {}, func(c *net.TCPConn) { _ = c.SetLinger(0) }, true, true},
		{"end, and all is read", upload, readSome, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, false, false},
		{"end, and nothing more is read", upload, readSome, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}, false, false},
		{"end before a reset", upload, readSome, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
		}, false, false},
		{"end before a short write", 1, func(*net.TCPConn) {}, func(*net.TCPConn) {}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			// A connection that is reset before the dial has returned fails the dial.
			dialled := make(chan struct{}, tries)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					<-dialled
					tcp := conn.(*net.TCPConn)
					c.before(tcp)
					_, _ = io.WriteString(tcp, text)
					c.answer(tcp)
					_ = tcp.Close()
				}
			}()
			for range tries {
				raw, err := net.DialTimeout("tcp", listener.Addr().String(), timeout)
				require.NoError(t, err)
				dialled <- struct{}{}
				require.NoError(t, raw.SetDeadline(time.Now().Add(timeout)))
				conn := NewConn(raw)
				if c.early {
					time.Sleep(5 * time.Millisecond)
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
