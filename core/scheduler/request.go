package scheduler

import (
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
)

// request is one request that has no final answer yet.
type request struct {
	RequestArrived
	// output counts the tokens that earlier attempts delivered.
	output identifier.Tokens
	// attempts holds the running attempts, the first one first.
	attempts []*attempt
	started  int
	tried    []identifier.UpstreamID
	// seen is true once an engine may have run part of the request.
	seen    bool
	waiting bool
}

// attempt is one dispatch of a request.
type attempt struct {
	id      identifier.AttemptID
	request *request
	prefill *estimator.Engine
	decode  *estimator.Engine
	// work is the prefill and output counted at the engines.
	work     estimator.Work
	forecast estimator.Forecast
	cached   identifier.Tokens
	sent     time.Time
	first    time.Time
	last     time.Time
	output   identifier.Tokens
	hedge    bool
}

func (r *request) hasTried(id identifier.UpstreamID) bool {
	for _, u := range r.tried {
		if u == id {
			return true
		}
	}
	return false
}

func (r *request) drop(a *attempt) {
	for i, other := range r.attempts {
		if other == a {
			r.attempts = append(r.attempts[:i], r.attempts[i+1:]...)
			return
		}
	}
}
