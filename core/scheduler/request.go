package scheduler

import (
	"slices"
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/router"
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
	seen   bool
	closed bool
}

// attempt is one dispatch of a request.
type attempt struct {
	id      identifier.AttemptID
	request *request
	prefill *estimator.Engine
	decode  *estimator.Engine
	// work is the prefill and output counted at the engines.
	work   estimator.Work
	course router.Candidate
	sent   time.Time
	first  time.Time
	last   time.Time
	output identifier.Tokens
}

// predictedFirst returns the predicted time from the dispatch to the first token.
func (a *attempt) predictedFirst() time.Duration {
	return seconds(a.course.PrefillForecast.TimeToFirstToken() + a.course.Unseen)
}

func (r *request) hasTried(id identifier.UpstreamID) bool { return slices.Contains(r.tried, id) }

func (r *request) drop(a *attempt) {
	r.attempts = slices.DeleteFunc(r.attempts, func(other *attempt) bool { return other == a })
}
