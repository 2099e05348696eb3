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
	simulationStep            = 20 * time.Millisecond
	controllerInterval = 250 * time.Millisecond
	// warmUp lets the leases settle. Without calls a survey lasts longer, so that it covers two snapshots by age.
	warmUpDuration       = 20 * time.Second
	loadDuration = 30 * time.Second
	idleDuration     = 20 * time.Minute
	// callsPerSecond is the load of non-idempotent calls, and serviceTime how long one runs.
	callsPerSecond = 100
	serviceTime    = 200 * time.Millisecond
)

// laneKey tells which records may share an append.
type batchKey struct {
	claims  bool
	urgency throttler.Urgency
}

// lane collects records and the confirmations that they are owed.
type batch struct {
	records [][]byte
	onSuccess    []func(identifier.Offset)
	onFailure  []func()
}

// ending is a dispatch that ends at a time.
type completion struct {
	at      time.Time
	attempt identifier.AttemptID
}

// member is one instance's decision makers with its budget of appends.
type instance struct {
	deployment *deployment
	control    *controller.Controller
	claims     *deduplicator.Deduplicator
	limiter     *throttler.Throttler[batchKey]
	batches      map[batchKey]*batch
	completions    []completion
	nextTick     time.Time
	crashed       bool
}

// deployment runs instances on two streams with explicit time.
type deployment struct {
	now             time.Time
	control, claims *memoryStream
	instances         []*instance
	// logDown keeps appends from the log; reads then find nothing new.
	logDown  bool
	calls    int
	replies  int
	refusals int
}

func newDeployment(instances, scopes int) *deployment {
	d := &deployment{now: start, control: newMemoryStream(), claims: newMemoryStream()}
	for i := range instances {
		id := identifier.InstanceID(fmt.Sprintf("instance-%d", i+1))
		const incarnation = "0192f3a4b5c6d7e8"
		m := &instance{
			deployment: d,
			control:    controller.NewController(controller.NewSettings("trial", id, incarnation, nil)),
			claims:     deduplicator.NewDeduplicator(deduplicator.NewSettings(id, incarnation, "claims")),
			limiter:     throttler.NewThrottler[batchKey](throttler.DefaultAppendsPerSecond, throttler.DefaultBurst),
			batches:      map[batchKey]*batch{},
		}
		d.instances = append(d.instances, m)
		for s := range scopes - 1 {
			scope := scopeName(s)
			m.applyControllerActions(m.control.Handle(controller.ScopeWanted{Now: d.now, Scope: scope}))
		}
		m.applyControllerActions(m.control.Handle(controller.ScopeWanted{Now: d.now, Scope: "snapshots"}))
	}
	return d
}

// run advances the deployment; perSecond is the rate of new calls over all instances.
func (d *deployment) run(length time.Duration, perSecond int) {
	due := 0.0
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(simulationStep)
		for due += float64(perSecond) * simulationStep.Seconds(); due >= 1; due-- {
			d.calls++
			m := d.instances[d.calls%len(d.instances)]
			m.applyDeduplicatorActions(m.claims.Handle(newCallArrived(d.now, d.calls)))
		}
		d.step()
	}
}

// step lets every living member act once.
func (d *deployment) step() {
	for _, m := range d.instances {
		if !m.crashed {
			m.advance()
		}
	}
	for _, m := range d.instances {
		if !m.crashed {
			m.appendDue()
		}
	}
}

// advance reads both streams and acts on time.
func (m *instance) advance() {
	now := m.deployment.now
	for len(m.completions) > 0 && !now.Before(m.completions[0].at) {
		attempt := m.completions[0].attempt
		m.completions = m.completions[1:]
		m.applyDeduplicatorActions(m.claims.Handle(newDispatchEnded(now, attempt)))
	}
	read := deduplicator.RecordsRead{
		Now: now, WallNow: now, Entries: m.deployment.claims.read(m.claims.NextOffset()), End: m.deployment.claims.end(),
	}
	m.applyDeduplicatorActions(m.claims.Handle(read))
	m.applyDeduplicatorActions(m.claims.Handle(deduplicator.Ticked{Now: now, WallNow: now}))
	entries := m.deployment.control.read(m.control.NextOffset())
	if len(entries) == 0 && now.Before(m.nextTick) {
		return
	}
	m.nextTick = now.Add(controllerInterval)
	m.applyControllerActions(m.control.Handle(controller.RecordsRead{Now: now, Entries: entries, End: m.deployment.control.end()}))
}

func (m *instance) applyControllerActions(actions []controller.Action) {
	for _, action := range actions {
		a, ok := action.(controller.Append)
		if !ok {
			continue
		}
		m.enqueue(batchKey{urgency: a.Urgency}, a.Records, func(first identifier.Offset) {
			m.applyControllerActions(m.control.Handle(controller.AppendSucceeded{Now: m.deployment.now, Records: a.IDs, First: first}))
		}, func() {
			m.applyControllerActions(m.control.Handle(controller.AppendFailed{Now: m.deployment.now, Records: a.IDs}))
		})
	}
}

func (m *instance) applyDeduplicatorActions(actions []deduplicator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case deduplicator.Append:
			m.enqueue(batchKey{claims: true, urgency: a.Urgency}, a.Records, func(identifier.Offset) {
				m.applyDeduplicatorActions(m.claims.Handle(deduplicator.AppendSucceeded{Now: m.deployment.now, Records: a.IDs}))
			}, func() {
				m.applyDeduplicatorActions(m.claims.Handle(deduplicator.AppendFailed{Now: m.deployment.now, Records: a.IDs}))
			})
		case deduplicator.Dispatch:
			m.completions = append(m.completions, completion{at: m.deployment.now.Add(serviceTime), attempt: a.Attempt})
		case deduplicator.Reply:
			m.deployment.replies++
		case deduplicator.Refuse:
			m.deployment.refusals++
		}
	}
}

// submit adds records to the open append of their stream and urgency, as the daemon's committer does.
func (m *instance) enqueue(key batchKey, records [][]byte, owed func(identifier.Offset), failed func()) {
	l := m.batches[key]
	if l == nil {
		l = &batch{}
		m.batches[key] = l
		m.limiter.Add(key.urgency, key)
	}
	l.records = append(l.records, records...)
	l.onSuccess = append(l.onSuccess, owed)
	l.onFailure = append(l.onFailure, failed)
}

// fail tells that the log certainly took nothing.
func (l *batch) fail() {
	for _, failed := range l.onFailure {
		failed()
	}
}

// commit appends what the budget allows.
func (m *instance) appendDue() {
	for _, key := range m.limiter.TakeDue(m.deployment.now) {
		l := m.batches[key]
		delete(m.batches, key)
		if m.deployment.logDown {
			l.fail()
			continue
		}
		stream := m.deployment.control
		if key.claims {
			stream = m.deployment.claims
		}
		first := stream.append(l.records)
		for _, owed := range l.onSuccess {
			owed(first)
		}
	}
}

// surveyAppends counts the appends a second by kind over instances, calls and scopes.
func (s *Surveyor) measureAppends() {
	newSeries := func(name, per string, today, target float64) *series {
		return &series{name: name, unit: "appendsPerSecond", per: per, today: today, target: target}
	}
	rest := newSeries("appendsAtRest", "instance", todayInstances, targetInstances)
	for _, n := range []int{3, 7, 15, 30} {
		rest.add(float64(n), s.measureDeployment(newDeployment(n, todayScopes), 0, idleDuration))
		// No line fits these: a process makes at most ten appends a second, and at most two for each call.
		s.measureDeployment(newDeployment(n, todayScopes), callsPerSecond, loadDuration)
	}
	scopes := newSeries("appendsOfScopes", "scope", todayScopes, targetScopes)
	for _, n := range []int{2, 8, 16, targetScopes} {
		scopes.add(float64(n), s.measureDeployment(newDeployment(todayInstances, n), 0, idleDuration))
	}
	calls := newSeries("appendsOfCalls", "callPerSecond", 10, 110)
	for _, rate := range []int{10, 30, 60, 110} {
		calls.add(float64(rate), s.measureDeployment(newDeployment(30, todayScopes), rate, loadDuration))
	}
	s.writeSeries(rest, scopes, calls)
}

// count is what a deployment appends in a second.
type appendRates struct {
	appends, leases, snapshots, claims, outcomes float64
	leaseBytes, snapshotBytes, claimBytes        float64
}

func appendRatesKey(instances, scopes, rate int) string {
	return fmt.Sprintf("%d/%d/%d", instances, scopes, rate)
}

// countAppends runs a deployment, prints its appends by kind and returns their sum a second.
func (s *Surveyor) measureDeployment(d *deployment, rate int, length time.Duration) float64 {
	d.run(warmUpDuration, rate)
	d.control.reset()
	d.claims.reset()
	calls, replies, refusals := d.calls, d.replies, d.refusals
	d.run(length, rate)
	perSecond := func(count int) float64 { return float64(count) / length.Seconds() }
	c := appendRates{
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
	s.appendRates[appendRatesKey(len(d.instances), scopes, rate)] = c
	fmt.Fprintf(s.output, "appends instances=%d scopes=%d callsPerSecond=%d perSecond=%.3f leases=%.3f snapshots=%.4f claims=%.3f "+
		"outcomesAlone=%.3f leaseBytesPerSecond=%.0f snapshotBytesPerSecond=%.0f claimBytesPerSecond=%.0f calls=%d replies=%d refusals=%d\n",
		len(d.instances), scopes, rate, c.appends, c.leases, c.snapshots, c.claims, c.outcomes,
		c.leaseBytes, c.snapshotBytes, c.claimBytes, d.calls-calls, d.replies-replies, d.refusals-refusals)
	return c.appends
}

func scopeName(i int) identifier.Scope {
	return identifier.Scope(fmt.Sprintf("engines/model-%02d", i+1))
}
