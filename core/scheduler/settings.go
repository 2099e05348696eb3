package scheduler

import (
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/router"
)

// Settings holds what one instance's scheduler is started with.
type Settings struct {
	Instance   identifier.InstanceID
	DataCentre identifier.DataCentre
	// Instances is the number of live instances, this one included.
	Instances int
	// Seed makes the random choices repeatable; instances with equal seeds still choose differently.
	Seed     uint64
	Tunables Tunables
}

// Tunables holds the figures of behaviour. The zero value of a field stands for its default.
type Tunables struct {
	Estimate estimator.Settings
	Route    router.Settings
	// ReportLag is how old a load report is taken to be on arrival.
	ReportLag time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// Margin is the share by which a predicted finish is lengthened before it is compared with a deadline.
	Margin float64
}

// DefaultTunables returns the figures for a fleet about which nothing is known.
func DefaultTunables() Tunables {
	return Tunables{
		Estimate:    estimator.DefaultSettings(),
		Route:       router.DefaultSettings(),
		ReportLag:   1500 * time.Millisecond,
		MaxAttempts: 4,
		Margin:      0.1,
	}
}

func (t Tunables) withDefaults() Tunables {
	d := DefaultTunables()
	if t.Estimate == (estimator.Settings{}) {
		t.Estimate = d.Estimate
	}
	if t.Route == (router.Settings{}) {
		t.Route = d.Route
	}
	if t.ReportLag == 0 {
		t.ReportLag = d.ReportLag
	}
	if t.MaxAttempts == 0 {
		t.MaxAttempts = d.MaxAttempts
	}
	if t.Margin == 0 {
		t.Margin = d.Margin
	}
	return t
}
