package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func observed(id identifier.UpstreamID, role identifier.Role, at time.Duration) EngineObserved {
	return EngineObserved{
		Now: start.Add(at), Upstream: id, Model: "m", Version: "v1", Role: role, Healthy: true,
		Sequences: 10, MaxBatch: 10, PrefillPerSecond: 1000, DecodeStep: 20 * time.Millisecond,
	}
}

// runSeconds sends engine reports, demand and a tick for each second in [from, to) and returns the actions.
func runSeconds(
	p *Placer, roles map[identifier.UpstreamID]identifier.Role, from, to time.Duration, prefill, output identifier.Tokens,
) []Action {
	var actions []Action
	for at := from; at < to; at += time.Second {
		for _, id := range []identifier.UpstreamID{"e1", "e2", "e3", "e4"} {
			if role, ok := roles[id]; ok {
				actions = append(actions, p.Handle(observed(id, role, at))...)
			}
		}
		now := start.Add(at)
		actions = append(actions, p.Handle(DemandObserved{
			Now: now, Model: "m", Period: time.Second, Prefill: prefill, Output: output,
		})...)
		actions = append(actions, p.Handle(Ticked{Now: now})...)
	}
	return actions
}

func TestRoleChangesOnlyWhenGainExceedsCost(t *testing.T) {
	split := map[identifier.UpstreamID]identifier.Role{
		"e1": identifier.RolePrefill, "e2": identifier.RoleDecode, "e3": identifier.RoleDecode, "e4": identifier.RoleDecode,
	}
	mixed := map[identifier.UpstreamID]identifier.Role{
		"e1": identifier.RoleMixed, "e2": identifier.RoleMixed, "e3": identifier.RoleMixed,
	}
	last := map[identifier.UpstreamID]identifier.Role{"e1": identifier.RolePrefill, "e2": identifier.RoleDecode}
	cases := []struct {
		name    string
		roles   map[identifier.UpstreamID]identifier.Role
		lease   bool
		prefill identifier.Tokens
		output  identifier.Tokens
		length  time.Duration
		drained int
	}{
		{"prefill capacity too low", split, true, 2500, 200, time.Minute, 1},
		{"enough capacity for both phases", split, true, 900, 900, time.Minute, 0},
		{"demand too short", split, true, 2500, 200, 10 * time.Second, 0},
		{"no lease", split, false, 2500, 200, time.Minute, 0},
		{"mixed engines need no change", mixed, true, 2500, 100, time.Minute, 0},
		{"last engine of each role", last, true, 2500, 100, time.Minute, 0},
	}
	for _, c := range cases {
		p := NewPlacer(DefaultSettings())
		p.Handle(LeaseChanged{Now: start, Held: c.lease})
		drained := 0
		for _, a := range runSeconds(p, c.roles, 0, c.length, c.prefill, c.output) {
			if d, ok := a.(DrainEngine); ok {
				require.NotEqual(t, identifier.RolePrefill, c.roles[d.Upstream], c.name)
				drained++
			}
		}
		require.Equal(t, c.drained, drained, c.name)
	}
}

func startRoleChange(t *testing.T) (*Placer, identifier.UpstreamID) {
	t.Helper()
	p := NewPlacer(DefaultSettings())
	p.Handle(LeaseChanged{Now: start, Held: true})
	split := map[identifier.UpstreamID]identifier.Role{
		"e1": identifier.RolePrefill, "e2": identifier.RoleDecode, "e3": identifier.RoleDecode,
	}
	for _, a := range runSeconds(p, split, 0, 30*time.Second, 2500, 100) {
		if d, ok := a.(DrainEngine); ok {
			return p, d.Upstream
		}
	}
	require.Fail(t, "no change was started")
	return nil, ""
}

func TestChangeDrainsThenOrdersThenProbes(t *testing.T) {
	p, id := startRoleChange(t)
	empty := observed(id, identifier.RoleDecode, 40*time.Second)
	empty.Sequences = 0
	p.Handle(empty)
	actions := p.Handle(Ticked{Now: start.Add(40 * time.Second)})
	require.Len(t, actions, 1)
	order := actions[0].(OrderRole)
	require.Equal(t, id, order.Upstream)
	require.Empty(t, p.Handle(OrderClosed{Now: start.Add(48 * time.Second), Upstream: id, Done: true}))
	p.Handle(observed(id, order.Role, 50*time.Second))
	actions = p.Handle(Ticked{Now: start.Add(50 * time.Second)})
	require.Len(t, actions, 1)
	require.Equal(t, id, actions[0].(RestoreEngine).Upstream)
}

func TestChangeIsAborted(t *testing.T) {
	p, id := startRoleChange(t)
	cases := []struct {
		name  string
		event Event
		at    time.Duration
	}{
		{"drain timeout", observed(id, identifier.RoleDecode, 3*time.Minute), 3 * time.Minute},
	}
	for _, c := range cases {
		p.Handle(c.event)
		actions := p.Handle(Ticked{Now: start.Add(c.at)})
		require.Len(t, actions, 1, c.name)
		require.Equal(t, id, actions[0].(RestoreEngine).Upstream, c.name)
	}
}

func TestVersionUpdateRequestsPermitAndKeepsCapacity(t *testing.T) {
	p := NewPlacer(DefaultSettings())
	p.Handle(LeaseChanged{Now: start, Held: true})
	roles := map[identifier.UpstreamID]identifier.Role{"e1": identifier.RoleMixed, "e2": identifier.RoleMixed}
	p.Handle(TargetVersionSet{Now: start, Model: "m", Version: "v2"})
	require.Empty(t, runSeconds(p, roles, 0, 30*time.Second, 1500, 100), "load too high to take an engine out of service")
	actions := runSeconds(p, roles, 30*time.Second, 3*time.Minute, 10, 10)
	require.Equal(t, []Action{RequestPermit{Upstream: "e1", Model: "m", Version: "v2"}}, actions)
	now := start.Add(3 * time.Minute)
	require.Empty(t, p.Handle(PermitDecided{Now: now, Upstream: "e1", RetryAfter: 5 * time.Second}))
	require.Empty(t, p.Handle(Ticked{Now: now.Add(time.Second)}))
	require.IsType(t, RequestPermit{}, p.Handle(Ticked{Now: now.Add(6 * time.Second)})[0])
	require.IsType(t, DrainEngine{}, p.Handle(PermitDecided{
		Now: now.Add(7 * time.Second), Upstream: "e1", Granted: true,
	})[0])
}
