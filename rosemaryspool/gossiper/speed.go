package gossiper

import (
	"math"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/speedometer"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/wire/messenger"
)

const (
	// speedInterval is the time between two reports of speeds to the instance that stands by for a service's arbiter.
	speedInterval = time.Second
	// maxReportedSpeeds bounds the upstreams in one report, which must fit into a datagram; the next one continues.
	maxReportedSpeeds = 24
	// speedUnits is the number of units in which a report counts the usual time.
	speedUnits = 100
)

// sendSpeeds hands what this instance has learned of the speeds of a service's upstreams on to the instance that stands
// by, if this one is the arbiter.
func (g *Gossiper) sendSpeeds(now time.Time, service identifier.ServiceName) {
	chosen := g.governor.Arbiters(now, service, 1+standbyReports)
	if len(chosen) < 1+standbyReports || chosen[0].Instance != g.governor.Self().Instance ||
		!g.due(now, g.speedsSentAt, service, speedInterval) {
		return
	}
	g.markSent(now, g.speedsSentAt, service)
	speeds := g.governor.HandOverSpeeds(service, maxReportedSpeeds)
	if len(speeds) == 0 {
		return
	}
	g.courier.Send(chosen[1], &messenger.Datagram{Body: &messenger.Datagram_SpeedReport{
		SpeedReport: encodeSpeeds(service, speeds),
	}})
}

// HandleSpeedReport applies what the arbiter of a service has learned of the upstreams' speeds.
func (g *Gossiper) HandleSpeedReport(_ courier.Received, m *messenger.SpeedReport) {
	g.governor.LearnSpeeds(identifier.ServiceName(m.GetService()), decodeSpeeds(m))
}

func encodeSpeeds(service identifier.ServiceName, speeds []speedometer.Speed) *messenger.SpeedReport {
	m := &messenger.SpeedReport{Service: string(service)}
	for _, s := range speeds {
		units := func(w speedometer.Work) uint32 { return uint32(math.Round(speedUnits * s.Factors[w])) }
		m.Upstreams = append(m.Upstreams, &messenger.UpstreamSpeed{
			Upstream: string(s.Upstream), Incarnation: s.Identity.Incarnation, Version: string(s.Identity.Version),
			Prefill: units(speedometer.Prefill), MixedPrefill: units(speedometer.MixedPrefill),
			Decode: units(speedometer.Decode), Hold: units(speedometer.Hold),
		})
	}
	return m
}

func decodeSpeeds(m *messenger.SpeedReport) []speedometer.Speed {
	speeds := make([]speedometer.Speed, 0, len(m.GetUpstreams()))
	for _, u := range m.GetUpstreams() {
		factor := func(units uint32) float64 { return float64(units) / speedUnits }
		speeds = append(speeds, speedometer.Speed{
			Upstream: identifier.UpstreamID(u.GetUpstream()),
			Identity: speedometer.Identity{
				Incarnation: u.GetIncarnation(), Version: identifier.SoftwareVersion(u.GetVersion()),
			},
			Factors: [speedometer.Works]float64{
				speedometer.Prefill: factor(u.GetPrefill()), speedometer.MixedPrefill: factor(u.GetMixedPrefill()),
				speedometer.Decode: factor(u.GetDecode()), speedometer.Hold: factor(u.GetHold()),
			},
		})
	}
	return speeds
}
