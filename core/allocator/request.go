package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/core/tracker"
)

// Request describes a request that has to be placed.
type Request struct {
	Service identifier.ServiceName
	// Engine is true for requests to engines of language models, false for those to plain services.
	Engine bool
	Prompt []PromptPart
	// Content is the trait of the request as a whole; zero if it has none.
	Content isolator.Trait
	// Output is the expected length of the answer in tokens.
	Output identifier.Tokens
	// TimeToTarget is the time left until the response counts as late; negative for a request that is late already.
	TimeToTarget time.Duration
	// Target is the route's latency target.
	Target time.Duration
	// TimeToDeadline is the time left until the caller no longer waits for the response.
	TimeToDeadline time.Duration
	// Excluded lists the upstreams at which attempts of the request have failed, or that the instance can't use.
	Excluded []identifier.UpstreamID
	// SingleUpstream is true if one upstream must run the whole request, so prefill and decode can't be split.
	SingleUpstream bool
	// RateShare is the share of the upstreams' rate limits that the deciding instance uses.
	RateShare float64
	// Resumed is true for a stream of which the caller has received a part already, and for a request that was lost at an
	// upstream: new requests give way to them.
	Resumed bool
	// Version is the software version of the stream that the request resumes; nil if any will do.
	Version *identifier.SoftwareVersion
	// Caller is the account that the request belongs to; empty if it has none.
	Caller identifier.CallerID
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Returned is true if the caller comes back after a refusal.
	Returned bool
	// Repeatable is true for a request that may run again elsewhere.
	Repeatable bool
}

// Traits returns what the request may have in common with others that crash upstreams: all parts of its prompt but the
// last one, and its whole content.
func (r Request) Traits() []isolator.Trait {
	traits := make([]isolator.Trait, 0, len(r.Prompt)+1)
	if r.Content != 0 {
		traits = append(traits, r.Content)
	}
	for _, part := range r.Prompt[:max(0, len(r.Prompt)-1)] {
		traits = append(traits, isolator.NewPartTrait(part.Hash))
	}
	return traits
}

func (r Request) promptTokens() identifier.Tokens {
	total := identifier.Tokens(0)
	for _, part := range r.Prompt {
		total += part.Tokens
	}
	return total
}

// Accepts reports whether an upstream is of the request's service and has the version that the request needs.
func (r Request) Accepts(e tracker.Entry) bool {
	return e.Service == r.Service && (r.Version == nil || *r.Version == e.Version)
}
