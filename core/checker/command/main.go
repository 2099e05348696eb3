// Command command runs a range of seeded histories and prints the counts of breaches as one line of key=value pairs. It
// exits with an error when a promise was broken.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"

	"github.com/sourcegraph/conc/pool"

	"rosemaryspool.example/core/checker"
)

func main() {
	seeds := flag.String("seeds", "1-200", "first and last seed, as FROM-TO")
	steps := flag.Int("steps", checker.DefaultSteps, "stimuli in each history")
	workers := flag.Int("workers", max(1, runtime.NumCPU()/3), "histories run at the same time")
	flag.Parse()
	var from, to uint64
	if _, err := fmt.Sscanf(*seeds, "%d-%d", &from, &to); err != nil || from > to {
		fmt.Fprintf(os.Stderr, "command: read seeds %q: want FROM-TO\n", *seeds)
		os.Exit(2)
	}
	total := run(from, to, *steps, *workers)
	fmt.Printf("seeds=%d-%d %s\n", from, to, total.String())
	if total.FirstViolation != nil {
		os.Exit(1)
	}
}

// run runs the histories of a range of seeds and adds their results in the order of the seeds.
func run(from, to uint64, steps, workers int) checker.Result {
	results := pool.NewWithResults[checker.Result]().WithMaxGoroutines(workers)
	for seed := from; seed <= to; seed++ {
		results.Go(func() checker.Result { return checker.RunHistory(seed, steps, checker.VariantNone) })
	}
	var total checker.Result
	for _, result := range results.Wait() {
		total.Add(result)
	}
	return total
}
