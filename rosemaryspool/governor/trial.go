package governor

// logTrials logs what has changed in the trials of upstreams that have started or recovered. The governor's mutex must be
// held.
func (g *Governor) logTrials() {
	for _, c := range g.allocator.TakeTrialChanges() {
		event, message := "upstreamOnTrial", "Upstream that has started or recovered gets few requests until it has answered some"
		switch {
		case c.Open:
			event, message = "upstreamOpened", "Upstream has answered well and gets as many requests as the others"
		case c.Setbacks > 0:
			event, message = "trialSetBack", "Upstream on trial answers more slowly or fails, and gets fewer requests"
		}
		g.log.Info().Str("event", event).Str("upstream", string(c.Upstream)).Str("cause", string(c.Cause)).
			Int("limit", c.Limit).Int("setbacks", c.Setbacks).Dur("sinceMs", c.Took).Msg(message)
	}
}
