package drainer

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// TestMain fixes the seed of the property tests, so that every run generates the same sequences of events.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}

// model is the test's state of one engine and of this instance's work on it.
type model struct {
	now       float64
	protected map[identifier.AttemptID]bool
	started   int
	plan      []*messenger.PlannedChange
	lastBusy  bool
	orders    int
}

// drawEvent advances the clock by up to 4 s and returns a random event that is possible in the current state.
func (f *model) drawEvent(t *rapid.T, d *Drainer) Event {
	f.now += rapid.Float64Range(0, 4).Draw(t, "elapsed")
	now := at(f.now)
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		// The dispatcher sends no work to closed upstreams.
		if d.Closed("e1") {
			return Ticked{Now: now}
		}
		f.started++
		attempt := identifier.AttemptID(fmt.Sprint("w", f.started))
		f.protected[attempt] = rapid.Bool().Draw(t, "protected")
		return WorkStarted{Now: now, Upstream: "e1", Attempt: attempt, Protected: f.protected[attempt]}
	case 1, 2:
		if len(f.protected) == 0 {
			return Ticked{Now: now}
		}
		attempt := slices.Min(slices.Collect(maps.Keys(f.protected)))
		delete(f.protected, attempt)
		return WorkEnded{Now: now, Attempt: attempt}
	case 3:
		f.orders++
		return ChangeRequested{
			Now: now, Scope: "s", Order: &messenger.EngineOrder{OrderId: fmt.Sprint("o", f.orders), Engine: "e1"},
		}
	case 4, 5:
		f.lastBusy = rapid.Bool().Draw(t, "busy") || len(f.protected) > 0
		running := 0
		if f.lastBusy {
			running = 1
		}
		return ReportReceived{
			Now: now, Upstream: "e1", Running: running, Leaving: rapid.IntRange(0, 19).Draw(t, "leaving") == 0,
		}
	case 6:
		return PlansUpdated{Now: now, Plans: f.plan}
	case 7:
		return OrderClosed{
			Now: now, Order: identifier.OrderID(fmt.Sprint("o", f.orders)), Result: messenger.OrderResult_ORDER_RESULT_DONE,
		}
	default:
		return ProbeEnded{Now: now, Upstream: "e1", OK: rapid.Bool().Draw(t, "probe")}
	}
}

// TestProtectedWorkIsNeverInterrupted checks over random sequences of events that orders go only to closed engines
// without work, that protected work is never moved, and that an upstream is not opened while it is still leaving.
func TestProtectedWorkIsNeverInterrupted(t *testing.T) {
	orders, moves := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		d := NewDrainer(NewSettings())
		f := &model{protected: map[identifier.AttemptID]bool{}}
		for range 200 {
			event := f.drawEvent(t, d)
			wasClosed, wasLeaving := d.Closed("e1"), d.upstream("e1").leaving
			for _, action := range d.Handle(event) {
				switch a := action.(type) {
				case AppendPlannedChange:
					f.plan = []*messenger.PlannedChange{a.Change}
				case RequestOrder:
					orders++
					require.Empty(t, f.protected)
					require.False(t, f.lastBusy)
					require.True(t, d.Closed("e1"))
				case MoveAttempt:
					moves++
					require.False(t, f.protected[a.Attempt])
					require.True(t, d.Closed("e1"))
				case OpenUpstream:
					require.True(t, wasClosed)
					require.False(t, wasLeaving && d.upstream("e1").leaving)
				}
			}
		}
	})
	require.Positive(t, orders)
	require.Positive(t, moves)
}
