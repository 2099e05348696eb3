package host

import (
	"slices"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/generator"
)

// NewSettings returns a set with every engine and service upstream that a document names. Shape gives the engines'
// common figures. A document tells no data centre for services: their upstreams take those of the engines in turn.
func NewSettings(document *configurer.Document, shape generator.Settings) Settings {
	settings := Settings{Speed: shape.Speed}
	models := map[identifier.ModelName]configurer.Model{}
	for _, m := range document.Models {
		models[m.Name] = m
	}
	var centres []identifier.DataCentre
	for _, e := range document.Engines {
		settings.Engines = append(settings.Engines, newEngine(e, models[e.Model], shape))
		if !slices.Contains(centres, e.DataCentre) {
			centres = append(centres, e.DataCentre)
		}
	}
	settings.Services = newServices(document.Services, centres)
	return settings
}

func newEngine(engine configurer.Engine, model configurer.Model, shape generator.Settings) Engine {
	shape.ID = engine.ID
	shape.ChecksTokens = engine.ChecksTokens
	shape.Version = model.Version
	shape.Adapters = slices.Clone(model.Adapters)
	shape.Model.Model = engine.Model
	shape.Model.Role = engine.Role
	return Engine{Settings: shape, DataCentre: engine.DataCentre}
}

func newServices(services []configurer.Service, centres []identifier.DataCentre) []Service {
	var upstreams []Service
	for _, s := range services {
		for _, id := range s.Upstreams {
			upstream := Service{ID: id}
			if len(centres) > 0 {
				upstream.DataCentre = centres[len(upstreams)%len(centres)]
			}
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}
