// Package sampler embeds the sample configuration documents of two deployments, for the demo and for tests.
package sampler

import (
	_ "embed"
	"slices"
)

var (
	//go:embed kalipci.yaml
	kalipci []byte
	//go:embed luminaria.yaml
	luminaria []byte
)

// Kalipci returns a copy of the sample document with 7 engines and 3 service upstreams in 3 data centres.
func Kalipci() []byte {
	return slices.Clone(kalipci)
}

// Luminaria returns a copy of the sample document with 8 engines and 4 service upstreams in 4 data centres.
func Luminaria() []byte {
	return slices.Clone(luminaria)
}
