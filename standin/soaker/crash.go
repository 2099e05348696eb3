package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/standin/emulator"
)

const (
	// fatalCallers is the number of callers that send fatal requests, fatalOneIn how many of their requests are fatal.
	fatalCallers = 2
	fatalOneIn   = 4
	// fatalPart is the part of prompts that crashes engines, fatalURI the lookup that crashes plain upstreams.
	fatalPart = "fa7a1"
	fatalURI  = "/lookups/fatal"
	// downtime is how long a crashed upstream is away.
	downtime = 1500 * time.Millisecond
	// partCrashes and requestCrashes are the crashes after which a part and a request are to be known. contactTime later,
	// maxLateFatal of them may still reach an upstream.
	partCrashes    = 5
	requestCrashes = 3
	contactTime    = 3 * time.Second
	maxLateFatal   = 3
)

// crash is the end of an upstream under a fatal request.
type crash struct {
	service string
	at      time.Time
}

// isFatal reports whether a run crashes its upstream.
func isFatal(r emulator.Run) bool {
	return r.URI == fatalURI || strings.Contains(r.Header.Get(emulator.HeaderPrompt), fatalPart+":")
}

// makeFatal makes some requests of a caller fatal: a stream by a part of its prompt, a lookup by what it asks for.
func (c *caller) makeFatal(a *attempt) {
	switch {
	case c.random.IntN(fatalOneIn) != 0:
	case a.kind.stream:
		a.part = fatalPart
	case a.kind.name == "lookups":
		a.uri = fatalURI
	}
}

// watchCrash replaces an upstream that crashes, at another address and under another id.
func (s *Soaker) watchCrash(b *backend) {
	crashed := b.upstream.CrashOn(isFatal)
	s.replacing.Go(func() {
		select {
		case <-crashed:
		case <-s.closed:
			return
		}
		at := time.Now()
		b.crashed.Store(true)
		s.markEnded(b)
		b.proxy.close()
		s.log.Info().Str("event", "upstreamCrashed").Str("upstream", b.upstream.ID).Msg("Upstream crashed")
		s.mu.Lock()
		s.crashes = append(s.crashes, crash{service: b.service, at: at})
		s.started++
		id := fmt.Sprintf("%s-r%d", strings.Split(b.upstream.ID, "-")[0], s.started)
		s.mu.Unlock()
		s.recordDisturbance(b.upstream.ID, at.Add(-time.Second), at.Add(downtime))
		time.Sleep(downtime)
		s.store.Put(emulator.TopicServers, b.upstream.ID, nil)
		select {
		case <-s.closed:
			return
		default:
		}
		if err := s.addBackend(id, b.service, b.upstream.Stage); err != nil {
			s.log.Error().Err(err).Str("event", "upstreamMissing").Str("upstream", id).Msg("Can't replace a crashed upstream")
		}
	})
}

// auditContainment checks that few fatal requests of undisturbed gateways reach upstreams once their crashes suffice, and
// that no other request is refused as fatal.
func (h *history) auditContainment(sent map[string]*attempt) []Violation {
	var violations []Violation
	for _, a := range h.attempts {
		if a.part != fatalPart && a.uri != fatalURI && a.status == 503 && strings.HasPrefix(a.content, "quarantined") {
			violations = append(violations, Violation{InvariantSound, a.id, "refused as a request that crashes upstreams"})
		}
	}
	for _, c := range []struct {
		model  bool
		needed int
	}{{true, partCrashes}, {false, requestCrashes}} {
		known, found := h.knownSince(c.model, c.needed)
		if !found {
			continue
		}
		var late []string
		for _, r := range h.arrivals {
			a := sent[r.Header.Get(emulator.HeaderAttempt)]
			if a != nil && isFatal(r.Run) && (r.service == modelService) == c.model && !r.rejected &&
				r.At.After(known.Add(contactTime)) && h.gatewayUndisturbed(a.instance, r.At.Add(-settleTime), r.At) {
				late = append(late, a.id)
			}
		}
		if len(late) > maxLateFatal {
			violations = append(violations, Violation{
				InvariantContained, strings.Join(late, " "), fmt.Sprintf("reached upstreams after %d crashes", c.needed),
			})
		}
	}
	return violations
}

// knownSince returns when as many upstreams as needed had crashed. What is known is lost when all gateways are disturbed at
// one time; the crashes are then counted anew.
func (h *history) knownSince(model bool, needed int) (known time.Time, found bool) {
	crashes := slices.Clone(h.crashes)
	slices.SortFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	count, forgotten := 0, h.lastForgotten()
	for _, c := range crashes {
		if (c.service == modelService) != model || !c.at.After(forgotten) {
			continue
		}
		if count++; count == needed {
			return c.at, true
		}
	}
	return time.Time{}, false
}

// lastForgotten returns the end of the last time at which all gateways were disturbed.
func (h *history) lastForgotten() time.Time {
	var last time.Time
	for _, d := range h.disturbances {
		all := true
		for i := range h.instances {
			all = all && !h.gatewayUndisturbed(i, d.from, d.from.Add(time.Millisecond))
		}
		if all && d.to.After(last) {
			last = d.to
		}
	}
	return last
}

// gatewayUndisturbed reports whether an instance was not itself disturbed in a period; the store may have been.
func (h *history) gatewayUndisturbed(instance int, from, to time.Time) bool {
	return h.subjectUndisturbed(instanceSubject(instance), from, to)
}
