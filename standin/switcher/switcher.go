// Package switcher keeps a stand-in's fault switches and sets them over HTTP.
package switcher

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// maxFaultBytes bounds the body of PUT /faults.
const maxFaultBytes = 64 << 10

// Switches holds one stand-in's faults. It is safe for concurrent use.
type Switches[T any] struct {
	mutex   sync.Mutex
	faults  T
	changed chan struct{}
	apply   func(T)
}

// NewSwitches returns switches with the given first setting. A non-nil apply is called after each change.
func NewSwitches[T any](faults T, apply func(T)) *Switches[T] {
	return &Switches[T]{faults: faults, changed: make(chan struct{}), apply: apply}
}

// Get returns the present setting.
func (s *Switches[T]) Get() T {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// Set replaces the whole setting and wakes those who wait for a change.
func (s *Switches[T]) Set(faults T) {
	s.Change(func(f *T) { *f = faults })
}

// Change edits the setting in place.
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

// Take counts a fault down: it reports whether the counter that field points to was above zero, and lowers it.
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

// Register adds GET and PUT /faults to a router; unknown keys are refused.
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

// Sleep waits for a fault's delay in milliseconds, or until ctx ends.
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
