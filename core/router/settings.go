package router

import "time"

// Settings holds the tunables of routing.
type Settings struct {
	// Margin is the share by which a predicted finish is lengthened before it is compared with the deadline.
	Margin float64
	// FinishWeight weighs the predicted finish of a request whose deadline is as short as Reference.
	FinishWeight float64
	// Reference is the deadline at which a second of waiting weighs a full second; longer deadlines weigh it less.
	Reference time.Duration
	// Harm weighs each second of prefill for each sequence that decodes beside it.
	Harm float64
	// Spread is the width of the random part of the cost; it keeps instances that share a stale report apart.
	Spread time.Duration
	// Remote is the cost of an engine in another data centre.
	Remote time.Duration
	// HandOver is the assumed time to move a KV cache between engines.
	HandOver time.Duration
	// LatePenalty is the cost in seconds of a candidate that would miss the deadline.
	LatePenalty float64
	// Explained is how many candidates a decision names.
	Explained int
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		Margin:       0.1,
		FinishWeight: 1,
		Reference:    10 * time.Second,
		Harm:         0.1,
		Spread:       200 * time.Millisecond,
		Remote:       10 * time.Millisecond,
		HandOver:     50 * time.Millisecond,
		LatePenalty:  100,
		Explained:    3,
	}
}
