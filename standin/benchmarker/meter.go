package benchmarker

import (
	"runtime"
	"syscall"
)

// cost is the processor time and the allocation of one operation.
type cost struct {
	// nanoseconds is the processor time of the process, including garbage collection.
	nanoseconds float64
	// bytes is the allocated heap memory.
	bytes float64
}

// cpuTime returns the user and system time of this process in nanoseconds, or zero if it cannot be read.
func cpuTime() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCost returns the mean cost of count operations.
func measureCost(count int, operation func(int)) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	started := cpuTime()
	for i := range count {
		operation(i)
	}
	elapsed := cpuTime() - started
	runtime.ReadMemStats(&after)
	return cost{
		nanoseconds: elapsed / float64(count),
		bytes:       float64(after.TotalAlloc-before.TotalAlloc) / float64(count),
	}
}

// measureHeap returns the bytes of live heap that the result of build retains.
func measureHeap(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return after - before
}

// liveHeap returns the heap bytes after garbage collection. It collects twice, as objects in a sync.Pool survive the
// first collection.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
