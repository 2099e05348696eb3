// Package auditor sends non-idempotent calls with repeats through daemons and compares what callers were told with what
// the stand-in services ran.
package auditor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/pacer"
)

// Settings describes an audit.
type Settings struct {
	// Targets are the daemons' base URLs; each sending goes to one of them at random.
	Targets []string
	// Services are the base URLs of the stand-in services that count the runs.
	Services []string
	Service  identifier.ServiceName
	Class    identifier.ClassName
	// Callers own the keys in turn.
	Callers []identifier.CallerID
	// Keys is the number of keys; each is sent Repeats times with the same call.
	Keys    int
	Repeats int
	// Prefix begins every key, so that one audit's keys differ from another's.
	Prefix string
	// Length is the time over which the sendings are spread evenly.
	Length time.Duration
	// Concurrency bounds the open calls.
	Concurrency int
	Seed        uint64
}

// sending is one of the times that a key's call is sent.
type submission struct {
	key      identifier.IdempotencyKey
	caller   identifier.CallerID
	target   *requester.Client
	issuedAt time.Time
	due      time.Time
}

// Run sends every call, counts the runs afterwards and judges them.
func Run(ctx context.Context, settings Settings) (Report, error) {
	var mutex sync.Mutex
	replies := map[identifier.IdempotencyKey][]reply{}
	workers := pool.New().WithMaxGoroutines(settings.Concurrency)
	for _, s := range planSubmissions(settings, time.Now()) {
		if !pacer.WaitUntil(ctx, s.due) {
			break
		}
		workers.Go(func() {
			r := send(ctx, settings, s)
			mutex.Lock()
			defer mutex.Unlock()
			replies[s.key] = append(replies[s.key], r)
		})
	}
	workers.Wait()
	runs, err := countRuns(ctx, settings.Services)
	if err != nil {
		return Report{}, err
	}
	return evaluate(replies, runs), nil
}

// plan returns the sendings in a drawn order, so that repeats of one key meet at several daemons.
func planSubmissions(settings Settings, start time.Time) []submission {
	random := rand.New(rand.NewPCG(settings.Seed, 0))
	targets := make([]*requester.Client, 0, len(settings.Targets))
	for _, t := range settings.Targets {
		targets = append(targets, requester.NewClient(t))
	}
	var sendings []submission
	for i := range settings.Keys {
		for range settings.Repeats {
			sendings = append(sendings, submission{
				key:      identifier.IdempotencyKey(fmt.Sprintf("%s-%d", settings.Prefix, i)),
				caller:   settings.Callers[i%len(settings.Callers)],
				target:   targets[random.IntN(len(targets))],
				issuedAt: start,
			})
		}
	}
	random.Shuffle(len(sendings), func(i, j int) { sendings[i], sendings[j] = sendings[j], sendings[i] })
	for i := range sendings {
		sendings[i].due = start.Add(settings.Length * time.Duration(i) / time.Duration(len(sendings)))
	}
	return sendings
}
