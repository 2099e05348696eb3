package gossiper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/wire/messenger"
)

func TestOriginsSurviveEncoding(t *testing.T) {
	now := time.Now()
	certain := resumer.Origin{Stream: 7, Service: service, Version: "v1", Until: now.Add(9 * time.Second)}
	uncertain := certain
	uncertain.Process = resumer.Process{Upstream: "u", Incarnation: 8, Version: "v1", Since: now.Add(-50 * time.Millisecond)}
	for _, o := range []resumer.Origin{certain, uncertain} {
		require.Equal(t, o, DecodeOrigin(now, EncodeOrigin(now, o)))
	}
	// Instances of the version before don't name the process.
	require.Equal(t, certain, DecodeOrigin(now, &messenger.StreamOrigin{
		Stream: 7, Service: string(service), Version: "v1", LeftMs: 9000,
	}))
}
