package sampler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
)

func TestSamplesAreValid(t *testing.T) {
	cases := []struct {
		name               string
		text               []byte
		engines, upstreams int
		dataCentres        int
		atMostOnce         []identifier.ClassName
	}{
		{"kalipci", Kalipci(), 7, 3, 3, []identifier.ClassName{"alterationTicket", "fabricOrder"}},
		{"luminaria", Luminaria(), 8, 4, 4, []identifier.ClassName{"certificateSigning"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			document, err := configurer.Parse(c.name, c.text)
			require.NoError(t, err)
			require.Len(t, document.Engines, c.engines)
			require.Len(t, document.Services[0].Upstreams, c.upstreams)
			dataCentres := map[identifier.DataCentre]bool{}
			for _, e := range document.Engines {
				dataCentres[e.DataCentre] = true
			}
			require.Len(t, dataCentres, c.dataCentres)
			var atMostOnce []identifier.ClassName
			for _, class := range document.Classes {
				if !class.Idempotent {
					atMostOnce = append(atMostOnce, class.Name)
				}
			}
			require.Equal(t, c.atMostOnce, atMostOnce)
			_, known := document.Caller("somebody")
			require.True(t, known)
		})
	}
}
