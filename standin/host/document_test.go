package host

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/generator"
	"rosemaryspool.example/standin/sampler"
)

func TestNewSettingsCoversEveryUpstreamOfDocument(t *testing.T) {
	document, err := configurer.Parse("luminaria", sampler.Luminaria())
	require.NoError(t, err)
	settings := NewSettings(document, generator.Settings{Speed: 20})
	require.Len(t, settings.Engines, len(document.Engines))
	require.EqualValues(t, 20, settings.Speed)
	for i, e := range document.Engines {
		got := settings.Engines[i]
		require.Equal(t, e.ID, got.ID)
		require.Equal(t, e.DataCentre, got.DataCentre)
		require.Equal(t, e.Model, got.Simulation.Model)
		require.Equal(t, e.ChecksTokens, got.ChecksTokens)
		require.Equal(t, document.Models[0].Version, got.Version)
	}
	services := map[identifier.UpstreamID]identifier.DataCentre{}
	for _, s := range settings.Services {
		services[s.ID] = s.DataCentre
	}
	require.Len(t, services, 4)
	require.NotEqual(t, settings.Services[0].DataCentre, settings.Services[1].DataCentre)
}
