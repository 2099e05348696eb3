package surveyor

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// Times of the surveyed deployment on its own clock.
const (
	// turn is the grain of time; an append is read back one turn later.
	turn            = 20 * time.Millisecond
	controllerEvery = 250 * time.Millisecond
	// warmUp lets the leases settle. Without calls a survey lasts longer, so that it covers two snapshots by age.
	warmUp       = 20 * time.Second
	surveyedTime = 30 * time.Second
	restTime     = 20 * time.Minute
	// callsPerSecond is the load of non-idempotent calls, and serviceTime how long one runs.
	callsPerSecond = 100
	serviceTime    = 200 * time.Millisecond
)

// laneKey tells which records may share an append.
type laneKey struct {
	claims  bool
	urgency throttler.Urgency
}

// lane collects records and the confirmations that they are owed.
type lane struct {
	records [][]byte
	owed    []func(identifier.Offset)
	failed  []func()
}

// ending is a dispatch that ends at a time.
type ending struct {
	at      time.Time
	attempt identifier.AttemptID
}

// member is one instance's decision makers with its budget of appends.
type member struct {
	deployment *deployment
	control    *controller.Controller
	claims     *deduplicator.Deduplicator
	budget     *throttler.Throttler[laneKey]
	lanes      map[laneKey]*lane
	endings    []ending
	tickAt     time.Time
	dead       bool
}

// deployment runs instances on two streams with explicit time.
type deployment struct {
	now             time.Time
	control, claims *ledger
	members         []*member
	// logDown keeps appends from the log; reads then find nothing new.
	logDown  bool
	calls    int
	replies  int
	refusals int
}

func newDeployment(instances, scopes int) *deployment {
	d := &deployment{now: start, control: newLedger(), claims: newLedger()}
	for i := range instances {
		id := identifier.InstanceID(fmt.Sprintf("instance-%d", i+1))
		const incarnation = "0192f3a4b5c6d7e8"
		m := &member{
			deployment: d,
			control:    controller.NewController(controller.NewSettings("trial", id, incarnation, nil)),
			claims:     deduplicator.NewDeduplicator(deduplicator.NewSettings(id, incarnation, "claims")),
			budget:     throttler.NewThrottler[laneKey](throttler.DefaultAppendsPerSecond, throttler.DefaultBurst),
			lanes:      map[laneKey]*lane{},
		}
		d.members = append(d.members, m)
		for s := range scopes - 1 {
			scope := scopeName(s)
			m.runControl(m.control.Handle(controller.ScopeWanted{Now: d.now, Scope: scope}))
		}
		m.runControl(m.control.Handle(controller.ScopeWanted{Now: d.now, Scope: "snapshots"}))
	}
	return d
}

// run advances the deployment; perSecond is the rate of new calls over all instances.
func (d *deployment) run(length time.Duration, perSecond int) {
	due := 0.0
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(turn)
		for due += float64(perSecond) * turn.Seconds(); due >= 1; due-- {
			d.calls++
			m := d.members[d.calls%len(d.members)]
			m.runClaims(m.claims.Handle(newCall(d.now, d.calls)))
		}
		d.step()
	}
}

// step lets every living member act once.
func (d *deployment) step() {
	for _, m := range d.members {
		if !m.dead {
			m.advance()
		}
	}
	for _, m := range d.members {
		if !m.dead {
			m.commit()
		}
	}
}

// advance reads both streams and acts on time.
func (m *member) advance() {
	now := m.deployment.now
	for len(m.endings) > 0 && !now.Before(m.endings[0].at) {
		attempt := m.endings[0].attempt
		m.endings = m.endings[1:]
		m.runClaims(m.claims.Handle(newEnd(now, attempt)))
	}
	read := deduplicator.RecordsRead{
		Now: now, WallNow: now, Entries: m.deployment.claims.read(m.claims.NextOffset()), End: m.deployment.claims.end(),
	}
	m.runClaims(m.claims.Handle(read))
	m.runClaims(m.claims.Handle(deduplicator.Ticked{Now: now, WallNow: now}))
	entries := m.deployment.control.read(m.control.NextOffset())
	if len(entries) == 0 && now.Before(m.tickAt) {
		return
	}
	m.tickAt = now.Add(controllerEvery)
	m.runControl(m.control.Handle(controller.RecordsRead{Now: now, Entries: entries, End: m.deployment.control.end()}))
}

func (m *member) runControl(actions []controller.Action) {
	for _, action := range actions {
		a, ok := action.(controller.Append)
		if !ok {
			continue
		}
		m.submit(laneKey{urgency: a.Urgency}, a.Records, func(first identifier.Offset) {
			m.runControl(m.control.Handle(controller.AppendSucceeded{Now: m.deployment.now, Records: a.IDs, First: first}))
		}, func() {
			m.runControl(m.control.Handle(controller.AppendFailed{Now: m.deployment.now, Records: a.IDs}))
		})
	}
}

func (m *member) runClaims(actions []deduplicator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case deduplicator.Append:
			m.submit(laneKey{claims: true, urgency: a.Urgency}, a.Records, func(identifier.Offset) {
				m.runClaims(m.claims.Handle(deduplicator.AppendSucceeded{Now: m.deployment.now, Records: a.IDs}))
			}, func() {
				m.runClaims(m.claims.Handle(deduplicator.AppendFailed{Now: m.deployment.now, Records: a.IDs}))
			})
		case deduplicator.Dispatch:
			m.endings = append(m.endings, ending{at: m.deployment.now.Add(serviceTime), attempt: a.Attempt})
		case deduplicator.Reply:
			m.deployment.replies++
		case deduplicator.Refuse:
			m.deployment.refusals++
		}
	}
}

// submit adds records to the open append of their stream and urgency, as the daemon's committer does.
func (m *member) submit(key laneKey, records [][]byte, owed func(identifier.Offset), failed func()) {
	l := m.lanes[key]
	if l == nil {
		l = &lane{}
		m.lanes[key] = l
		m.budget.Add(key.urgency, key)
	}
	l.records = append(l.records, records...)
	l.owed = append(l.owed, owed)
	l.failed = append(l.failed, failed)
}

// fail tells that the log certainly took nothing.
func (l *lane) fail() {
	for _, failed := range l.failed {
		failed()
	}
}

// commit appends what the budget allows.
func (m *member) commit() {
	for _, key := range m.budget.TakeDue(m.deployment.now) {
		l := m.lanes[key]
		delete(m.lanes, key)
		if m.deployment.logDown {
			l.fail()
			continue
		}
		stream := m.deployment.control
		if key.claims {
			stream = m.deployment.claims
		}
		first := stream.append(l.records)
		for _, owed := range l.owed {
			owed(first)
		}
	}
}

// surveyAppends counts the appends a second by kind over instances, calls and scopes.
func (s *Surveyor) surveyAppends() {
	newSeries := func(name, per string, today, target float64) *series {
		return &series{name: name, unit: "appendsPerSecond", per: per, today: today, target: target}
	}
	rest := newSeries("appendsAtRest", "instance", todayInstances, targetInstances)
	for _, n := range []int{3, 7, 15, 30} {
		rest.add(float64(n), s.countAppends(newDeployment(n, todayScopes), 0, restTime))
		// No line fits these: a process makes at most ten appends a second, and at most two for each call.
		s.countAppends(newDeployment(n, todayScopes), callsPerSecond, surveyedTime)
	}
	scopes := newSeries("appendsOfScopes", "scope", todayScopes, targetScopes)
	for _, n := range []int{2, 8, 16, targetScopes} {
		scopes.add(float64(n), s.countAppends(newDeployment(todayInstances, n), 0, restTime))
	}
	calls := newSeries("appendsOfCalls", "callPerSecond", 10, 110)
	for _, rate := range []int{10, 30, 60, 110} {
		calls.add(float64(rate), s.countAppends(newDeployment(30, todayScopes), rate, surveyedTime))
	}
	s.writeSeries(rest, scopes, calls)
}

// count is what a deployment appends in a second.
type count struct {
	appends, leases, snapshots, claims, outcomes float64
	leaseBytes, snapshotBytes, claimBytes        float64
}

func countName(instances, scopes, rate int) string {
	return fmt.Sprintf("%d/%d/%d", instances, scopes, rate)
}

// countAppends runs a deployment, prints its appends by kind and returns their sum a second.
func (s *Surveyor) countAppends(d *deployment, rate int, length time.Duration) float64 {
	d.run(warmUp, rate)
	d.control.reset()
	d.claims.reset()
	calls, replies, refusals := d.calls, d.replies, d.refusals
	d.run(length, rate)
	perSecond := func(count int) float64 { return float64(count) / length.Seconds() }
	c := count{
		appends:       perSecond(sum(d.control.appends) + sum(d.claims.appends)),
		leases:        perSecond(d.control.appends[messenger.RecordKind_RECORD_KIND_LEASE_CLAIM]),
		snapshots:     perSecond(d.control.appends[messenger.RecordKind_RECORD_KIND_SNAPSHOT]),
		claims:        perSecond(d.claims.appends[messenger.RecordKind_RECORD_KIND_CLAIM_BATCH]),
		outcomes:      perSecond(d.claims.appends[messenger.RecordKind_RECORD_KIND_DISPATCH_OUTCOME]),
		leaseBytes:    perSecond(d.control.bytes[messenger.RecordKind_RECORD_KIND_LEASE_CLAIM]),
		snapshotBytes: perSecond(d.control.bytes[messenger.RecordKind_RECORD_KIND_SNAPSHOT]),
		claimBytes:    perSecond(sum(d.claims.bytes)),
	}
	scopes := len(d.control.scopes())
	s.counts[countName(len(d.members), scopes, rate)] = c
	fmt.Fprintf(s.output, "appends instances=%d scopes=%d callsPerSecond=%d perSecond=%.3f leases=%.3f snapshots=%.4f claims=%.3f "+
		"outcomesAlone=%.3f leaseBytesPerSecond=%.0f snapshotBytesPerSecond=%.0f claimBytesPerSecond=%.0f calls=%d replies=%d refusals=%d\n",
		len(d.members), scopes, rate, c.appends, c.leases, c.snapshots, c.claims, c.outcomes,
		c.leaseBytes, c.snapshotBytes, c.claimBytes, d.calls-calls, d.replies-replies, d.refusals-refusals)
	return c.appends
}

func scopeName(i int) identifier.Scope {
	return identifier.Scope(fmt.Sprintf("engines/model-%02d", i+1))
}
