package governor

import (
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// readerDuty is to read the store for the instances of a data centre.
const readerDuty elector.Duty = "reader"

// ArbiterDuty is to place the requests of a service for all instances.
func ArbiterDuty(service identifier.ServiceName) elector.Duty {
	return elector.Duty("arbiter/" + string(service))
}

// Self returns the record of this instance.
func (g *Governor) Self() elector.Member { return g.self }

// SetMember adds another instance or replaces its record.
func (g *Governor) SetMember(now time.Time, m elector.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.setMember(now, m) {
		g.countInstances(now)
	}
}

// setMember adds another instance or replaces its record, and reports whether that changed anything. The governor's mutex
// must be held.
func (g *Governor) setMember(now time.Time, m elector.Member) bool {
	known, found := g.elector.Member(m.Instance)
	if !g.elector.SetMember(now, m) {
		return false
	}
	if found && known.StartedMs != m.StartedMs {
		// Reports of the new process name no requests of the earlier one.
		g.allocator.ForgetGrants(m.Instance)
	}
	return true
}

// IsCurrent reports whether a record is of the latest process of another instance, as far as is known.
func (g *Governor) IsCurrent(m elector.Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.IsCurrent(m)
}

// MembersListed records that all instances in the store's list of members are known.
func (g *Governor) MembersListed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.membersListed = true
	g.budgeter.SetInstances(now, g.elector.Count())
}

// countInstances updates the number of instances that share limits. The governor's mutex must be held.
func (g *Governor) countInstances(now time.Time) {
	count := g.elector.Count()
	if count == g.instances {
		return
	}
	g.instances = count
	if g.membersListed {
		g.budgeter.SetInstances(now, count)
	}
	g.log.Info().Str("event", "instancesCounted").Int("instances", count).Msg("Number of instances changed")
}

// Member returns the record of an instance, and false if it is unknown.
func (g *Governor) Member(id identifier.InstanceID) (elector.Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.Member(id)
}

// SetWarming sets whether this instance has started recently.
func (g *Governor) SetWarming(now time.Time, warming bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.elector.SetWarming(now, warming)
}

// Heard records a datagram of another instance, whose record it contains.
func (g *Governor) Heard(now time.Time, m elector.Member, leaving, warming bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setMember(now, m)
	if !g.elector.IsCurrent(m) {
		// What an earlier process has sent says nothing about the one that runs now.
		return
	}
	g.elector.Heard(now, m.Instance, leaving, warming)
	g.countInstances(now)
}

// Suspect records that another instance didn't answer.
func (g *Governor) Suspect(now time.Time, id identifier.InstanceID, cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.elector.Suspect(now, id) {
		g.log.Warn().Str("event", "peerSuspected").Str("peer", string(id)).Str("cause", cause).
			Msg("Instance did not answer and is passed over for a while")
	}
}

// Arbiters returns the first instances in the order in which they place a service's requests.
func (g *Governor) Arbiters(now time.Time, service identifier.ServiceName, limit int) []elector.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.Trusted(now, ArbiterDuty(service), limit)
}

// arbitrates reports whether this instance is a service's arbiter. The governor's mutex must be held.
func (g *Governor) arbitrates(now time.Time, service identifier.ServiceName) bool {
	first := g.elector.Trusted(now, ArbiterDuty(service), 1)
	return len(first) > 0 && first[0].Instance == g.self.Instance
}

// stewardDuty is to make the calls to the platform that one instance at a time makes.
const stewardDuty elector.Duty = "steward"

// Stewards returns the first instances in the order in which they hold the duties' leases.
func (g *Governor) Stewards(limit int) []elector.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.First(stewardDuty, limit)
}

// ArbitratedEngines returns the engines whose memory size is unknown, of the services that this instance arbitrates.
func (g *Governor) ArbitratedEngines(now time.Time) []tracker.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var entries []tracker.Entry
	for _, service := range g.allocator.Services() {
		if g.arbitrates(now, service) {
			entries = append(entries, g.allocator.EnginesWithoutMemory(now, service)...)
		}
	}
	return entries
}

// SetMemory sets how many tokens fit into an engine's memory.
func (g *Governor) SetMemory(e tracker.Entry, tokens identifier.Tokens) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocator.SetMemory(e.Upstream, e.Incarnation, tokens)
}

// ReaderRank returns how many instances of this data centre read the store before this one.
func (g *Governor) ReaderRank(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.Rank(now, readerDuty)
}

// Source returns the instance that this one asks for what it has read of the store, another one with each try. It returns
// false if there is none.
func (g *Governor) Source(now time.Time, try int) (elector.Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.Source(now, readerDuty, try)
}

// Neighbours returns the other instances of this data centre.
func (g *Governor) Neighbours() []elector.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.Neighbours()
}
