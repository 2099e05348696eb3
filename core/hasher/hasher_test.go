package hasher

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

func TestCountTokens(t *testing.T) {
	cases := []struct {
		text string
		want identifier.Tokens
	}{
		{"", 0},
		{"a", 1},
		{"abcd", 1},
		{"abcde", 2},
	}
	for _, c := range cases {
		require.Equal(t, c.want, CountTokens(c.text), "text %q", c.text)
	}
}

func TestHashPrefixesMatchForSharedPrefix(t *testing.T) {
	block := strings.Repeat("abcd", int(identifier.BlockTokens))
	one := HashPrefixes("m", block+block+"tail")
	two := HashPrefixes("m", block+strings.ToUpper(block))
	require.Len(t, one, 2)
	require.Equal(t, one[0], two[0])
	require.NotEqual(t, one[1], two[1])
	require.NotEqual(t, one[0], HashPrefixes("other", block)[0])
	require.Empty(t, HashPrefixes("m", block[:len(block)-1]))
}
