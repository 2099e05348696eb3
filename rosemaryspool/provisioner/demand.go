package provisioner

import (
	"math"
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scaler"
	"rosemaryspool.example/wire/messenger"
)

// counter turns sums into demand per second.
type counter struct {
	// at is when the last sums were taken; zero if the next ones are the first.
	at   time.Time
	sums allocator.Demand
}

// next returns the demand since the last sums, and false if there were none.
func (c *counter) next(
	now time.Time, sums allocator.Demand, longAnswers int, mixedSpeed float64,
) (d scaler.Demand, period time.Duration, counted bool) {
	last := *c
	*c = counter{at: now, sums: sums}
	if last.at.IsZero() || !now.After(last.at) {
		return scaler.Demand{}, 0, false
	}
	period = now.Sub(last.at)
	seconds := period.Seconds()
	return scaler.Demand{
		Prefill:    (sums.Prefill - last.sums.Prefill).Seconds() / seconds,
		MixedSpeed: mixedSpeed,
		Places:     (sums.Hold-last.sums.Hold).Seconds()/seconds + float64(longAnswers),
		Requests:   float64(sums.Requests-last.sums.Requests) / seconds,
		Refused:    float64(sums.Refused-last.sums.Refused) / seconds,
	}, period, true
}

// report is the demand that an instance has counted.
type report struct {
	at     time.Time
	demand scaler.Demand
}

// reports holds the latest report of each instance: besides the arbiter, those count requests that decide alone or are taken
// for the arbiter by others.
type reports map[identifier.InstanceID]report

// sum returns the demand of the last reports, and false if there are none that are recent.
func (r reports) sum(now time.Time) (sum scaler.Demand, known bool) {
	most := -1.0
	for id, one := range r {
		if now.Sub(one.at) > maxReportAge {
			delete(r, id)
			continue
		}
		known = true
		sum.Prefill += one.demand.Prefill
		sum.Places += one.demand.Places
		sum.Requests += one.demand.Requests
		sum.Refused += one.demand.Refused
		if one.demand.Requests > most {
			most, sum.MixedSpeed = one.demand.Requests, one.demand.MixedSpeed
		}
	}
	return sum, known
}

// Units of the message.
const (
	permille = 1000
	percent  = 100
	decade   = 10
)

func encodeDemand(service identifier.ServiceName, period time.Duration, d scaler.Demand) *messenger.DemandReport {
	return &messenger.DemandReport{
		Service: string(service), PeriodMs: identifier.Milliseconds(period),
		PrefillMsPerS: scaled(d.Prefill, permille), MixedSpeedPermille: scaled(d.MixedSpeed, permille),
		PlacesPercent: scaled(d.Places, percent), RequestsPer_10S: scaled(d.Requests, decade),
		RefusedPer_10S: scaled(d.Refused, decade),
	}
}

func decodeDemand(m *messenger.DemandReport) scaler.Demand {
	return scaler.Demand{
		Prefill:    float64(m.GetPrefillMsPerS()) / permille,
		MixedSpeed: float64(m.GetMixedSpeedPermille()) / permille,
		Places:     float64(m.GetPlacesPercent()) / percent,
		Requests:   float64(m.GetRequestsPer_10S()) / decade,
		Refused:    float64(m.GetRefusedPer_10S()) / decade,
	}
}

func scaled(value float64, unit int) uint32 {
	return uint32(min(math.MaxUint32, max(0, math.Round(value*float64(unit)))))
}
