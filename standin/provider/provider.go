// Package provider is a stand-in for a plain service, in memory and over HTTP. It counts how often it runs each call.
package provider

import (
	"context"
	"maps"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/switcher"
)

// Settings holds the service's initial faults.
type Settings struct {
	Faults Faults
}

// Faults are the service's fault switches; counters decrease by one with each use.
type Faults struct {
	// Status is the status of every response; zero means 200.
	Status int `json:"status"`
	// CloseBeforeReply is the number of calls that run but whose connection is closed before the response.
	CloseBeforeReply int `json:"closeBeforeReply"`
	// CloseKeptAlive closes a connection without a response at its second request, which is not run.
	CloseKeptAlive bool `json:"closeKeptAlive"`
	// RedirectStatus responds to a call, after running it, with this redirect to a path that runs it again; zero means no
	// redirect.
	RedirectStatus int `json:"redirectStatus"`
	// NoAnswer is the number of calls that run but get no response.
	NoAnswer int `json:"noAnswer"`
	// DelayMS delays every call by this many milliseconds before it is run.
	DelayMS int `json:"delayMs"`
}

// Counts holds the number of requests and runs.
type Counts struct {
	// Arrivals is the number of requests that reached the service, including those that were not run.
	Arrivals  int                               `json:"arrivals"`
	Runs      int                               `json:"runs"`
	ByKey     map[identifier.IdempotencyKey]int `json:"byKey"`
	ByAttempt map[identifier.AttemptID]int      `json:"byAttempt"`
}

// Service runs calls and counts them. It is safe for concurrent use.
type Service struct {
	Switches *switcher.Switches[Faults]
	mutex    sync.Mutex
	counts   Counts
}

var _ invoker.Service = (*Service)(nil)

// NewService returns a service that has run no calls yet.
func NewService(settings Settings) *Service {
	return &Service{
		Switches: switcher.NewSwitches(settings.Faults, nil),
		counts: Counts{
			ByKey:     map[identifier.IdempotencyKey]int{},
			ByAttempt: map[identifier.AttemptID]int{},
		},
	}
}

// Counts returns a copy of the counts.
func (s *Service) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := s.counts
	counts.ByKey = maps.Clone(s.counts.ByKey)
	counts.ByAttempt = maps.Clone(s.counts.ByAttempt)
	return counts
}

// Invoke implements invoker.Service in memory, as if each call had a connection of its own.
func (s *Service) Invoke(ctx context.Context, call invoker.Call) (invoker.Response, error) {
	response, err := s.serve(ctx, call)
	if err != nil {
		return invoker.Response{}, eris.Wrap(invoker.ErrOutcomeUnknown, err.Error())
	}
	return response, nil
}

var (
	errClosed = eris.New("provider: connection closed before the response")
	// redirectPath is the target of redirects; a client that follows one runs the call again.
	redirectPath = "/redirected"
)

// serve runs a call and applies the faults; an error means that no response is sent.
func (s *Service) serve(ctx context.Context, call invoker.Call) (invoker.Response, error) {
	faults := s.Switches.Get()
	s.countArrival()
	if err := switcher.Sleep(ctx, faults.DelayMS); err != nil {
		return invoker.Response{}, err
	}
	run := s.countRun(call)
	if s.Switches.Take(func(f *Faults) *int { return &f.CloseBeforeReply }) {
		return invoker.Response{}, errClosed
	}
	if s.Switches.Take(func(f *Faults) *int { return &f.NoAnswer }) {
		<-ctx.Done()
		return invoker.Response{}, ctx.Err()
	}
	if faults.RedirectStatus != 0 && call.Path != redirectPath {
		header := http.Header{"Location": {redirectPath}}
		return invoker.Response{Status: faults.RedirectStatus, Header: header}, nil
	}
	return newResponse(faults.Status, call, run)
}

// countArrival counts a request that reached the service.
func (s *Service) countArrival() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Arrivals++
}

// countRun counts a run of a call and returns the total number of runs.
func (s *Service) countRun(call invoker.Call) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Runs++
	if call.Key != "" {
		s.counts.ByKey[call.Key]++
	}
	s.counts.ByAttempt[call.Attempt]++
	return s.counts.Runs
}
