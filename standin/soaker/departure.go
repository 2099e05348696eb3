package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rosemaryspool.example/standin/emulator"
)

// departure is how an upstream leaves and what disturbs the gateways' reads of that.
type departure struct {
	// unannounced is true if the upstream's entry is removed without having said that it leaves.
	unannounced bool
	// outage is true if the store stops responding to all gateways soon after it has confirmed the change. Otherwise hung
	// is the number of gateways to which it doesn't respond around the change.
	outage bool
	hung   int
}

// Random streams of departures, foreign keys and slow callers, so that the faults and requests of a seed stay the same.
const (
	departureStream = 1 << 32
	keyStream       = 2 << 32
	slowStream      = 3 << 32
	copiesStream    = 4 << 32
)

const (
	// shortHang, longHang and longOutage bound how long the store doesn't respond around a departure.
	shortHang  = 500 * time.Millisecond
	longHang   = 3 * time.Second
	longOutage = 6 * time.Second
	// departureMargin is the largest time between a departure and the outage after it, or the end of the hang before it.
	departureMargin = 500 * time.Millisecond
)

// departures draws how upstreams leave.
type departures struct{ *rand.Rand }

func newDepartures(seed uint64) departures {
	return departures{rand.New(rand.NewPCG(seed, departureStream))}
}

func (d departures) drawDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(d.Int64N(int64(most-least)))
}

func (s *Soaker) drawDeparture() departure {
	d := departure{unannounced: s.departures.IntN(2) == 0}
	switch s.departures.IntN(3) {
	case 0:
		d.outage = true
	case 1:
		d.hung = 1 + s.departures.IntN(max(1, len(s.processes)-1))
	}
	return d
}

// depart makes an upstream leave. It returns when the store responds to all gateways again and they have had the time to
// learn of the change. A gateway whose calls hang doesn't count as disturbed: the others read the store for it.
func (s *Soaker) depart(ctx context.Context, b *backend, d departure) {
	hang := s.departures.drawDuration(shortHang, longHang)
	hung := s.departures.Perm(len(s.processes))[:d.hung]
	var delay, outage time.Duration
	switch {
	case d.hung > 0:
		delay = s.departures.drawDuration(0, hang+departureMargin)
	case d.outage:
		outage = s.departures.drawDuration(shortHang, longOutage)
	}
	margin := s.departures.drawDuration(0, departureMargin)
	s.log.Info().Str("event", "departure").Str("upstream", b.upstream.ID).Bool("unannounced", d.unannounced).
		Ints("hung", hung).Dur("hang", hang).Dur("delay", delay).Dur("outage", outage).Msg("Upstream leaves")
	var running sync.WaitGroup
	defer running.Wait()
	for _, i := range hung {
		p := s.processes[i].storeProxy
		running.Go(func() {
			p.setMode(modeDropResponses)
			sleep(ctx, hang)
			p.setMode(modeForward)
		})
	}
	sleep(ctx, delay)
	if d.unannounced {
		s.store.Put(emulator.TopicServers, b.upstream.ID, nil)
	} else {
		s.publish(b, "draining")
	}
	s.recordChange(plannedChange{draining: b.upstream.ID})
	sleep(ctx, margin)
	if outage > 0 {
		s.runFault(ctx, fault{
			"store silent",
			[]string{storeSubject},
			func() { s.store.SetFault(emulator.Silent) }, func() { s.store.SetFault(emulator.Healthy) },
		}, outage)
	}
	sleep(ctx, settleTime)
}
