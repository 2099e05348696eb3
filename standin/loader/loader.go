package loader

import (
	"context"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/standin/pacer"
)

// Settings configures a run.
type Settings struct {
	// Targets are the daemons' base URLs. The first target of each request is drawn at random; if it is unreachable, the
	// next one is tried, as the platform's load balancer does.
	Targets []string
	// Concurrency bounds the requests in flight. The latency of a request that waits for a free slot still counts from
	// its due time.
	Concurrency int
	// MaxRequests bounds the number of requests and Length the due time of the last one; zero means no bound.
	MaxRequests int
	Length      time.Duration
	// DrainTimeout bounds the wait for answers after the last request was sent; then the requests in flight are cancelled.
	DrainTimeout time.Duration
	// Seed seeds the choice of the first target of each request.
	Seed uint64
}

// Run sends the arrivals when they are due, waits for all answers and counts them. When ctx ends, it sends nothing more
// and cancels the requests in flight.
func Run(ctx context.Context, settings Settings, arrivals iter.Seq[Arrival]) *Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	report := newReport()
	targets := make([]*requester.Client, 0, len(settings.Targets))
	for _, t := range settings.Targets {
		targets = append(targets, requester.NewClient(t))
	}
	random := rand.New(rand.NewPCG(settings.Seed, 0))
	workers := pool.New().WithMaxGoroutines(settings.Concurrency)
	start := time.Now()
	sent := 0
	for a := range arrivals {
		if settings.MaxRequests > 0 && sent == settings.MaxRequests || settings.Length > 0 && a.At > settings.Length {
			break
		}
		due := start.Add(a.At)
		if !pacer.WaitUntil(ctx, due) {
			break
		}
		sent++
		first := random.IntN(len(targets))
		order := slices.Concat(targets[first:], targets[:first])
		workers.Go(func() { report.add(send(ctx, order, a, due)) })
	}
	drain := time.AfterFunc(settings.DrainTimeout, cancel)
	defer drain.Stop()
	workers.Wait()
	return report
}
