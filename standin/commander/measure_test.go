package commander

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseSeeds(t *testing.T) {
	cases := []struct {
		text    string
		want    []uint64
		wantErr bool
	}{
		{"7", []uint64{7}, false},
		{"1-3,9", []uint64{1, 2, 3, 9}, false},
		{"3-1", nil, true},
		{"a", nil, true},
		{"1-b", nil, true},
	}
	for _, c := range cases {
		got, err := parseSeeds(c.text)
		require.Equal(t, c.wantErr, err != nil, c.text)
		require.Equal(t, c.want, got, c.text)
	}
}

func TestMeasureRejectsInvalidFlags(t *testing.T) {
	cases := [][]string{
		{"--deployment", "unknown"},
		{"--fault", "unknown"},
		{"--policy", "unknown"},
		{"--policy", "static:1/1/1"},
		{"--load", "high"},
		{"--set", "speed=9"},
	}
	for _, c := range cases {
		arguments := append([]string{
			"standin", "measure", "--deployment", "kalipci", "--seeds", "1", "--load", "0.3", "--minutes", "0.1",
		}, c...)
		require.Error(t, run(context.Background(), arguments, &bytes.Buffer{}), "%v", c)
	}
}
