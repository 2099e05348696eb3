package simulator

import (
	"math"
	"slices"
	"time"
)

// Bound is an upper bound on goodput: that of a planner that has the complete run in advance and wastes no capacity.
type Bound struct {
	// Goodput is the fraction of all requests served in time; Urgent is that of the urgent ones.
	Goodput float64
	Urgent  float64
}

// boundSlice is the time resolution of arrivals and deadlines in the bound.
const boundSlice = time.Second

// NewBound computes the bound of a run in a fluid model: requests are divisible work in slices of a second, and each
// may be served from its arrival to its deadline on any engine of the phase's split. Urgent classes are served first,
// then the classes with the cheapest responses. Up to full load, Goodput is the better of this order and cheapest-first
// alone.
func NewBound(w *Workload) Bound {
	b := newBoundSolver(w)
	arrived, urgent := b.countArrived(false), b.countArrived(true)
	urgentFirst, urgentServed := b.plan(b.urgentFirst()), b.planUrgent()
	bound := Bound{Goodput: urgentFirst / arrived, Urgent: 1}
	if w.Load <= 1 {
		bound.Goodput = max(bound.Goodput, b.plan(b.cheapestFirst())/arrived)
	}
	if urgent > 0 {
		bound.Urgent = urgentServed / urgent
	}
	return bound
}

// boundSolver holds a run in the bound's time resolution.
type boundSolver struct {
	workload *Workload
	model    fluidModel
	splits   []Split
	slices   int
	// arrivals holds the arrivals of each class in each slice.
	arrivals [][]arrivalSlice
	// deadlineSlices holds for each class the number of slices in which an arrival can be served.
	deadlineSlices []int
}

// arrivalSlice holds the number of requests of a class that arrive in one slice and their mean work.
type arrivalSlice struct {
	responses float64
	meanWork  work
}

// newBoundSolver aggregates the run's requests into slices.
func newBoundSolver(w *Workload) *boundSolver {
	p := w.Parameters
	longest := time.Duration(0)
	for _, c := range p.Classes {
		longest = max(longest, c.Deadline)
	}
	b := &boundSolver{
		workload: w, model: newFluidModel(p, p.stepLimit(shortestOutput)), splits: splits(p.Engines),
		slices: int((w.Length+longest)/boundSlice) + 1,
	}
	b.arrivals = make([][]arrivalSlice, len(p.Classes))
	for i, c := range p.Classes {
		b.arrivals[i] = make([]arrivalSlice, b.slices)
		b.deadlineSlices = append(b.deadlineSlices, int(c.Deadline/boundSlice)+1)
	}
	for _, r := range w.Requests {
		slice := &b.arrivals[r.Class][int(r.Arrival/boundSlice)]
		slice.responses++
		slice.meanWork = slice.meanWork.add(work{
			prefill: float64(r.Uncached) / p.PrefillPerSecond,
			decode:  float64(r.Output-1) * p.decodeSeconds(),
		})
	}
	for _, slices := range b.arrivals {
		for i := range slices {
			if slices[i].responses > 0 {
				slices[i].meanWork = slices[i].meanWork.scaled(1 / slices[i].responses)
			}
		}
	}
	return b
}

// countArrived counts the requests of the run, or its urgent ones alone. It returns at least one, as it is a divisor.
func (b *boundSolver) countArrived(urgentOnly bool) float64 {
	sum := 0.0
	for _, r := range b.workload.Requests {
		if !urgentOnly || b.workload.Parameters.Classes[r.Class].Urgent {
			sum++
		}
	}
	return max(sum, 1)
}

// urgentFirst returns the classes sorted by urgency, then by the work per response.
func (b *boundSolver) urgentFirst() []int {
	return b.sortedClasses(func(class int) float64 {
		if b.workload.Parameters.Classes[class].Urgent {
			return -1e9
		}
		return 0
	})
}

// cheapestFirst returns the classes sorted by the work per response.
func (b *boundSolver) cheapestFirst() []int { return b.sortedClasses(func(int) float64 { return 0 }) }

// sortedClasses returns the classes sorted by the mean work per response plus an extra cost.
func (b *boundSolver) sortedClasses(extra func(class int) float64) []int {
	perResponse := b.workload.Parameters.meanWork()
	order := make([]int, len(perResponse))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		if perResponse[x].total()+extra(x) < perResponse[y].total()+extra(y) {
			return -1
		}
		return 1
	})
	return order
}

// planUrgent returns the largest number of urgent requests that any plan serves.
func (b *boundSolver) planUrgent() float64 {
	var urgent []int
	for _, class := range b.urgentFirst() {
		if b.workload.Parameters.Classes[class].Urgent {
			urgent = append(urgent, class)
		}
	}
	return b.plan(urgent)
}

// planState is a state of the dynamic programme: the best plan so far that ends in a given split, with the number of
// requests served and the backlog of each class.
type planState struct {
	served   float64
	backlogs []backlog
}

// backlog holds the unserved fraction of each slice of one class's arrivals, oldest first. first is the number of the
// oldest slice.
type backlog struct {
	first     int
	remaining []float64
}

// clone returns a deep copy.
func (c planState) clone() planState {
	clone := planState{served: c.served, backlogs: make([]backlog, len(c.backlogs))}
	for k, w := range c.backlogs {
		clone.backlogs[k] = backlog{w.first, append(make([]float64, 0, len(w.remaining)+16), w.remaining...)}
	}
	return clone
}

// plan chooses a split for each phase by dynamic programming, with the classes served in the given order, and returns
// the number of requests served.
func (b *boundSolver) plan(order []int) float64 {
	states := make([]planState, len(b.splits))
	for i := range states {
		states[i].backlogs = make([]backlog, len(order))
	}
	for k, p := range b.workload.Phases {
		from := int(p.Start / boundSlice)
		to := int((p.Start + p.Length) / boundSlice)
		if k == len(b.workload.Phases)-1 {
			to = b.slices
		}
		states = b.planPhase(states, order, from, to, k == 0)
	}
	best := 0.0
	for _, c := range states {
		best = max(best, c.served)
	}
	return best
}

// planPhase extends every state by every split of the next phase and keeps the best state for each split. In the first
// phase the engines start in any split without a role change.
func (b *boundSolver) planPhase(states []planState, order []int, from, to int, first bool) []planState {
	next := make([]planState, len(b.splits))
	for i, target := range b.splits {
		next[i].served = -1
		for j, origin := range b.splits {
			if first && i != j || b.cannotImprove(states[j], next[i].served, from, to) {
				continue
			}
			extended := b.servePhase(states[j], order, origin, target, from, to)
			if extended.served > next[i].served {
				next[i] = extended
			}
		}
	}
	return next
}

// cannotImprove reports whether a state stays at or below a number of served requests even if it served every request
// that can be served in the phase.
func (b *boundSolver) cannotImprove(c planState, served float64, from, to int) bool {
	most := c.served
	for class, slices := range b.arrivals {
		for i := max(from-b.deadlineSlices[class], 0); i < to; i++ {
			most += slices[i].responses
		}
	}
	return most <= served
}

// servePhase serves one phase with the target split, starting from the origin split. Engines that change their role
// serve nothing for the mean time of a role change.
func (b *boundSolver) servePhase(c planState, order []int, origin, target Split, from, to int) planState {
	result := c.clone()
	changeTime := (b.workload.Parameters.RoleChangeMin + b.workload.Parameters.RoleChangeMax) / 2
	changed := origin.Changed(target) > 0
	for t := from; t < to; t++ {
		changing := min(max(changeTime.Seconds()-float64(t-from)*boundSlice.Seconds(), 0), boundSlice.Seconds()) /
			boundSlice.Seconds()
		if !changed || changing == 0 {
			b.serveSlice(&result, order, target, t, 1)
			continue
		}
		b.serveSlice(&result, order, target.unchanged(origin), t, changing)
		if changing < 1 {
			b.serveSlice(&result, order, target, t, 1-changing)
		}
	}
	return result
}

// serveSlice serves the work of one slice, or a part of it, in the order of the classes and the oldest arrivals first.
func (b *boundSolver) serveSlice(c *planState, order []int, s Split, now int, part float64) {
	seconds := boundSlice.Seconds() * part
	var used work
	for k, class := range order {
		w := &c.backlogs[k]
		for w.first+len(w.remaining) <= now {
			w.remaining = append(w.remaining, 1)
		}
		w.expire(now - b.deadlineSlices[class])
		for len(w.remaining) > 0 {
			slice := b.arrivals[class][w.first]
			demand := slice.meanWork.scaled(slice.responses * w.remaining[0])
			fits := b.fittingShare(s, used, demand, seconds)
			c.served += slice.responses * w.remaining[0] * fits
			used = used.add(demand.scaled(fits))
			if fits < 1 {
				w.remaining[0] *= 1 - fits
				break
			}
			w.expire(w.first + 1)
		}
	}
}

// expire removes the slices before the given one.
func (w *backlog) expire(first int) {
	if first <= w.first {
		return
	}
	w.remaining = w.remaining[min(first-w.first, len(w.remaining)):]
	w.first = first
}

// fitsTolerance is the precision of the fraction of work that fits a slice.
const fitsTolerance = 1e-3

// fittingShare returns the fraction of the demanded work that a split can do in the given seconds on top of the work
// already assigned to it, by bisection. It rounds up, so that the bound stays an upper bound.
func (b *boundSolver) fittingShare(s Split, used, demand work, seconds float64) float64 {
	if b.feasible(s, used.add(demand), seconds) {
		return 1
	}
	low, high := 0.0, 1.0
	for high-low > fitsTolerance {
		mid := (low + high) / 2
		if b.feasible(s, used.add(demand.scaled(mid)), seconds) {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// feasible reports whether a split can do the work in the given seconds. Prefill that exceeds the capacity of the
// prefill engines is assigned to the mixed ones, at the cost of their decode work.
func (b *boundSolver) feasible(s Split, w work, seconds float64) bool {
	overflow := w.prefill/seconds - float64(s.Prefill)
	decode := float64(s.Decode)
	if overflow > 0 && s.Mixed == 0 {
		return overflow < fitsTolerance
	}
	if s.Mixed > 0 {
		share := max(overflow, 0) / float64(s.Mixed)
		if share > 1 {
			return false
		}
		steps := float64(len(b.model.frontier) - 1)
		decode += float64(s.Mixed) * b.model.frontier[int(math.Floor(share*steps))]
	}
	return w.decode/seconds <= decode
}
