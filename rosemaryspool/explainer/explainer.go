// Package explainer keeps the latest routing decisions so that an operator can ask why a request went where it did.
package explainer

import (
	"sync"

	"rosemaryspool.example/core/identifier"
)

// maxRequests is how many requests are kept: some minutes of one instance's share of today's load.
const maxRequests = 4096

// Explainer keeps decision lines by request. It is safe for concurrent use.
type Explainer struct {
	mutex sync.Mutex
	lines map[identifier.RequestID][]string
	order []identifier.RequestID
	next  int
}

// NewExplainer returns an empty explainer.
func NewExplainer() *Explainer {
	return &Explainer{
		lines: make(map[identifier.RequestID][]string, maxRequests),
		order: make([]identifier.RequestID, maxRequests),
	}
}

// Add keeps one decision line; the oldest request is forgotten when there are too many.
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

// Find returns the kept lines of a request in order.
func (e *Explainer) Find(request identifier.RequestID) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]string(nil), e.lines[request]...)
}
