package controller

import (
	"slices"
	"time"

	"rosemaryspool.example/core/fencer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
)

// readRecords applies a batch of records to the state and returns the resulting actions.
func (c *Controller) readRecords(e RecordsRead) []Action {
	if c.catchUpTo == 0 {
		c.catchUpTo = e.End
		c.snapshotAt = e.Now
	}
	var actions []Action
	for _, entry := range e.Entries {
		if c.restorer != nil {
			actions = append(actions, c.restore(e.Now, entry)...)
			continue
		}
		applied, err := c.state.Apply(entry.Offset, entry.Record)
		if err != nil {
			actions = append(actions, c.handleTrim(e.Now, entry.Offset)...)
			actions = append(actions, c.restore(e.Now, entry)...)
			continue
		}
		actions = append(actions, c.applyEffect(e.Now, applied)...)
	}
	if c.state.Next() >= c.catchUpTo && e.End != 0 {
		c.caughtUp = true
	}
	return append(actions, c.announce()...)
}

// applyEffect updates leases and orders with the effect of one record.
func (c *Controller) applyEffect(now time.Time, applied replayer.Applied) []Action {
	sent, own := c.outbox.remove(applied.Record)
	switch e := applied.Effect.(type) {
	case replayer.LeaseGranted:
		return convertDecisions(c.leases.Granted(now, applied.Record, e))
	case replayer.LeaseReleased:
		return convertDecisions(c.leases.Released(e))
	case replayer.IntentAccepted:
		return c.applySteps(now, c.orders.IntentAccepted(c.view(now), e.Order))
	case replayer.OrderClosed:
		return c.applySteps(now, c.orders.OutcomeRead(c.view(now), e))
	case replayer.PlanChanged:
		c.plansReadAt[identifier.UpstreamID(e.Plan.Change.GetUpstream())] = now
	case replayer.SnapshotTaken:
		c.snapshotAt = now
	case replayer.ConfigRefused:
		return []Action{ConfigChangeRefused(e)}
	case replayer.Skipped:
		if own && sent.order != nil {
			return c.applySteps(now, c.orders.IntentRefused(sent.order, string(e.Cause)+": "+e.Detail))
		}
	}
	return nil
}

// announce reports the revision in force, the plans and the draining upstreams if they changed. It reports nothing
// before this process has caught up with the log, so that no revision is served that would be replaced at once.
func (c *Controller) announce() []Action {
	if !c.caughtUp {
		return nil
	}
	var actions []Action
	if revision := c.state.Revision(); revision > c.inForce {
		c.inForce = revision
		actions = append(actions, ConfigInForce{Revision: revision, Digest: c.state.Digest(), Document: c.state.Document()})
	}
	next := c.state.PlansNext()
	if next == c.plansNext {
		return actions
	}
	c.plansNext = next
	actions = append(actions, PlansChanged{Plans: c.state.Plans()})
	if draining := c.state.Draining(); !slices.Equal(draining, c.draining) {
		c.draining = draining
		actions = append(actions, UpstreamsDraining{Upstreams: draining})
	}
	return actions
}

// handleTrim drops the leases of this process until a snapshot covers the records that it missed.
func (c *Controller) handleTrim(now time.Time, first identifier.Offset) []Action {
	if first <= c.NextOffset() {
		return nil
	}
	c.state.MarkIncomplete()
	c.restorer = replayer.NewRestorer(c.settings.Environment, c.settings.Compile, first)
	actions := append(convertDecisions(c.leases.Abandon()), HistoryIncomplete{First: first})
	return append(actions, c.applySteps(now, c.dropRequests(now))...)
}

// dropRequests closes the order requests whose intent was not read back yet.
func (c *Controller) dropRequests(now time.Time) []fencer.Step {
	c.outbox.dropStale(func(identifier.Scope, identifier.Token) bool { return false })
	return c.orders.Advance(c.view(now))
}

// restore passes a record to the restorer and adopts its state once a snapshot covers the gap.
func (c *Controller) restore(now time.Time, entry replayer.Entry) []Action {
	if entry.Offset > c.restorer.Next() {
		c.restorer = replayer.NewRestorer(c.settings.Environment, c.settings.Compile, entry.Offset)
	}
	restored := c.restorer.Offer(entry.Offset, entry.Record)
	if restored == nil || restored.Revision() < c.state.Revision() {
		return nil
	}
	return c.replaceState(now, restored)
}

// replaceState replaces the state by a complete one of the same or a later revision.
func (c *Controller) replaceState(now time.Time, state *replayer.State) []Action {
	c.state = state
	c.candidaciesNext = 0
	c.restorer = nil
	for _, p := range state.Plans() {
		c.plansReadAt[identifier.UpstreamID(p.Change.GetUpstream())] = now
	}
	actions := convertDecisions(c.leases.Reset(now, state.Leases()))
	actions = append(actions, HistoryRestored{Next: state.Next()})
	return append(actions, c.applySteps(now, c.dropRequests(now))...)
}

// loadSnapshot adopts a peer's state if it is newer. It never returns to a lower revision.
func (c *Controller) loadSnapshot(e SnapshotLoaded) []Action {
	state, err := replayer.Decode(
		c.settings.Environment, c.settings.Compile, e.Snapshot.GetState(), e.Snapshot.GetChecksum(),
	)
	if err != nil || state.Revision() < c.state.Revision() {
		return nil
	}
	if c.restorer != nil {
		continued := c.restorer.Continue(state)
		if continued == nil {
			return nil
		}
		return append(c.replaceState(e.Now, continued), c.announce()...)
	}
	if state.Next() <= c.state.Next() {
		return nil
	}
	if !state.Complete() {
		return c.loadIncomplete(state)
	}
	actions := c.replaceState(e.Now, state)
	c.caughtUp = true
	return append(actions, c.announce()...)
}

// loadIncomplete adopts the configuration of a peer whose own history is incomplete, which is better than none.
func (c *Controller) loadIncomplete(state *replayer.State) []Action {
	if c.state.Next() > 1 {
		return nil
	}
	c.state = state
	c.candidaciesNext = 0
	c.restorer = replayer.NewRestorer(c.settings.Environment, c.settings.Compile, state.Next())
	c.caughtUp = true
	return append([]Action{HistoryIncomplete{First: state.Next()}}, c.announce()...)
}
