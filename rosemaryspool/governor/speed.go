package governor

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/speedometer"
)

// HandOverSpeeds returns what this instance has learned of the steady speeds of a service's upstreams, at most limit of
// them, for the instance that stands by.
func (g *Governor) HandOverSpeeds(service identifier.ServiceName, limit int) []speedometer.Speed {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.HandOverSpeeds(service, limit)
}

// LearnSpeeds applies what the arbiter of a service has learned of the upstreams' speeds.
func (g *Governor) LearnSpeeds(service identifier.ServiceName, speeds []speedometer.Speed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range speeds {
		g.allocator.LearnSpeed(service, s)
	}
	g.logSpeeds(service, "arbiter")
}

// logSpeeds logs the upstreams whose class of speed has changed. The governor's mutex must be held.
func (g *Governor) logSpeeds(service identifier.ServiceName, source string) {
	for _, c := range g.allocator.TakeSpeedChanges(service) {
		g.log.Info().Str("event", "upstreamSpeedChanged").Str("service", string(service)).
			Str("upstream", string(c.Upstream)).Str("work", c.Work.String()).Str("from", c.From.String()).
			Str("to", c.To.String()).Float64("factor", c.Factor).Str("source", source).
			Msg("Upstream is steadily quicker or slower than the others, or no longer so")
	}
}

// SpeedCounts are the numbers of upstreams that are steadily quick and slow at a kind of work, over all services.
type SpeedCounts struct {
	Work        speedometer.Work
	Quick, Slow int
}

// SpeedCounts returns how many upstreams this instance knows to be quick and slow.
func (g *Governor) SpeedCounts() []SpeedCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make([]SpeedCounts, 0, speedometer.Works)
	for work := range speedometer.Works {
		c := SpeedCounts{Work: work}
		for _, service := range g.allocator.Services() {
			c.Quick += g.allocator.CountSpeeds(service, work, speedometer.Quick)
			c.Slow += g.allocator.CountSpeeds(service, work, speedometer.Slow)
		}
		counts = append(counts, c)
	}
	return counts
}
