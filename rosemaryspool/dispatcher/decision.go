package dispatcher

import (
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/scheduler"
)

func logDispatch(log zerolog.Logger, request ModelRequest, dispatch scheduler.Dispatch) {
	log.Info().
		Str("event", "routed").
		Str("request", string(request.ID)).
		Str("caller", string(request.Caller)).
		Str("class", string(request.Class)).
		Str("attempt", string(dispatch.Attempt)).
		Str("prefill", string(dispatch.Prefill)).
		Str("decode", string(dispatch.Decode)).
		Bool("hedge", dispatch.Hedge).
		Str("cause", dispatch.Reason.Cause).
		Int64("reportAgeMs", dispatch.Reason.ReportAge.Milliseconds()).
		Str("candidates", formatCandidates(dispatch.Reason.Candidates)).
		Msg("Routed a request")
}

// describeDispatch formats a dispatch for the explanation that an operator can query.
func describeDispatch(dispatch scheduler.Dispatch) string {
	return fmt.Sprintf("attempt=%s prefill=%s decode=%s hedge=%t cause=%s reportAgeMs=%d candidates=%s",
		dispatch.Attempt, dispatch.Prefill, dispatch.Decode, dispatch.Hedge, dispatch.Reason.Cause,
		dispatch.Reason.ReportAge.Milliseconds(), formatCandidates(dispatch.Reason.Candidates))
}

func logRefusal(log zerolog.Logger, request ModelRequest, refusal refuser.Refusal) {
	log.Info().
		Str("event", "refused").
		Str("request", string(request.ID)).
		Str("caller", string(request.Caller)).
		Str("class", string(request.Class)).
		Int("code", int(refusal.Code)).
		Stringer("effect", refusal.Effect).
		Int("retryAfterMs", refusal.RetryAfterMS).
		Str("reason", refusal.Message).
		Msg("Refused a request")
}

// formatCandidates formats each candidate as id:finishMs:cachedTokens:cost.
func formatCandidates(candidates []scheduler.Candidate) string {
	var out strings.Builder
	for i, c := range candidates {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, "%s:%d:%d:%.3g", c.Upstream, c.Finish/time.Millisecond, c.Cached, c.Cost)
	}
	return out.String()
}
