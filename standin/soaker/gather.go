package soaker

import (
	"slices"
)

// gather merges the observations of callers and upstreams into a history.
func (s *Soaker) gather() *history {
	h := &history{
		changes: s.changes, disturbances: s.disturbances, crashes: s.crashes, instances: len(s.processes),
		streamEvents: streamEvents, versions: map[string]string{},
	}
	if s.cloud != nil {
		h.calls = s.cloud.Calls()
	}
	for _, c := range s.callers {
		c.mu.Lock()
		h.attempts = append(h.attempts, c.attempts...)
		c.mu.Unlock()
	}
	for _, b := range s.listBackends() {
		h.versions[b.upstream.ID] = b.upstream.Version
		if b.service == modelService && b.upstream.Stage != "prefill" {
			h.engines = append(h.engines, life{upstream: b.upstream.ID, from: b.started, to: b.ended})
		}
		for _, r := range b.upstream.Runs() {
			h.arrivals = append(h.arrivals, arrival{Run: r, upstream: b.upstream.ID, service: b.service})
		}
		for _, r := range b.upstream.Rejections() {
			h.arrivals = append(h.arrivals, arrival{Run: r, upstream: b.upstream.ID, service: b.service, rejected: true})
		}
	}
	slices.SortFunc(h.attempts, func(a, b *attempt) int { return a.sent.Compare(b.sent) })
	return h
}
