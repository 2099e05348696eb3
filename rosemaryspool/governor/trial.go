package governor

import (
	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
)

// logTrials logs what has changed in the trials of upstreams that have started or recovered. The governor's mutex must be
// held.
func (g *Governor) logTrials() {
	for _, c := range g.allocator.TakeTrialChanges() {
		switch {
		case c.Open:
			describeTrial(g.log.Info().Str("event", "upstreamOpened"), c).
				Msg("Upstream has answered well and gets as many requests as the others")
		case c.Setbacks > 0:
			describeTrial(g.log.Info().Str("event", "trialSetBack"), c).
				Msg("Upstream on trial answers more slowly or fails, and gets fewer requests")
		default:
			describeTrial(g.log.Info().Str("event", "upstreamOnTrial"), c).
				Msg("Upstream that has started or recovered gets few requests until it has answered some")
		}
	}
}

func describeTrial(line *zerolog.Event, c allocator.TrialChange) *zerolog.Event {
	return line.Str("upstream", string(c.Upstream)).Str("cause", string(c.Cause)).Int("limit", c.Limit).
		Int("setbacks", c.Setbacks).Dur("sinceMs", c.Took)
}
