// Command command simulates a range of seeded histories, two for each seed, and prints the counts of violations and of work
// done as one line of key=value pairs. It exits with status 1 when an invariant was violated and with status 2 when the
// seeds are invalid.
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
	steps := flag.Int("steps", checker.DefaultSteps, "stimuli and faults in each history")
	workers := flag.Int("workers", max(1, runtime.NumCPU()/3), "histories simulated in parallel")
	flag.Parse()
	var from, to uint64
	if _, err := fmt.Sscanf(*seeds, "%d-%d", &from, &to); err != nil || from > to {
		fmt.Fprintf(os.Stderr, "invalid seeds %q: want FROM-TO with FROM not above TO\n", *seeds)
		os.Exit(2)
	}
	total := run(from, to, *steps, *workers)
	fmt.Printf("seeds=%d-%d %s\n", from, to, total.String())
	if total.FirstViolation != nil {
		os.Exit(1)
	}
}

// run simulates the histories of a range of seeds in parallel, those of orders and those of duties, and adds up their
// results in seed order.
func run(from, to uint64, steps, workers int) checker.Result {
	results := pool.NewWithResults[checker.Result]().WithMaxGoroutines(workers)
	for seed := from; seed <= to; seed++ {
		results.Go(func() checker.Result {
			result := checker.RunHistory(seed, steps, checker.VariantNone)
			result.Add(checker.RunDutyHistory(seed, steps, checker.VariantNone))
			return result
		})
	}
	var total checker.Result
	for _, result := range results.Wait() {
		total.Add(result)
	}
	return total
}
