package governor

import (
	"time"

	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/identifier"
)

// budgetLogInterval is the least time between two lines on the spent retry budget of a service.
const budgetLogInterval = time.Second

// SetRetryBudget replaces the settings of the retry budget.
func (g *Governor) SetRetryBudget(now time.Time, settings budgeter.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgeter.SetSettings(now, settings)
}

// CountRequest adds a caller's request to a service to the basis of the retry budget.
func (g *Governor) CountRequest(now time.Time, service identifier.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgeter.CountRequest(now, service)
}

// RetryUsage returns what is used of the retry budget of a service.
func (g *Governor) RetryUsage(now time.Time, service identifier.ServiceName) budgeter.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budgeter.Usage(now, service)
}

// TryRetry takes one retry of a service from the budget. It returns false if none is left.
func (g *Governor) TryRetry(now time.Time, service identifier.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budgeter.TryRetry(now, service) {
		return true
	}
	if now.Sub(g.budgetsLogged[service]) >= budgetLogInterval {
		g.budgetsLogged[service] = now
		u := g.budgeter.Usage(now, service)
		g.log.Info().Str("event", "retryBudgetSpent").Str("service", string(service)).Int("requests", u.Requests).
			Int("retries", u.Retries).Float64("allowed", u.Allowed).Int("instances", u.Instances).Bool("started", u.Started).
			Msg("No retry of the service is left in this window")
	}
	return false
}
