package bounder

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReaderEndsAtItsBound(t *testing.T) {
	r := NewReader(strings.NewReader("0123456789"))
	r.Bound(4)
	content, err := io.ReadAll(r)
	require.ErrorIs(t, err, ErrTooLong)
	require.Equal(t, "0123", string(content))
	r.Unbound()
	content, err = io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, "456789", string(content))
}

func TestReadAllRejectsLongerBodies(t *testing.T) {
	for _, c := range []struct {
		length int
		err    error
	}{{0, nil}, {5, nil}, {6, ErrTooLong}, {100, ErrTooLong}} {
		content, err := ReadAll(bytes.NewReader(make([]byte, c.length)), 5)
		require.ErrorIs(t, err, c.err, c.length)
		if c.err == nil {
			require.Len(t, content, c.length)
		}
	}
}
