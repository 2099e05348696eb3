// Package storekeeper provides a stand-in for the platform's weight store, which rate-limits the loading of model
// weights. It can be used in memory and over HTTP.
package storekeeper

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"rosemaryspool.example/adaptor/permitter"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/replier"
	"rosemaryspool.example/standin/switcher"
	"rosemaryspool.example/wire/messenger"
)

const (
	// DefaultLoadsPerMinute is the rate at which the weight store grants loads.
	DefaultLoadsPerMinute = 6
	// DefaultBurst is the number of loads that may start at once.
	DefaultBurst = 2
)

// errOutage is the store's response to every call during an outage.
var errOutage = eris.New("storekeeper: outage")

// Settings configures the store. Zero values select the defaults.
type Settings struct {
	LoadsPerMinute float64
	Burst          int
	Faults         Faults
}

// Faults are the faults that can be injected into the store.
type Faults struct {
	Outage bool `json:"outage"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int `json:"delayMs"`
}

// Store grants permits for loads by a token bucket. It is safe for concurrent use.
type Store struct {
	Switches *switcher.Switches[Faults]
	limiter  *rate.Limiter
}

var _ permitter.Store = (*Store)(nil)

// NewStore returns a store whose token bucket is full.
func NewStore(settings Settings) *Store {
	if settings.LoadsPerMinute <= 0 {
		settings.LoadsPerMinute = DefaultLoadsPerMinute
	}
	if settings.Burst <= 0 {
		settings.Burst = DefaultBurst
	}
	limit := rate.Limit(settings.LoadsPerMinute / time.Minute.Seconds())
	return &Store{
		Switches: switcher.NewSwitches(settings.Faults, nil),
		limiter:  rate.NewLimiter(limit, settings.Burst),
	}
}

// Permit grants a load or returns how long to wait before the next request. A refused request consumes no token.
func (s *Store) Permit(
	ctx context.Context, _ identifier.ModelName, _ identifier.ModelVersion,
) (permitter.Permit, error) {
	faults := s.Switches.Get()
	if err := switcher.Sleep(ctx, faults.DelayMS); err != nil {
		return permitter.Permit{}, eris.Wrap(err, "storekeeper: permit")
	}
	if faults.Outage {
		return permitter.Permit{}, errOutage
	}
	now := time.Now()
	reservation := s.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return permitter.Permit{Granted: true}, nil
	}
	reservation.CancelAt(now)
	return permitter.Permit{RetryAfter: delay.Truncate(time.Millisecond) + time.Millisecond}, nil
}

// Handler returns the store's HTTP API, including its fault switches.
func (s *Store) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/permits", s.servePermit)
	s.Switches.Register(router)
	return router
}

func (s *Store) servePermit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request messenger.WeightPermitRequest
	if !replier.Receive(w, r, &request) {
		return
	}
	model, version := identifier.ModelName(request.Model), identifier.ModelVersion(request.Version)
	permit, err := s.Permit(r.Context(), model, version)
	if err != nil {
		replier.Fail(w, http.StatusServiceUnavailable, err)
		return
	}
	wait := identifier.Milliseconds(permit.RetryAfter)
	replier.Send(w, http.StatusOK, &messenger.WeightPermit{Granted: permit.Granted, RetryAfterMs: wait})
}
