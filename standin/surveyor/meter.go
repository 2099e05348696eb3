package surveyor

import (
	"runtime"
	"syscall"
)

// cost is what one operation takes.
type cost struct {
	// nanoseconds is processor time of the process, garbage collection included.
	nanoseconds float64
	// bytes counts allocations.
	bytes float64
}

// cpuTime returns the processor time of this process in nanoseconds.
func cpuTime() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}

// spend measures the mean cost of count operations.
func measureCost(count int, operation func(int)) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	started := cpuTime()
	for i := range count {
		operation(i)
	}
	took := cpuTime() - started
	runtime.ReadMemStats(&after)
	return cost{
		nanoseconds: took / float64(count),
		bytes:       float64(after.TotalAlloc-before.TotalAlloc) / float64(count),
	}
}

// occupy returns the bytes of live heap that what build returns keeps.
func measureHeap(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return after - before
}

func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
