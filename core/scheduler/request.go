package scheduler

import (
	"slices"
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/router"
)

// request is the state of a request that has no final response yet.
type request struct {
	RequestArrived
	// output is the number of output tokens that ended attempts delivered.
	output identifier.Tokens
	// attempts holds the running attempts in order of dispatch.
	attempts        []*attempt
	attemptsStarted int
	tried           []identifier.UpstreamID
	// mayHaveRun is set once an engine may have run part of the request.
	mayHaveRun bool
	closed     bool
}

// attempt is the state of one dispatch of a request.
type attempt struct {
	id      identifier.AttemptID
	request *request
	prefill *estimator.Engine
	decode  *estimator.Engine
	// work is the prefill and output counted as in flight at the engines.
	work         estimator.Work
	forecast     router.Candidate
	sentAt       time.Time
	firstTokenAt time.Time
	progressedAt time.Time
	output       identifier.Tokens
}

// predictedFirstToken returns the predicted time from dispatch to the first token.
func (a *attempt) predictedFirstToken() time.Duration {
	return seconds(a.forecast.PrefillForecast.TimeToFirstToken() + a.forecast.UnreportedWork)
}

func (r *request) hasTried(id identifier.UpstreamID) bool { return slices.Contains(r.tried, id) }

func (r *request) removeAttempt(a *attempt) {
	r.attempts = slices.DeleteFunc(r.attempts, func(other *attempt) bool { return other == a })
}
