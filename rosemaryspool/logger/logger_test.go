package logger

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLogWritesKeyValuePairs(t *testing.T) {
	var output bytes.Buffer
	log, err := NewLog(&output, "info", func(int) {})
	require.NoError(t, err)
	log.Info().Str("event", "routed").Str("reason", `two "words" = x`).Int("count", 3).Str("caller", "hangar").
		Str("empty", "").Bool("hedge", true).Msg("Routed a request")
	log.Debug().Msg("not shown")
	require.NoError(t, log.Close())
	require.Regexp(t, `^time=\S+ level=info message="Routed a request" event=routed caller=hangar count=3 empty="" hedge=true reason="two \\"words\\" = x"\n$`,
		output.String())
}

func TestNewLogRejectsUnknownLevel(t *testing.T) {
	_, err := NewLog(&bytes.Buffer{}, "loud", func(int) {})
	require.Error(t, err)
}

// The ring buffer may appear empty to its close while a line is being added, and the line is then lost. The test
// repeats the close to hit this race.
func TestCloseWritesEveryLine(t *testing.T) {
	for range 500 {
		var output bytes.Buffer
		log, err := NewLog(&output, "info", nil)
		require.NoError(t, err)
		log.Info().Msg("last")
		require.NoError(t, log.Close())
		require.Contains(t, output.String(), "last")
	}
}
