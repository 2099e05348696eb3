package configurer

import (
	"fmt"
	"slices"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/suggester"
)

// Upstreams returns the ids of all engines and of all upstreams of services, sorted.
func (d *Document) Upstreams() []identifier.UpstreamID {
	var ids []identifier.UpstreamID
	for _, e := range d.Engines {
		ids = append(ids, e.ID)
	}
	for _, s := range d.Services {
		ids = append(ids, s.Upstreams...)
	}
	slices.Sort(ids)
	return ids
}

// PlanDangers returns the dangers of sending no new work to an upstream, given the upstreams that already drain.
func PlanDangers(document *Document, draining []identifier.UpstreamID, upstream identifier.UpstreamID) []Danger {
	remains := func(id identifier.UpstreamID) bool { return id != upstream && !slices.Contains(draining, id) }
	if engine, ok := document.Engine(upstream); ok {
		for _, e := range document.Engines {
			if e.Model == engine.Model && remains(e.ID) {
				return nil
			}
		}
		return []Danger{{Name: "modelUnserved:" + string(engine.Model), Cost: fmt.Sprintf("no engine is left for model %s", engine.Model)}}
	}
	for _, s := range document.Services {
		if slices.Contains(s.Upstreams, upstream) && !slices.ContainsFunc(s.Upstreams, remains) {
			return []Danger{{Name: "serviceUnserved:" + string(s.Name), Cost: fmt.Sprintf("no upstream is left for service %s", s.Name)}}
		}
	}
	return nil
}

// NearestUpstream returns the upstream whose id is most similar to a misspelt one; empty if none is similar.
func (d *Document) NearestUpstream(id identifier.UpstreamID) identifier.UpstreamID {
	var names []string
	for _, u := range d.Upstreams() {
		names = append(names, string(u))
	}
	return identifier.UpstreamID(suggester.FindNearest(string(id), names))
}
