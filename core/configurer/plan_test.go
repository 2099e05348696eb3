package configurer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

func TestPlanDangers(t *testing.T) {
	text := strings.Replace(validText, "services:", "  - {id: prova-2, dataCentre: b, model: prova-llm}\nservices:", 1)
	document := parseConfiguration(t, text).Document()
	cases := []struct {
		name     string
		draining []identifier.UpstreamID
		upstream identifier.UpstreamID
		danger   string
	}{
		{"another engine remains", nil, "prova-1", ""},
		{"already draining", []identifier.UpstreamID{"prova-1"}, "prova-1", ""},
		{"last engine", []identifier.UpstreamID{"prova-2"}, "prova-1", "modelUnserved:prova-llm"},
		{"another upstream remains", []identifier.UpstreamID{"prova-1"}, "atolye-1", ""},
		{"last upstream", []identifier.UpstreamID{"atolye-2"}, "atolye-1", "serviceUnserved:atolye-app"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dangers := PlanDangers(document, c.draining, c.upstream)
			if c.danger == "" {
				require.Empty(t, dangers)
				return
			}
			require.Len(t, dangers, 1)
			require.Equal(t, c.danger, dangers[0].Name)
		})
	}
	require.Equal(t, identifier.UpstreamID("prova-2"), document.NearestUpstream("porva-2"))
	require.Empty(t, document.NearestUpstream("registro-9"))
}
