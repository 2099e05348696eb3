package governor

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/resumer"
)

// StreamBegan records that the first event of a resumable stream has arrived here.
func (g *Governor) StreamBegan(now time.Time, o resumer.Origin) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumer.Began(now, o)
}

// LearnStream records where a stream began at another instance.
func (g *Governor) LearnStream(now time.Time, o resumer.Origin) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumer.Learn(now, o)
}

// StreamOrigin returns where a stream began, and false if this instance doesn't know.
func (g *Governor) StreamOrigin(now time.Time, id resumer.StreamID) (resumer.Origin, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.Origin(now, id)
}

// StreamVersions returns the versions at which streams of a service began, as far as this instance knows.
func (g *Governor) StreamVersions(now time.Time, service identifier.ServiceName) resumer.Versions {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.Versions(now, service)
}

// UpstreamsKnown records that the upstreams are known as they were listed at a time.
func (g *Governor) UpstreamsKnown(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumer.Listed(at)
}

// StreamReportDue reports whether there are streams to report to the instance that stands by for a service's arbiter.
func (g *Governor) StreamReportDue(now time.Time, service identifier.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.ReportDue(now, service, resumer.StandBy)
}
