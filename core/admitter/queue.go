package admitter

import (
	"container/heap"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Waiter is a request that waits at the instance.
type Waiter struct {
	Request  identifier.RequestID
	Priority identifier.Priority
	Deadline time.Time
	// index is the waiter's position in the heap.
	index int
}

// Queue is a bounded priority queue of waiting requests: highest priority first, then earliest deadline. It is not safe
// for concurrent use.
type Queue struct {
	waiters waiters
	byID    map[identifier.RequestID]*Waiter
	limit   int
}

// NewQueue returns an empty queue for up to limit requests, at least one.
func NewQueue(limit int) *Queue {
	return &Queue{byID: make(map[identifier.RequestID]*Waiter), limit: max(1, limit)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Push adds a request unless it is queued already. If the queue exceeds its limit, the lowest-ranked request, possibly
// the new one, is evicted and returned.
func (q *Queue) Push(w Waiter) (evicted identifier.RequestID, full bool) {
	if q.byID[w.Request] != nil {
		return "", false
	}
	added := &w
	q.byID[w.Request] = added
	heap.Push(&q.waiters, added)
	if len(q.waiters) <= q.limit {
		return "", false
	}
	last := q.waiters[0]
	for _, other := range q.waiters {
		if last.before(other) {
			last = other
		}
	}
	q.Remove(last.Request)
	return last.Request, true
}

// Remove removes a request if it is queued.
func (q *Queue) Remove(id identifier.RequestID) {
	w := q.byID[id]
	if w == nil {
		return
	}
	heap.Remove(&q.waiters, w.index)
	delete(q.byID, id)
}

// Peek returns the highest-ranked request without removing it, and false if the queue is empty.
func (q *Queue) Peek() (Waiter, bool) {
	if len(q.waiters) == 0 {
		return Waiter{}, false
	}
	return *q.waiters[0], true
}

// Ordered returns the waiting requests from the highest- to the lowest-ranked.
func (q *Queue) Ordered() []identifier.RequestID {
	rest := &Queue{byID: make(map[identifier.RequestID]*Waiter), limit: q.limit}
	for _, w := range q.waiters {
		rest.Push(Waiter{Request: w.Request, Priority: w.Priority, Deadline: w.Deadline})
	}
	ordered := make([]identifier.RequestID, 0, len(q.waiters))
	for rest.Len() > 0 {
		first, _ := rest.Peek()
		ordered = append(ordered, first.Request)
		rest.Remove(first.Request)
	}
	return ordered
}

func (w *Waiter) before(other *Waiter) bool {
	if w.Priority != other.Priority {
		return w.Priority > other.Priority
	}
	if c := w.Deadline.Compare(other.Deadline); c != 0 {
		return c < 0
	}
	return w.Request < other.Request
}

// waiters implements heap.Interface for Queue.
type waiters []*Waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].before(w[j]) }
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push adds a waiter; only container/heap calls it.
func (w *waiters) Push(x any) {
	added := x.(*Waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop removes the last waiter; only container/heap calls it.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	*w = (*w)[:last]
	return x
}
