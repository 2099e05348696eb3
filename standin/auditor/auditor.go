// Package auditor sends non-idempotent calls, each several times, through daemons and compares the responses with the
// runs that the stand-in services counted.
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

// Settings configures an audit.
type Settings struct {
	// Targets are the daemons' base URLs; each submission goes to one of them at random.
	Targets []string
	// Services are the base URLs of all upstreams of the stand-in service; each counts its runs by key.
	Services []string
	Service  identifier.ServiceName
	Class    identifier.ClassName
	// Callers own the keys, assigned round robin.
	Callers []identifier.CallerID
	// Keys is the number of keys; the call of each is sent Repeats times in total.
	Keys    int
	Repeats int
	// Prefix is the prefix of every key, so that the keys of different audits differ.
	Prefix string
	// Length is the time over which the submissions are spread evenly.
	Length time.Duration
	// Concurrency bounds the calls in flight.
	Concurrency int
	Seed        uint64
}

// submission is one of the repeated sends of a key's call.
type submission struct {
	key      identifier.IdempotencyKey
	caller   identifier.CallerID
	target   *requester.Client
	issuedAt time.Time
	due      time.Time
}

// Run sends all submissions, reads the run counts of the services afterwards and compares them with the outcomes. When
// ctx ends, it sends nothing more.
func Run(ctx context.Context, settings Settings) (Report, error) {
	var mutex sync.Mutex
	outcomes := map[identifier.IdempotencyKey][]outcome{}
	workers := pool.New().WithMaxGoroutines(settings.Concurrency)
	for _, s := range planSubmissions(settings, time.Now()) {
		if !pacer.WaitUntil(ctx, s.due) {
			break
		}
		workers.Go(func() {
			o := send(ctx, settings, s)
			mutex.Lock()
			defer mutex.Unlock()
			outcomes[s.key] = append(outcomes[s.key], o)
		})
	}
	workers.Wait()
	runs, err := countRuns(ctx, settings.Services)
	if err != nil {
		return Report{}, err
	}
	return evaluate(outcomes, runs), nil
}

// planSubmissions returns the submissions in random order and each with a random target, so that the repeats of one key
// arrive at different times and at several daemons.
func planSubmissions(settings Settings, start time.Time) []submission {
	random := rand.New(rand.NewPCG(settings.Seed, 0))
	targets := make([]*requester.Client, 0, len(settings.Targets))
	for _, t := range settings.Targets {
		targets = append(targets, requester.NewClient(t))
	}
	var submissions []submission
	for i := range settings.Keys {
		for range settings.Repeats {
			submissions = append(submissions, submission{
				key:      identifier.IdempotencyKey(fmt.Sprintf("%s-%d", settings.Prefix, i)),
				caller:   settings.Callers[i%len(settings.Callers)],
				target:   targets[random.IntN(len(targets))],
				issuedAt: start,
			})
		}
	}
	random.Shuffle(len(submissions), func(i, j int) { submissions[i], submissions[j] = submissions[j], submissions[i] })
	for i := range submissions {
		submissions[i].due = start.Add(settings.Length * time.Duration(i) / time.Duration(len(submissions)))
	}
	return submissions
}
