package host

import (
	"slices"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/generator"
)

// NewSettings returns settings with every engine and service upstream of a configuration document. The template holds
// the settings that all engines share. A document specifies no data centre for services: their upstreams are assigned
// to the engines' data centres in turn.
func NewSettings(document *configurer.Document, template generator.Settings) Settings {
	settings := Settings{Speed: template.Speed}
	models := map[identifier.ModelName]configurer.Model{}
	for _, m := range document.Models {
		models[m.Name] = m
	}
	var centres []identifier.DataCentre
	for _, e := range document.Engines {
		settings.Engines = append(settings.Engines, newEngine(e, models[e.Model], template))
		if !slices.Contains(centres, e.DataCentre) {
			centres = append(centres, e.DataCentre)
		}
	}
	settings.Services = newServices(document.Services, centres)
	return settings
}

// newEngine returns the settings of one engine: the template with the engine's own values.
func newEngine(engine configurer.Engine, model configurer.Model, template generator.Settings) Engine {
	template.ID = engine.ID
	template.ChecksTokens = engine.ChecksTokens
	template.Version = model.Version
	template.Adapters = slices.Clone(model.Adapters)
	template.Simulation.Model = engine.Model
	template.Simulation.Role = engine.Role
	return Engine{Settings: template, DataCentre: engine.DataCentre}
}

// newServices returns the settings of every service upstream, with data centres in turn.
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
