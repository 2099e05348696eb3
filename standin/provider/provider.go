// Package provider is a stand-in for a plain service that counts its runs, in memory and over HTTP.
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

// Settings describes the service.
type Settings struct {
	Faults Faults
}

// Faults are the service's switches; counters fall by one with each use.
type Faults struct {
	// Status is the status of every answer; zero means 200.
	Status int `json:"status"`
	// CloseBeforeReply is the number of calls that run but lose their connection before the answer.
	CloseBeforeReply int `json:"closeBeforeReply"`
	// CloseKeptAlive closes a connection unanswered, without a run, at its second request.
	CloseKeptAlive bool `json:"closeKeptAlive"`
	// RedirectStatus answers a first run with this redirect to a path that runs the call again; zero means none.
	RedirectStatus int `json:"redirectStatus"`
	// NoAnswer is the number of calls that run and are never answered.
	NoAnswer int `json:"noAnswer"`
	// DelayMS slows every call down before its run.
	DelayMS int `json:"delayMs"`
}

// Counts tells how often calls arrived and ran.
type Counts struct {
	// Arrivals counts every request that reached the service, run or not.
	Arrivals  int                               `json:"arrivals"`
	Runs      int                               `json:"runs"`
	ByKey     map[identifier.IdempotencyKey]int `json:"byKey"`
	ByAttempt map[identifier.AttemptID]int      `json:"byAttempt"`
}

// Service runs calls. It is safe for concurrent use.
type Service struct {
	Switches *switcher.Switches[Faults]
	mutex    sync.Mutex
	counts   Counts
}

var _ invoker.Service = (*Service)(nil)

// NewService returns a service without runs.
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

// Invoke runs a call as if it had come over a connection of its own.
func (s *Service) Invoke(ctx context.Context, call invoker.Call) (invoker.Response, error) {
	answer, err := s.serve(ctx, call)
	if err != nil {
		return invoker.Response{}, eris.Wrap(invoker.ErrOutcomeUnknown, err.Error())
	}
	return answer, nil
}

var (
	errClosed = eris.New("provider: connection closed before the reply")
	// redirectPath is where a redirect leads; a client that follows it runs the call again.
	redirectPath = "/redirected"
)

// serve runs a call under the faults; an error means that no answer is sent.
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

func (s *Service) countArrival() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Arrivals++
}

// run counts a run and returns its number.
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
