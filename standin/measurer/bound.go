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
	b := newBounder(w)
	arrived, urgent := b.arrived(false), b.arrived(true)
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
type bounder struct {
	workload *Workload
	limits   fluid
	splits   []Split
	slices   int
	// flow is the arrivals of each class in each slice.
	flow  [][]flowSlice
	patch []int
}

// flowSlice is the answers of a class that arrive in one slice, with the work of one of them.
type flowSlice struct {
	answers float64
	each    work
}

// newBounder sums the run's requests in slices.
func newBounder(w *Workload) *bounder {
	f := w.Parameters
	longest := time.Duration(0)
	for _, c := range f.Classes {
		longest = max(longest, c.Deadline)
	}
	b := &bounder{
		workload: w, limits: newFluid(f, f.stepLimit(shortestOutput)), splits: splits(f.Engines),
		slices: int((w.Length+longest)/boundSlice) + 1,
	}
	b.flow = make([][]flowSlice, len(f.Classes))
	for i, c := range f.Classes {
		b.flow[i] = make([]flowSlice, b.slices)
		b.patch = append(b.patch, int(c.Deadline/boundSlice)+1)
	}
	for _, r := range w.Requests {
		slice := &b.flow[r.Class][int(r.Arrival/boundSlice)]
		slice.answers++
		slice.each = slice.each.add(work{
			prefill: float64(r.Uncached) / f.PrefillPerSecond,
			decode:  float64(r.Output-1) * f.decodeSeconds(),
		})
	}
	for _, slices := range b.flow {
		for i := range slices {
			if slices[i].answers > 0 {
				slices[i].each = slices[i].each.scaled(1 / slices[i].answers)
			}
		}
	}
	return b
}

// arrived counts the answers wanted.
func (b *bounder) arrived(urgentOnly bool) float64 {
	sum := 0.0
	for _, r := range b.workload.Requests {
		if !urgentOnly || b.workload.Parameters.Classes[r.Class].Urgent {
			sum++
		}
	}
	return max(sum, 1)
}

// urgentFirst orders the classes: urgent ones first, then the cheapest answers.
func (b *bounder) urgentFirst() []int {
	return b.ordered(func(class int) float64 {
		if b.workload.Parameters.Classes[class].Urgent {
			return -1e9
		}
		return 0
	})
}

// cheapestFirst orders the classes by the work of an answer alone.
func (b *bounder) cheapestFirst() []int { return b.ordered(func(int) float64 { return 0 }) }

// ordered sorts the classes by cost, with an extra cost for some.
func (b *bounder) ordered(extra func(class int) float64) []int {
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
func (b *bounder) planUrgent() float64 {
	var urgent []int
	for _, class := range b.urgentFirst() {
		if b.workload.Parameters.Classes[class].Urgent {
			urgent = append(urgent, class)
		}
	}
	return b.plan(urgent)
}

// course is the best way so far to have arrived at a split: the answers served and what still waits.
type course struct {
	served  float64
	waiting []backlog
}

// backlog is what is left of one class's arrivals, oldest slice first, as shares of each slice.
type backlog struct {
	first int
	left  []float64
}

// clone returns a copy that shares nothing.
func (c course) clone() course {
	copied := course{served: c.served, waiting: make([]backlog, len(c.waiting))}
	for k, w := range c.waiting {
		copied.waiting[k] = backlog{w.first, append(make([]float64, 0, len(w.left)+16), w.left...)}
	}
	return copied
}

// plan chooses a split for each phase by dynamic programming and returns the answers served.
func (b *bounder) plan(order []int) float64 {
	courses := make([]course, len(b.splits))
	for i := range courses {
		courses[i].waiting = make([]backlog, len(order))
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
func (b *bounder) planPhase(courses []course, order []int, from, to int, first bool) []course {
	next := make([]course, len(b.splits))
	for i, target := range b.splits {
		next[i].served = -1
		for j, origin := range b.splits {
			if first && i != j || b.hopeless(courses[j], next[i].served, from, to) {
				continue
			}
			extended := b.serve(courses[j], order, origin, target, from, to)
			if extended.served > next[i].served {
				next[i] = extended
			}
		}
	}
	return next
}

// hopeless reports whether a course can't beat a number of answers even if it served everything that may come.
func (b *bounder) hopeless(c course, served float64, from, to int) bool {
	most := c.served
	for class, slices := range b.flow {
		for i := max(from-b.patch[class], 0); i < to; i++ {
			most += slices[i].answers
		}
	}
	return most <= served
}

// serve runs the fluid through one phase.
func (b *bounder) serve(c course, order []int, origin, target Split, from, to int) course {
	result := c.clone()
	absence := (b.workload.Parameters.AbsenceMin + b.workload.Parameters.AbsenceMax) / 2
	changed := origin.Changed(target) > 0
	for t := from; t < to; t++ {
		away := min(max(absence.Seconds()-float64(t-from)*boundSlice.Seconds(), 0), boundSlice.Seconds()) / boundSlice.Seconds()
		if !changed || away == 0 {
			b.serveSlice(&result, order, target, t, 1)
			continue
		}
		b.serveSlice(&result, order, target.stayed(origin), t, away)
		if away < 1 {
			b.serveSlice(&result, order, target, t, 1-away)
		}
	}
	return result
}

// serveSlice serves one slice's worth of work in the order of the classes, oldest arrivals first.
func (b *bounder) serveSlice(c *course, order []int, s Split, now int, part float64) {
	seconds := boundSlice.Seconds() * part
	var used work
	for k, class := range order {
		w := &c.waiting[k]
		for w.first+len(w.left) <= now {
			w.left = append(w.left, 1)
		}
		w.expire(now - b.patch[class])
		for len(w.left) > 0 {
			slice := b.flow[class][w.first]
			wanted := slice.each.scaled(slice.answers * w.left[0])
			fits := b.fits(s, used, wanted, seconds)
			c.served += slice.answers * w.left[0] * fits
			used = used.add(wanted.scaled(fits))
			if fits < 1 {
				w.left[0] *= 1 - fits
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
	w.left = w.left[min(first-w.first, len(w.left)):]
	w.first = first
}

// fitsTolerance is the precision of what fits beside other work.
const fitsTolerance = 1e-3

// fits returns the share of the wanted work that a split serves beside what is used of its time.
func (b *bounder) fits(s Split, used, wanted work, seconds float64) float64 {
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
func (b *bounder) feasible(s Split, w work, seconds float64) bool {
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
