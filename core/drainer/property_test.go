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
func (m *model) drawEvent(t *rapid.T, d *Drainer) Event {
	m.now += rapid.Float64Range(0, 4).Draw(t, "elapsed")
	now := at(m.now)
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		// An instance sends no new work to closed upstreams.
		if d.Closed("e1") {
			return Ticked{Now: now}
		}
		m.started++
		attempt := identifier.AttemptID(fmt.Sprint("w", m.started))
		m.protected[attempt] = rapid.Bool().Draw(t, "protected")
		return WorkStarted{Now: now, Upstream: "e1", Attempt: attempt, Protected: m.protected[attempt]}
	case 1, 2:
		if len(m.protected) == 0 {
			return Ticked{Now: now}
		}
		attempt := slices.Min(slices.Collect(maps.Keys(m.protected)))
		delete(m.protected, attempt)
		return WorkEnded{Now: now, Attempt: attempt}
	case 3:
		m.orders++
		return ChangeRequested{
			Now: now, Scope: "s", Order: &messenger.EngineOrder{OrderId: fmt.Sprint("o", m.orders), Engine: "e1"},
		}
	case 4, 5:
		m.lastBusy = rapid.Bool().Draw(t, "busy") || len(m.protected) > 0
		running := 0
		if m.lastBusy {
			running = 1
		}
		return ReportReceived{
			Now: now, Upstream: "e1", Running: running, Leaving: rapid.IntRange(0, 19).Draw(t, "leaving") == 0,
		}
	case 6:
		return PlansUpdated{Now: now, Plans: m.plan}
	case 7:
		return OrderClosed{
			Now: now, Order: identifier.OrderID(fmt.Sprint("o", m.orders)), Result: messenger.OrderResult_ORDER_RESULT_DONE,
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
		m := &model{protected: map[identifier.AttemptID]bool{}}
		for range 200 {
			event := m.drawEvent(t, d)
			wasClosed, wasLeaving := d.Closed("e1"), d.upstream("e1").leaving
			for _, action := range d.Handle(event) {
				switch a := action.(type) {
				case AppendPlannedChange:
					m.plan = []*messenger.PlannedChange{a.Change}
				case RequestOrder:
					orders++
					require.Empty(t, m.protected)
					require.False(t, m.lastBusy)
					require.True(t, d.Closed("e1"))
				case MoveAttempt:
					moves++
					require.False(t, m.protected[a.Attempt])
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
