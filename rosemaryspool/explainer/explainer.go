// Package explainer retains the latest routing decisions, so that an operator can look up why a request was routed to
// an upstream.
package explainer

import (
	"sync"

	"rosemaryspool.example/core/identifier"
)

// maxRequests is the number of retained requests: a few minutes of one instance's share of the present load.
const maxRequests = 4096

// Explainer retains decisions by request in a ring buffer of requests. It is safe for concurrent use.
type Explainer struct {
	mutex sync.Mutex
	lines map[identifier.RequestID][]string
	order []identifier.RequestID
	next  int // index in order of the entry that is overwritten next
}

// NewExplainer returns an empty explainer.
func NewExplainer() *Explainer {
	return &Explainer{
		lines: make(map[identifier.RequestID][]string, maxRequests),
		order: make([]identifier.RequestID, maxRequests),
	}
}

// Add appends a line to the decisions about a request. A new request replaces the oldest one when the buffer is full.
func (e *Explainer) Add(request identifier.RequestID, line string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.lines[request]; !ok {
		delete(e.lines, e.order[e.next])
		e.order[e.next] = request
		e.next = (e.next + 1) % maxRequests
	}
	e.lines[request] = append(e.lines[request], line)
}

// Find returns the retained lines of a request in the order in which they were added.
func (e *Explainer) Find(request identifier.RequestID) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]string(nil), e.lines[request]...)
}
