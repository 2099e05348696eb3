package host

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/adaptor/director"
	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/adaptor/permitter"
	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/wire/messenger"
)

// refusingURL returns the URL of a port that is bound but not listened on, so that every connect is refused.
func refusingURL(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	return fmt.Sprintf("http://127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	url := refusingURL(t)
	call := func(atMostOnce bool) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := invoker.NewClient(url).Invoke(ctx, invoker.Call{
				Method: "POST", Path: "/", Body: []byte("{}"), AtMostOnce: atMostOnce,
			})
			return err
		}
	}
	cases := []struct {
		name string
		call func(ctx context.Context) error
		want error
	}{
		{"append", func(ctx context.Context) error {
			_, err := appender.NewClient(url).Append(ctx, "s", [][]byte{{1}})
			return err
		}, appender.ErrUnavailable},
		{"read", func(ctx context.Context) error {
			_, err := appender.NewClient(url).Read(ctx, "s", 1, 1, time.Hour)
			return err
		}, appender.ErrUnavailable},
		{"completion", func(ctx context.Context) error {
			_, err := completer.NewClient(url).Complete(ctx, completer.Request{Attempt: "a"}, func(completer.Chunk) {})
			return err
		}, completer.ErrUnreachable},
		{"order", func(ctx context.Context) error {
			_, err := director.NewClient(url).Order(ctx, &messenger.OrderRequest{}, time.Now().Add(time.Hour))
			return err
		}, director.ErrNotSent},
		{"call", call(false), invoker.ErrNotSent},
		{"call at most once", call(true), invoker.ErrNotSent},
		{"instance list", func(ctx context.Context) error {
			_, err := lister.NewClient(url).Members(ctx)
			return err
		}, requester.ErrUnreachable},
		{"weight permit", func(ctx context.Context) error {
			_, err := permitter.NewClient(url).Permit(ctx, "m", "1")
			return err
		}, requester.ErrUnreachable},
	}
	for _, c := range cases {
		require.ErrorIs(t, c.call(t.Context()), c.want, c.name)
	}
}
