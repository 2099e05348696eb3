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

// SoleVersion returns the version at which all streams of a service began, and false if there are several or none.
func (g *Governor) SoleVersion(now time.Time, service identifier.ServiceName) (identifier.SoftwareVersion, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.SoleVersion(now, service)
}

// StreamReportDue reports whether there are streams to report to the instance that stands by for a service's arbiter.
func (g *Governor) StreamReportDue(now time.Time, service identifier.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.ReportDue(now, service, resumer.StandBy)
}
