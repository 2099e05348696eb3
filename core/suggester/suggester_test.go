package suggester

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFindNearest(t *testing.T) {
	candidates := []string{"deadline", "priority", "model", "models", "urgent", "role"}
	cases := []struct{ word, nearest string }{
		{"deadlin", "deadline"},
		{"Deadline", "deadline"},
		{"daedline", "deadline"},
		{"modle", "model"},
		{"modles", "models"},
		{"prio", ""},
		{"priorty", "priority"},
		{"xyz", ""},
		{"", ""},
		{"ro", "role"},
	}
	for _, c := range cases {
		require.Equal(t, c.nearest, FindNearest(c.word, candidates), c.word)
	}
	require.Empty(t, FindNearest("word", nil))
}
