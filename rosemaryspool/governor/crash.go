package governor

import (
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/tracker"
)

func processOf(e tracker.Entry) isolator.Process {
	return isolator.Process{Upstream: e.Upstream, Incarnation: e.Incarnation}
}

// RecordBroken records that a request with these traits, sent at a time, broke off at an upstream before it was answered.
// It returns true if the caller should find out whether the upstream has ended. Upstreams that leave end anyway.
func (g *Governor) RecordBroken(now, sentAt time.Time, e tracker.Entry, traits []isolator.Trait) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if listed, found := g.allocator.Entry(e.Upstream); !found || listed.Leaving || listed.Incarnation != e.Incarnation {
		return false
	}
	defer g.isolationChanged("")
	return g.isolator.Broken(now, sentAt, processOf(e), traits)
}

// RecordEnd records that an upstream has ended without notice.
func (g *Governor) RecordEnd(now time.Time, e tracker.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.Warn().Str("event", "upstreamCrashed").Str("upstream", string(e.Upstream)).
		Uint64("incarnation", e.Incarnation).Msg("Upstream has ended while it ran requests")
	g.isolator.Ended(now, processOf(e))
	g.resumer.Refused(resumer.Refusal{Upstream: e.Upstream, Incarnation: e.Incarnation, At: now})
	g.isolationChanged("")
}

// OtherUpstreams returns the upstreams of all services that are not known to have crashed, without one. If none of them can be
// reached either, the fault is likely to lie on the path from this instance.
func (g *Governor) OtherUpstreams(e tracker.Entry) []tracker.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []tracker.Entry
	for _, other := range g.tracker.Entries() {
		if other.Upstream != e.Upstream && !g.isolator.Crashed(processOf(other)) {
			others = append(others, other)
		}
	}
	return others
}

// RecordSurvival records that an upstream has not ended.
func (g *Governor) RecordSurvival(e tracker.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolator.Survived(processOf(e))
}

// RecordAnswer records that an upstream has answered a request with these traits.
func (g *Governor) RecordAnswer(now time.Time, e tracker.Entry, traits []isolator.Trait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolator.Answered(now, processOf(e), traits)
	g.logIsolation("")
}

// RefuseQuarantined returns the refusal of a request that this instance itself knows to crash upstreams; nil if it does
// not.
func (g *Governor) RefuseQuarantined(now time.Time, request allocator.Request) *allocator.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v := g.isolator.Check(now, request.Traits(), 1); v.Status == isolator.Quarantined {
		return &allocator.Refusal{Reason: allocator.ReasonQuarantined, RetryAfter: v.Wait, Arbiter: g.self.Instance}
	}
	return nil
}

// isolation is what the traits of a request allow: refusal is nil if it may be placed, at an upstream other than trials if
// it would be a trial itself.
type isolation struct {
	verdict isolator.Verdict
	refusal *allocator.Refusal
	trials  []identifier.UpstreamID
}

// isolate checks the traits of a request. It changes nothing. The governor's mutex must be held.
func (g *Governor) isolate(now time.Time, request allocator.Request) isolation {
	deciders := 1
	if request.RateShare < 1 {
		// Other instances place requests too.
		deciders = g.instances
	}
	i := isolation{verdict: g.isolator.Check(now, request.Traits(), deciders)}
	switch {
	case i.verdict.Status == isolator.Quarantined:
		i.refusal = &allocator.Refusal{Reason: allocator.ReasonQuarantined, RetryAfter: i.verdict.Wait}
	case i.verdict.Wait > 0:
		i.refusal = &allocator.Refusal{Reason: allocator.ReasonSuspected, RetryAfter: i.verdict.Wait}
	case i.verdict.Status == isolator.Suspected:
		i.trials = g.isolator.Trials(now)
	}
	return i
}

// reason returns why a request is refused that could be placed nowhere for the given reason.
func (i isolation) reason(r allocator.Reason) allocator.Reason {
	if r == allocator.ReasonNoUpstream && len(i.trials) > 0 {
		return allocator.ReasonSuspected
	}
	return r
}

// placeIsolated places a request unless its traits forbid that. Of the requests with a suspected trait, one after the
// other is placed as a trial, at an upstream that runs no other one. The governor's mutex must be held.
func (g *Governor) placeIsolated(
	now time.Time, request allocator.Request, place func(allocator.Request) (allocator.Placement, *allocator.Refusal),
) (allocator.Placement, *allocator.Refusal) {
	i := g.isolate(now, request)
	if i.refusal != nil {
		return allocator.Placement{}, i.refusal
	}
	request.Excluded = append(slices.Clip(request.Excluded), i.trials...)
	placement, refusal := place(request)
	switch verdict := i.verdict; {
	case refusal != nil:
		refusal.Reason = i.reason(refusal.Reason)
	case verdict.Status == isolator.Suspected:
		g.isolator.Tried(now, placement.Upstream, request.Traits())
		g.log.Info().Str("event", "traitTried").Str("trait", verdict.Trait.String()).Int("crashes", verdict.Crashes).
			Str("upstream", string(placement.Upstream)).Msg("Request that may crash its upstream is tried")
	}
	return placement, refusal
}

// IsolatedTraits returns the traits that are suspected or quarantined.
func (g *Governor) IsolatedTraits(now time.Time) []isolator.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolator.List(now)
}

// ReleaseTrait has requests with a trait sent again, as an operator wants. It returns false if there is no evidence against
// the trait.
func (g *Governor) ReleaseTrait(now time.Time, t isolator.Trait) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	released := g.isolator.Release(now, t)
	g.isolationChanged("")
	return released
}

// TakeCrashReport returns the report about crashes that is due now, and the instances that get it.
func (g *Governor) TakeCrashReport(now time.Time) (isolator.Report, []elector.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.isolator.TakeReport(now)
	if r.IsEmpty() {
		return r, nil
	}
	return r, g.elector.Others()
}

// TakeCrashReply returns the answers that another instance lacks which has reported crashes. It returns false if there are
// none.
func (g *Governor) TakeCrashReply(now time.Time) (isolator.Report, elector.Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, id := g.isolator.TakeReply(now)
	to, known := g.elector.Member(id)
	return r, to, known && !r.IsEmpty()
}

// CrashDigest returns a hash of all that this instance knows of crashes.
func (g *Governor) CrashDigest(now time.Time) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolator.Digest(now)
}

// CrashKnowledge returns all that this instance knows of crashes.
func (g *Governor) CrashKnowledge(now time.Time) isolator.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolator.Knowledge(now)
}

// Others returns the other instances.
func (g *Governor) Others() []elector.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.Others()
}

// ApplyCrashReport applies what another instance knows of crashes.
func (g *Governor) ApplyCrashReport(now time.Time, sender identifier.InstanceID, r isolator.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolator.Learn(now, sender, r)
	for _, c := range r.Crashes {
		g.resumer.LearnRefusals(resumer.Refusal{
			Upstream: c.Process.Upstream, Incarnation: c.Process.Incarnation, At: c.At,
		})
	}
	g.isolationChanged(sender)
}

// maxUnsaved bounds the changes of quarantines that wait to be saved.
const maxUnsaved = 256

// QuarantinesChanged receives a value when a trait has become quarantined or free again.
func (g *Governor) QuarantinesChanged() <-chan struct{} { return g.quarantines }

// TakeQuarantineChanges returns the changes that this instance is to save: the first reader of the store saves them for all.
func (g *Governor) TakeQuarantineChanges(now time.Time) []isolator.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	taken := g.unsaved
	g.unsaved = nil
	if g.elector.Rank(now, readerDuty) > 0 {
		return nil
	}
	return taken
}

// RestoreQuarantines applies what the store has.
func (g *Governor) RestoreQuarantines(now time.Time, quarantines []isolator.Quarantine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolator.Restore(now, quarantines)
	g.logIsolation("store")
	g.unsaved = nil
}

// noteUnsaved has a change of a quarantine saved. The governor's mutex must be held.
func (g *Governor) noteUnsaved(c isolator.Change) {
	if c.Status != isolator.Quarantined && !c.WasHeld || len(g.unsaved) >= maxUnsaved {
		return
	}
	g.unsaved = append(g.unsaved, c)
	select {
	case g.quarantines <- struct{}{}:
	default:
		// A value is pending already.
	}
}

// isolationChanged logs what has changed and has it reported. The governor's mutex must be held.
func (g *Governor) isolationChanged(sender identifier.InstanceID) {
	g.logIsolation(sender)
	g.signal()
}

// logIsolation logs the traits whose status has changed. sender is the instance whose report changed it; empty for this
// instance. The governor's mutex must be held.
func (g *Governor) logIsolation(sender identifier.InstanceID) {
	for _, c := range g.isolator.TakeChanges() {
		g.noteUnsaved(c)
		if c.Status == isolator.Free {
			g.log.Info().Str("event", "traitReleased").Str("trait", c.Trait.String()).Str("sender", string(sender)).
				Msg("Requests with a trait no longer count as crashing upstreams")
			continue
		}
		line := g.log.Warn().Str("event", "traitIsolated").Str("trait", c.Trait.String()).
			Str("status", c.Status.String()).Int("crashes", c.Crashes).Str("sender", string(sender)).
			Array("processes", processList(c.Processes))
		if c.Status == isolator.Quarantined {
			line = line.Dur("leftMs", time.Until(c.Until))
		}
		line.Msg("Requests with a trait seem to crash upstreams")
	}
}

// processList is logged as an array of id:incarnation.
type processList []isolator.Process

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l processList) MarshalZerologArray(a *zerolog.Array) {
	for _, p := range l {
		a.Str(string(p.Upstream) + ":" + strconv.FormatUint(p.Incarnation, 10))
	}
}
