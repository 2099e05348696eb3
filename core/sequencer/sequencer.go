// Package sequencer runs functions in the order of a simulated clock.
package sequencer

import (
	"container/heap"
	"time"
)

// Sequencer is a simulated clock with the functions that are still to run. The zero value is ready for use. It is not safe
// for concurrent use.
type Sequencer struct {
	// Now is the time since the start of the simulation.
	Now    time.Duration
	queue  queue
	number int
}

// event is a function that runs at a time; number orders events of the same time.
type event struct {
	at     time.Duration
	number int
	run    func()
}

// queue is a heap of events, the earliest one first.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// After schedules a function after a delay; a negative delay counts as zero.
func (s *Sequencer) After(delay time.Duration, run func()) {
	s.number++
	heap.Push(&s.queue, event{at: s.Now + max(delay, 0), number: s.number, run: run})
}

// RunUntil runs the functions up to a time and sets the clock to it.
func (s *Sequencer) RunUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e, ok := heap.Pop(&s.queue).(event)
		if !ok {
			return
		}
		s.Now = e.at
		e.run()
	}
	s.Now = max(s.Now, end)
}
