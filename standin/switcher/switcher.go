// Package switcher holds the fault switches of a stand-in and serves them over HTTP.
package switcher

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// maxFaultBytes limits the body of PUT /faults.
const maxFaultBytes = 64 << 10

// Switches holds the faults that are injected into one stand-in. It is safe for concurrent use.
type Switches[T any] struct {
	mutex   sync.Mutex
	faults  T
	changed chan struct{}
	apply   func(T)
}

// NewSwitches returns switches with the given initial faults. If apply is not nil, it is called after each change.
func NewSwitches[T any](faults T, apply func(T)) *Switches[T] {
	return &Switches[T]{faults: faults, changed: make(chan struct{}), apply: apply}
}

// Get returns the current faults.
func (s *Switches[T]) Get() T {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Set replaces all faults and wakes the goroutines that wait on Changed.
func (s *Switches[T]) Set(faults T) {
	s.Change(func(f *T) { *f = faults })
}

// Change edits the faults in place and wakes the goroutines that wait on Changed.
func (s *Switches[T]) Change(edit func(*T)) {
	s.mutex.Lock()
	edit(&s.faults)
	faults := s.faults
	close(s.changed)
	s.changed = make(chan struct{})
	s.mutex.Unlock()
	if s.apply != nil {
		s.apply(faults)
	}
}

// Changed returns a channel that is closed at the next change.
func (s *Switches[T]) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Take uses up one occurrence of a counted fault: it decrements the counter that field selects and reports whether the
// counter was above zero.
func (s *Switches[T]) Take(field func(*T) *int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counter := field(&s.faults)
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// Register adds GET and PUT /faults to a router. PUT rejects unknown keys with status 400.
func (s *Switches[T]) Register(router *httprouter.Router) {
	router.GET("/faults", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Get())
	})
	router.PUT("/faults", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var faults T
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(faults)
		w.WriteHeader(http.StatusNoContent)
	})
}

// Sleep waits for a delay in milliseconds. It returns the error of ctx if that ends first.
func Sleep(ctx context.Context, delayMS int) error {
	if delayMS <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(time.Duration(delayMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
