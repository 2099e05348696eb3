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

// Settings describes a run.
type Settings struct {
	// Targets are the daemons' base URLs; requests are spread over them at random. A request that cannot connect goes to
	// the next one, as through the platform's balancer.
	Targets []string
	// Concurrency bounds the open requests. A request that has to wait for another's end still counts from its due time.
	Concurrency int
	// MaxRequests bounds the run in count, and Length in time; zero means no bound of that kind.
	MaxRequests int
	Length      time.Duration
	// Patience bounds the wait for answers after the last request was sent; then they are cancelled.
	DrainTimeout time.Duration
	// Seed decides which daemon gets which request.
	Seed uint64
}

// Run sends the arrivals when they are due, waits for all answers and counts them. When ctx ends, nothing more is sent
// and what runs is cancelled.
func Run(ctx context.Context, settings Settings, arrivals iter.Seq[Arrival]) *Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	report := newReport()
	targets := make([]*requester.Client, 0, len(settings.Targets))
	for _, t := range settings.Targets {
		targets = append(targets, requester.NewClient(t))
	}
	choice := rand.New(rand.NewPCG(settings.Seed, 0))
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
		first := choice.IntN(len(targets))
		order := slices.Concat(targets[first:], targets[:first])
		workers.Go(func() { report.add(send(ctx, order, a, due)) })
	}
	patience := time.AfterFunc(settings.DrainTimeout, cancel)
	defer patience.Stop()
	workers.Wait()
	return report
}
