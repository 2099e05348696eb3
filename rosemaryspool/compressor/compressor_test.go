package compressor

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestContentIsWholeOrAnError(t *testing.T) {
	const limit = 1000
	for _, c := range []struct {
		name   string
		length int
		failed bool
	}{
		{"empty", 0, false},
		{"under the limit", limit - 1, false},
		{"at the limit", limit, false},
		{"over the limit", limit + 1, true},
		{"far over the limit", 100 * limit, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			content := bytes.Repeat([]byte("c"), c.length)
			decompressed, err := Decompress(Compress(content), limit)
			if c.failed {
				require.Error(t, err)
				require.Empty(t, decompressed)
				return
			}
			require.NoError(t, err)
			require.True(t, bytes.Equal(content, decompressed))
		})
	}
	_, err := Decompress([]byte("not compressed"), limit)
	require.Error(t, err)
}
