package compressor

import (
	"bytes"
	"math/rand/v2"
	"slices"
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

func TestChangeRestoresTheContent(t *testing.T) {
	const limit = 2_000_000
	random := rand.NewChaCha8([32]byte{})
	before := make([]byte, 1_000_000)
	_, _ = random.Read(before)
	middle, long := slices.Clone(before), make([]byte, 3_000_000)
	copy(middle[500_000:], "changed")
	_, _ = random.Read(long)
	for _, c := range []struct {
		name    string
		before  []byte
		content []byte
		// maxBytes bounds the change; zero for no bound.
		maxBytes int
		failed   bool
	}{
		{"the same", before, before, 1000, false},
		{"a change in the middle", before, middle, 2000, false},
		{"more at the end", before[:900_000], before, 110_000, false},
		{"less at the end", before, before[:900_000], 1000, false},
		{"moved", before, slices.Concat([]byte("first"), before), 1000, false},
		{"nothing before", nil, before, 0, false},
		{"nothing left", before, nil, 100, false},
		{"over the limit", before, long, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			change := CompressChange(c.before, c.content)
			if c.maxBytes > 0 {
				require.Less(t, len(change), c.maxBytes)
			}
			content, err := DecompressChange(c.before, change, limit)
			if c.failed {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.True(t, bytes.Equal(c.content, content))
		})
	}
	change := CompressChange(before, middle)
	_, err := DecompressChange(middle[1000:], change, limit)
	require.Error(t, err, "the change of another content")
	_, err = DecompressChange(before, change[:len(change)-1], limit)
	require.Error(t, err, "a part of a change")
}
