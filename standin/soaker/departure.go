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

// departureStream is the random stream of departures; the faults have streams of their own.
const departureStream = 1 << 32

const (
	// shortHang and longHang bound how long the store doesn't respond around a departure.
	shortHang = 500 * time.Millisecond
	longHang  = 3 * time.Second
	// maxHangDelay is the largest time between a departure and the start of the fault around it.
	maxHangDelay = 500 * time.Millisecond
)

// newDepartures returns the source of random departures of a run.
func newDepartures(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, departureStream)) }

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
	delay := time.Duration(s.departures.Int64N(int64(maxHangDelay)))
	length := shortHang + time.Duration(s.departures.Int64N(int64(longHang-shortHang)))
	hung := s.departures.Perm(len(s.processes))[:d.hung]
	s.log.Info().Str("event", "departure").Str("upstream", b.upstream.ID).Bool("unannounced", d.unannounced).
		Bool("outage", d.outage).Ints("hung", hung).Dur("delay", delay).Dur("lasts", length).Msg("Upstream leaves")
	var running sync.WaitGroup
	defer running.Wait()
	for _, i := range hung {
		p := s.processes[i].storeProxy
		running.Go(func() {
			p.setMode(modeDropResponses)
			sleep(ctx, delay+length)
			p.setMode(modeForward)
		})
	}
	if d.hung > 0 {
		sleep(ctx, delay)
	}
	if d.unannounced {
		s.store.Put(emulator.TopicServers, b.upstream.ID, nil)
	} else {
		s.publish(b, "draining")
	}
	s.recordChange(plannedChange{draining: b.upstream.ID})
	if d.outage {
		running.Go(func() {
			sleep(ctx, delay)
			s.runFault(ctx, fault{
				"store silent",
				[]string{storeSubject},
				func() { s.store.SetFault(emulator.Silent) }, func() { s.store.SetFault(emulator.Healthy) },
			}, length)
			sleep(ctx, settleTime)
		})
	}
}
