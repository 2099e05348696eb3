// Package registrar is a stand-in for the platform's instance list, in memory and over HTTP.
package registrar

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/standin/switcher"
)

// errOutage is the error of every read during an outage.
var errOutage = eris.New("registrar: outage")

// Settings holds the list's initial faults.
type Settings struct {
	Faults Faults
}

// Faults are the list's fault switches.
type Faults struct {
	// Outage refuses every read.
	Outage bool `json:"outage"`
	// LagMS is the delay in milliseconds until a change is visible to readers.
	LagMS int `json:"lagMs"`
	// DelayMS delays every read by this many milliseconds.
	DelayMS int `json:"delayMs"`
}

// List is an instance list in memory whose changes become visible after a lag. It is safe for concurrent use.
type List struct {
	Switches *switcher.Switches[Faults]
	mutex    sync.Mutex
	visible  map[string]lister.Member
	pending  []change
}

var _ lister.List = (*List)(nil)

// change is an update of a member at a time, or its removal if removed is set.
type change struct {
	at      time.Time
	member  lister.Member
	removed bool
}

// NewList returns an empty list.
func NewList(settings Settings) *List {
	return &List{
		Switches: switcher.NewSwitches(settings.Faults, nil),
		visible:  map[string]lister.Member{},
	}
}

// Set adds or replaces a member; the change is visible to readers after the lag.
func (l *List) Set(member lister.Member) {
	l.queueChange(change{at: time.Now(), member: member})
}

// Remove removes a member; the change is visible to readers after the lag.
func (l *List) Remove(id string) {
	l.queueChange(change{at: time.Now(), member: lister.Member{ID: id}, removed: true})
}

func (l *List) queueChange(c change) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = append(l.pending, c)
}

// Members returns the members as they were one lag ago, sorted by id.
func (l *List) Members(ctx context.Context) ([]lister.Member, error) {
	faults := l.Switches.Get()
	if err := switcher.Sleep(ctx, faults.DelayMS); err != nil {
		return nil, eris.Wrap(err, "registrar: read members")
	}
	if faults.Outage {
		return nil, errOutage
	}
	lag := time.Duration(faults.LagMS) * time.Millisecond
	return l.membersAt(time.Now().Add(-lag)), nil
}

// membersAt applies the pending changes up to a time and returns the members, sorted by id.
func (l *List) membersAt(cutoff time.Time) []lister.Member {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.pending) > 0 && !l.pending[0].at.After(cutoff) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	ids := slices.Sorted(maps.Keys(l.visible))
	members := make([]lister.Member, 0, len(ids))
	for _, id := range ids {
		members = append(members, l.visible[id])
	}
	return members
}

func (l *List) apply(c change) {
	if c.removed {
		delete(l.visible, c.member.ID)
		return
	}
	l.visible[c.member.ID] = c.member
}
