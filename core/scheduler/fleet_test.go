package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

func TestDrainedEngineReturnsAndLeavingOneDoesNot(t *testing.T) {
	listed := func(leaving bool) Event {
		return UpstreamListed{
			Now: start, Upstream: "e1", DataCentre: "a", Models: []identifier.ModelName{"m"}, Leaving: leaving,
		}
	}
	cases := []struct {
		name   string
		events []Event
		used   bool
	}{
		{"drained", []Event{UpstreamDrained{Upstream: "e1", Draining: true}}, false},
		{"drained and listed again", []Event{UpstreamDrained{Upstream: "e1", Draining: true}, listed(false)}, false},
		{"drained and restored", []Event{
			UpstreamDrained{Upstream: "e1", Draining: true}, UpstreamDrained{Upstream: "e1"},
		}, true},
		{"leaving", []Event{listed(true), listed(false)}, false},
		{"leaving and restored", []Event{listed(true), UpstreamDrained{Upstream: "e1"}}, false},
		{"removed and listed again", []Event{listed(true), UpstreamRemoved{Upstream: "e1"}, listed(false)}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFleet(t, "e1")
			for _, e := range c.events {
				s.Handle(e)
			}
			actions := s.Handle(arrival("r1", 0, 5*time.Second))
			if c.used {
				require.Equal(t, identifier.UpstreamID("e1"), requireSingle[Dispatch](t, actions).Decode)
				return
			}
			for _, a := range actions {
				_, dispatched := a.(Dispatch)
				require.False(t, dispatched)
			}
		})
	}
}
