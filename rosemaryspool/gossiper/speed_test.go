package gossiper

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/speedometer"
)

func TestSpeedsSurviveEncoding(t *testing.T) {
	var speeds []speedometer.Speed
	for i := range maxReportedSpeeds {
		speeds = append(speeds, speedometer.Speed{
			Upstream: identifier.UpstreamID(fmt.Sprint("i-0123456789", i)),
			Identity: speedometer.Identity{Incarnation: 1 << 60, Version: "2026.12.04-1"},
			Factors:  [speedometer.Works]float64{speedometer.Prefill: 0.46, speedometer.Decode: 2.25},
		})
	}
	m := encodeSpeeds("model", speeds)
	require.Equal(t, speeds, decodeSpeeds(m))
	require.EqualValues(t, "model", m.GetService())
	const datagramBytes = 1400
	require.Less(t, proto.Size(m), datagramBytes)
}
