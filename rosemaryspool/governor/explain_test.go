package governor

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/core/tracker"
)

// Explanations agree with placements about requests that crash upstreams.
func TestSuspectedRequestsAreExplained(t *testing.T) {
	now := time.Now()
	request := allocator.Request{Service: "plain", RateShare: 1, Target: time.Second, TimeToTarget: time.Second, TimeToDeadline: time.Second}
	request.Content = isolator.NewContentTrait("h.example", "GET", "/x", nil)
	for _, c := range []struct {
		crashes int
		// want are the reasons why two requests are refused, one after the other.
		want [2]allocator.Reason
	}{
		{0, [2]allocator.Reason{}},
		{1, [2]allocator.Reason{}},
		{2, [2]allocator.Reason{"", allocator.ReasonSuspected}},
		{3, [2]allocator.Reason{allocator.ReasonQuarantined, allocator.ReasonQuarantined}},
	} {
		g := NewGovernor(Settings{
			Self:  elector.Member{Instance: "spool-1", StartedMs: 1},
			Retry: budgeter.Settings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, Allocator: allocator.DefaultSettings(),
		}, zerolog.Nop())
		for i, id := range []identifier.UpstreamID{"p1", "p2", "p3", "p4", "p5"} {
			e := tracker.Entry{Upstream: id, Service: "plain", Slots: 6}
			g.UpdateUpstreams(now, Origin{}, func(tr *tracker.Tracker) bool { return tr.Update(e, 1) })
			if i < c.crashes {
				now = now.Add(time.Second)
				g.RecordBroken(now, now, e, request.Traits())
				g.RecordEnd(now, e)
			}
		}
		now = now.Add(time.Second)
		for _, want := range c.want {
			for range 2 {
				x := g.Explain(now, "", "", request)
				require.Equal(t, want, x.Reason, "%d crashes", c.crashes)
				require.Equal(t, want == "", x.Upstream != "")
			}
			x := g.Explain(now, "", "", request)
			placement, refusal := g.Place(now, request)
			if want == "" {
				require.Nil(t, refusal)
				require.Equal(t, placement.Upstream, x.Upstream)
				continue
			}
			require.Equal(t, want, refusal.Reason)
			require.Equal(t, refusal.RetryAfter, x.RetryAfter)
		}
	}
}
