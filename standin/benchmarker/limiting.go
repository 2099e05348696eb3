package benchmarker

import (
	"fmt"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// callerSizes are the numbers of callers at which costs are measured.
var callerSizes = []int{100, 1000, 10_000, 22_000, targetCallers}

func callerID(i int) identifier.CallerID { return identifier.CallerID(fmt.Sprintf("caller-%05d", i)) }

// measureCallerLimits measures the memory of the callers' rate limits and the cost of setting all of them again.
func (b *Benchmarker) measureCallerLimits() {
	memory := &series{name: "callerLimitMemory", unit: "B", per: "caller", today: todayCallers, target: targetCallers}
	resetCPU := &series{name: "setAllLimitsCPU", unit: "ns", per: "caller", today: todayCallers, target: targetCallers}
	for _, n := range callerSizes {
		ids := make([]identifier.CallerID, n)
		for i := range ids {
			ids[i] = callerID(i)
		}
		f := newFleet(1, true)
		setAll := func(int) {
			for _, id := range ids {
				f.core.Handle(scheduler.CallerLimitSet{Caller: id, RequestsPerSecond: 5, Burst: 10})
			}
		}
		memory.add(float64(n), measureHeap(func() any {
			setAll(0)
			return f
		}))
		resetCPU.add(float64(n), measureCost(max(5, 200_000/n), setAll).nanoseconds)
	}
	b.writeSeries(memory, resetCPU)
}
