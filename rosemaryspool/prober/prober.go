// Package prober finds out whether this instance still reaches the upstreams of a service, by opening connections to some
// of them.
package prober

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/rosemaryspool/connector"
	"rosemaryspool.example/rosemaryspool/governor"
)

const (
	// interval is the time between two looks for paths that are to be probed.
	interval = 100 * time.Millisecond
	// timeout bounds the opening of a connection.
	timeout = 400 * time.Millisecond
	// firstProbes is the number of upstreams that are tried at first, maxProbes the number that must all fail.
	firstProbes = 2
	maxProbes   = 8
)

// Prober probes the paths that are suspected or lost.
type Prober struct {
	governor  *governor.Governor
	connector *connector.Connector
	log       zerolog.Logger
	done      chan struct{}
}

// NewProber returns a prober that opens connections with c.
func NewProber(g *governor.Governor, c *connector.Connector, log zerolog.Logger) *Prober {
	return &Prober{governor: g, connector: c, log: log, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (p *Prober) Done() <-chan struct{} { return p.done }

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var probes conc.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.governor.Unreached():
		}
		for service, entries := range p.governor.BeginProbes(time.Now()) {
			probes.Go(func() { p.governor.ProbeEnded(time.Now(), service, p.Reaches(ctx, entries)) })
		}
	}
}

// Reaches reports whether any of some upstreams accepts a connection. It changes their order.
func (p *Prober) Reaches(ctx context.Context, entries []tracker.Entry) bool {
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	first := min(len(entries), firstProbes)
	return p.reachesAny(ctx, entries[:first]) || p.reachesAny(ctx, entries[first:min(len(entries), maxProbes)])
}

func (p *Prober) reachesAny(ctx context.Context, entries []tracker.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan error, len(entries))
	for _, e := range entries {
		// One connection more than this instance's share, as the others may hang.
		limit := p.governor.ConnectionLimit(e.Service) + 1
		go func() { results <- p.connector.Probe(ctx, e.Address, limit) }()
	}
	for _, e := range entries {
		err := <-results
		if err == nil || errors.Is(err, connector.ErrNoConnection) {
			// Without a free connection the probe says nothing against the path.
			return true
		}
		p.log.Debug().Err(err).Str("event", "upstreamUnreached").Str("service", string(e.Service)).
			Msg("Probe could not open a connection")
	}
	return false
}
