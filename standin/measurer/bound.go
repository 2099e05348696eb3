package measurer

import (
	"math"
	"slices"
	"time"
)

// Bound is what a planner reaches that knows the whole run in advance and wastes nothing.
type Bound struct {
	// Goodput is the share of all answers; Urgent is the share of the urgent ones.
	Goodput float64
	Urgent  float64
}

// boundSlice is the resolution of arrivals and deadlines in the bound.
const boundSlice = time.Second

// NewBound computes the bound of a run. Requests are a fluid in slices of a second; each may be served from its
// arrival to its deadline on any engine of the phase's split. Urgent classes come first, then the cheapest answers.
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

// bounder holds a run in the bound's resolution.
type boundSolver struct {
	workload *Workload
	limits   fluidModel
	splits   []Split
	slices   int
	// flow is the arrivals of each class in each slice.
	arrivals       [][]arrivalSlice
	deadlineSlices []int
}

// flowSlice is the answers of a class that arrive in one slice, with the work of one of them.
type arrivalSlice struct {
	responses float64
	meanWork  work
}

// newBounder sums the run's requests in slices.
func newBoundSolver(w *Workload) *boundSolver {
	f := w.Parameters
	longest := time.Duration(0)
	for _, c := range f.Classes {
		longest = max(longest, c.Deadline)
	}
	b := &boundSolver{
		workload: w, limits: newFluidModel(f, f.stepLimit(shortestOutput)), splits: splits(f.Engines),
		slices: int((w.Length+longest)/boundSlice) + 1,
	}
	b.arrivals = make([][]arrivalSlice, len(f.Classes))
	for i, c := range f.Classes {
		b.arrivals[i] = make([]arrivalSlice, b.slices)
		b.deadlineSlices = append(b.deadlineSlices, int(c.Deadline/boundSlice)+1)
	}
	for _, r := range w.Requests {
		slice := &b.arrivals[r.Class][int(r.Arrival/boundSlice)]
		slice.responses++
		slice.meanWork = slice.meanWork.add(work{
			prefill: float64(r.Uncached) / f.PrefillPerSecond,
			decode:  float64(r.Output-1) * f.decodeSeconds(),
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

// arrived counts the answers wanted.
func (b *boundSolver) countArrived(urgentOnly bool) float64 {
	sum := 0.0
	for _, r := range b.workload.Requests {
		if !urgentOnly || b.workload.Parameters.Classes[r.Class].Urgent {
			sum++
		}
	}
	return max(sum, 1)
}

// urgentFirst orders the classes: urgent ones first, then the cheapest answers.
func (b *boundSolver) urgentFirst() []int {
	return b.sortedClasses(func(class int) float64 {
		if b.workload.Parameters.Classes[class].Urgent {
			return -1e9
		}
		return 0
	})
}

// cheapestFirst orders the classes by the work of an answer alone.
func (b *boundSolver) cheapestFirst() []int { return b.sortedClasses(func(int) float64 { return 0 }) }

// ordered sorts the classes by cost, with an extra cost for some.
func (b *boundSolver) sortedClasses(extra func(class int) float64) []int {
	each := b.workload.Parameters.meanWork()
	order := make([]int, len(each))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		if each[x].total()+extra(x) < each[y].total()+extra(y) {
			return -1
		}
		return 1
	})
	return order
}

// planUrgent returns the most urgent answers that any plan serves.
func (b *boundSolver) planUrgent() float64 {
	var urgent []int
	for _, class := range b.urgentFirst() {
		if b.workload.Parameters.Classes[class].Urgent {
			urgent = append(urgent, class)
		}
	}
	return b.plan(urgent)
}

// course is the best way so far to have arrived at a split: the answers served and what still waits.
type planState struct {
	served   float64
	backlogs []backlog
}

// backlog is what is left of one class's arrivals, oldest slice first, as shares of each slice.
type backlog struct {
	first     int
	remaining []float64
}

// clone returns a copy that shares nothing.
func (c planState) clone() planState {
	copied := planState{served: c.served, backlogs: make([]backlog, len(c.backlogs))}
	for k, w := range c.backlogs {
		copied.backlogs[k] = backlog{w.first, append(make([]float64, 0, len(w.remaining)+16), w.remaining...)}
	}
	return copied
}

// plan chooses a split for each phase by dynamic programming and returns the answers served.
func (b *boundSolver) plan(order []int) float64 {
	courses := make([]planState, len(b.splits))
	for i := range courses {
		courses[i].backlogs = make([]backlog, len(order))
	}
	for k, p := range b.workload.Phases {
		from := int(p.Start / boundSlice)
		to := int((p.Start + p.Length) / boundSlice)
		if k == len(b.workload.Phases)-1 {
			to = b.slices
		}
		courses = b.planPhase(courses, order, from, to, k == 0)
	}
	best := 0.0
	for _, c := range courses {
		best = max(best, c.served)
	}
	return best
}

// planPhase extends every course by every split of the next phase and keeps the best for each split.
func (b *boundSolver) planPhase(courses []planState, order []int, from, to int, first bool) []planState {
	next := make([]planState, len(b.splits))
	for i, target := range b.splits {
		next[i].served = -1
		for j, origin := range b.splits {
			if first && i != j || b.cannotImprove(courses[j], next[i].served, from, to) {
				continue
			}
			extended := b.servePhase(courses[j], order, origin, target, from, to)
			if extended.served > next[i].served {
				next[i] = extended
			}
		}
	}
	return next
}

// hopeless reports whether a course can't beat a number of answers even if it served everything that may come.
func (b *boundSolver) cannotImprove(c planState, served float64, from, to int) bool {
	most := c.served
	for class, slices := range b.arrivals {
		for i := max(from-b.deadlineSlices[class], 0); i < to; i++ {
			most += slices[i].responses
		}
	}
	return most <= served
}

// serve runs the fluid through one phase.
func (b *boundSolver) servePhase(c planState, order []int, origin, target Split, from, to int) planState {
	result := c.clone()
	absence := (b.workload.Parameters.RoleChangeMin + b.workload.Parameters.RoleChangeMax) / 2
	changed := origin.Changed(target) > 0
	for t := from; t < to; t++ {
		away := min(max(absence.Seconds()-float64(t-from)*boundSlice.Seconds(), 0), boundSlice.Seconds()) / boundSlice.Seconds()
		if !changed || away == 0 {
			b.serveSlice(&result, order, target, t, 1)
			continue
		}
		b.serveSlice(&result, order, target.unchanged(origin), t, away)
		if away < 1 {
			b.serveSlice(&result, order, target, t, 1-away)
		}
	}
	return result
}

// serveSlice serves one slice's worth of work in the order of the classes, oldest arrivals first.
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
			wanted := slice.meanWork.scaled(slice.responses * w.remaining[0])
			fits := b.fittingShare(s, used, wanted, seconds)
			c.served += slice.responses * w.remaining[0] * fits
			used = used.add(wanted.scaled(fits))
			if fits < 1 {
				w.remaining[0] *= 1 - fits
				break
			}
			w.expire(w.first + 1)
		}
	}
}

// expire drops the slices before the given one.
func (w *backlog) expire(first int) {
	if first <= w.first {
		return
	}
	w.remaining = w.remaining[min(first-w.first, len(w.remaining)):]
	w.first = first
}

// fitsTolerance is the precision of what fits beside other work.
const fitsTolerance = 1e-3

// fits returns the share of the wanted work that a split serves beside what is used of its time.
func (b *boundSolver) fittingShare(s Split, used, wanted work, seconds float64) float64 {
	if b.feasible(s, used.add(wanted), seconds) {
		return 1
	}
	low, high := 0.0, 1.0
	for high-low > fitsTolerance {
		middle := (low + high) / 2
		if b.feasible(s, used.add(wanted.scaled(middle)), seconds) {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// feasible reports whether a split does the work in a number of seconds.
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
		steps := float64(len(b.limits.frontier) - 1)
		decode += float64(s.Mixed) * b.limits.frontier[int(math.Floor(share*steps))]
	}
	return w.decode/seconds <= decode
}
