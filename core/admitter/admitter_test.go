package admitter

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestCallerLimitIsDividedAmongInstances(t *testing.T) {
	a := NewAdmitter(DefaultSettings())
	a.SetInstances(2)
	a.SetLimit("c", 10, 4)
	admitted := 0
	for i := range 1000 {
		if d, wait := a.Admit(start.Add(time.Duration(i)*10*time.Millisecond), "c", true, 0.1); d == Admitted {
			admitted++
		} else {
			require.Equal(t, OverLimit, d)
			require.Positive(t, wait)
		}
	}
	require.InDelta(t, 2+10*5, admitted, 1, "half of the burst, then half of the rate for ten seconds")
	d, _ := a.Admit(start, "free", true, 0.1)
	require.Equal(t, Admitted, d)
}

func TestFairShareAppliesOnlyUnderOverload(t *testing.T) {
	cases := []struct {
		name     string
		shed     bool
		urgent   bool
		heavy    bool
		expected Decision
	}{
		{"no overload", false, false, true, Admitted},
		{"heavy caller under overload", true, false, true, OverFairShare},
		{"light caller under overload", true, false, false, Admitted},
		{"urgent requests are exempt", true, true, true, Admitted},
	}
	for _, c := range cases {
		a := NewAdmitter(DefaultSettings())
		for i := range 20 {
			a.Admit(start, identifier.CallerID("c"+strconv.Itoa(i)), false, 1)
			a.Admit(start, "heavy", false, 5)
			a.RecordDecision(start, c.shed)
		}
		caller := identifier.CallerID("c1")
		if c.heavy {
			caller = "heavy"
		}
		d, _ := a.Admit(start, caller, c.urgent, 1)
		require.Equal(t, c.expected, d, c.name)
	}
}

func TestAccountsAreBounded(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxCallers = 10
	a := NewAdmitter(settings)
	for i := range 100 {
		a.Admit(start, identifier.CallerID(strconv.Itoa(i)), true, 1)
	}
	require.Len(t, a.accounts.byCaller, 10)
	require.Equal(t, identifier.CallerID("90"), a.accounts.oldest.id)
}

func TestQueueOrderAndOverflow(t *testing.T) {
	q := NewQueue(3)
	push := func(
		id identifier.RequestID, priority identifier.Priority, deadline time.Duration,
	) (identifier.RequestID, bool) {
		return q.Push(Waiter{Request: id, Priority: priority, Deadline: start.Add(deadline)})
	}
	push("late", 5, 9*time.Second)
	push("soon", 5, 1*time.Second)
	push("bulk", 1, 1*time.Second)
	require.Equal(t, []identifier.RequestID{"soon", "late", "bulk"}, q.Ordered())
	evicted, full := push("urgent", 9, 20*time.Second)
	require.True(t, full)
	require.Equal(t, identifier.RequestID("bulk"), evicted)
	q.Remove("soon")
	require.Equal(t, []identifier.RequestID{"urgent", "late"}, q.Ordered())
}

func BenchmarkAdmit(b *testing.B) {
	a := NewAdmitter(DefaultSettings())
	ids := make([]identifier.CallerID, 20_000)
	for i := range ids {
		ids[i] = identifier.CallerID("caller-" + strconv.Itoa(i))
		a.SetLimit(ids[i], 100, 10)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		a.Admit(start.Add(time.Duration(i)*time.Millisecond), ids[i*7919%len(ids)], i%2 == 0, 0.1)
		i++
	}
}

func TestDefaultCallerLimit(t *testing.T) {
	cases := []struct {
		name   string
		set    func(*Admitter)
		caller identifier.CallerID
		second Decision
	}{
		{"caller without a limit of its own", func(*Admitter) {}, "new", OverLimit},
		{"own limit of zero: unlimited", func(a *Admitter) { a.SetLimit("c", 0, 0) }, "c", Admitted},
		{"larger limit of its own", func(a *Admitter) { a.SetLimit("c", 10, 2) }, "c", Admitted},
		{"own limit removed", func(a *Admitter) { a.SetLimit("c", 0, 0); a.RemoveLimit("c") }, "c", OverLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := NewAdmitter(DefaultSettings())
			a.SetLimit(identifier.DefaultCaller, 1, 1)
			c.set(a)
			first, _ := a.Admit(start, c.caller, true, 0)
			require.Equal(t, Admitted, first)
			second, _ := a.Admit(start, c.caller, true, 0)
			require.Equal(t, c.second, second)
		})
	}
}

func TestNewLimitStartsWithFullBurst(t *testing.T) {
	a := NewAdmitter(DefaultSettings())
	a.SetLimit("c", 1, 1)
	a.Admit(start, "c", true, 0)
	refused, _ := a.Admit(start, "c", true, 0)
	require.Equal(t, OverLimit, refused)
	a.SetLimit("c", 40, 120)
	admitted, _ := a.Admit(start, "c", true, 0)
	require.Equal(t, Admitted, admitted)
}
