package benchmarker

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// Durations on the simulated clock of a deployment.
const (
	// simulationStep is the resolution of the clock; an append is read back one step later.
	simulationStep = 20 * time.Millisecond
	// controllerInterval is the longest time between two events of an instance's controller.
	controllerInterval = 250 * time.Millisecond
	// warmUpDuration is enough for every scope to get a lease holder before anything is counted. A run without calls takes
	// idleDuration, long enough for two snapshots that are due by age.
	warmUpDuration = 20 * time.Second
	loadDuration   = 30 * time.Second
	idleDuration   = 20 * time.Minute
	// callsPerSecond is the rate of non-idempotent calls, and serviceTime how long each runs.
	callsPerSecond = 100
	serviceTime    = 200 * time.Millisecond
)

// batchKey identifies the records that may share an append: those of one stream and urgency.
type batchKey struct {
	claims  bool
	urgency throttler.Urgency
}

// batch collects records for one append and the callbacks for its result.
type batch struct {
	records   [][]byte
	onSuccess []func(identifier.Offset)
	onFailure []func()
}

// completion is the scheduled end of a dispatched attempt.
type completion struct {
	at      time.Time
	attempt identifier.AttemptID
}

// instance is a simulated instance: its controller, its deduplicator and the rate limiter of its appends.
type instance struct {
	deployment  *deployment
	control     *controller.Controller
	claims      *deduplicator.Deduplicator
	limiter     *throttler.Throttler[batchKey]
	batches     map[batchKey]*batch
	completions []completion
	nextTick    time.Time
	crashed     bool
}

// deployment runs instances over a control stream and a claim stream on a simulated clock.
type deployment struct {
	now             time.Time
	control, claims *memoryStream
	instances       []*instance
	// logDown makes every append fail; reads then return nothing new.
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
		n := &instance{
			deployment: d,
			control:    controller.NewController(controller.NewSettings("trial", id, incarnation, nil)),
			claims:     deduplicator.NewDeduplicator(deduplicator.NewSettings(id, incarnation, "claims")),
			limiter:    throttler.NewThrottler[batchKey](throttler.DefaultAppendsPerSecond, throttler.DefaultBurst),
			batches:    map[batchKey]*batch{},
		}
		d.instances = append(d.instances, n)
		for s := range scopes - 1 {
			scope := scopeName(s)
			n.applyControllerActions(n.control.Handle(controller.ScopeWanted{Now: d.now, Scope: scope}))
		}
		n.applyControllerActions(n.control.Handle(controller.ScopeWanted{Now: d.now, Scope: "snapshots"}))
	}
	return d
}

// run advances the clock by length; perSecond is the rate of new calls over all instances.
func (d *deployment) run(length time.Duration, perSecond int) {
	due := 0.0
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(simulationStep)
		for due += float64(perSecond) * simulationStep.Seconds(); due >= 1; due-- {
			d.calls++
			n := d.instances[d.calls%len(d.instances)]
			n.applyDeduplicatorActions(n.claims.Handle(newCallArrived(d.now, d.calls)))
		}
		d.step()
	}
}

// step runs every instance that has not crashed once. All of them read before any of them appends.
func (d *deployment) step() {
	for _, n := range d.instances {
		if !n.crashed {
			n.advance()
		}
	}
	for _, n := range d.instances {
		if !n.crashed {
			n.appendDue()
		}
	}
}

// advance ends due dispatches, reads both streams and passes the time to the deduplicator and the controller.
func (n *instance) advance() {
	now := n.deployment.now
	for len(n.completions) > 0 && !now.Before(n.completions[0].at) {
		attempt := n.completions[0].attempt
		n.completions = n.completions[1:]
		n.applyDeduplicatorActions(n.claims.Handle(newDispatchEnded(now, attempt)))
	}
	read := deduplicator.RecordsRead{
		Now: now, WallNow: now, Entries: n.deployment.claims.read(n.claims.NextOffset()), End: n.deployment.claims.end(),
	}
	n.applyDeduplicatorActions(n.claims.Handle(read))
	n.applyDeduplicatorActions(n.claims.Handle(deduplicator.Ticked{Now: now, WallNow: now}))
	entries := n.deployment.control.read(n.control.NextOffset())
	if len(entries) == 0 && now.Before(n.nextTick) {
		return
	}
	n.nextTick = now.Add(controllerInterval)
	n.applyControllerActions(n.control.Handle(controller.RecordsRead{
		Now: now, Entries: entries, End: n.deployment.control.end(),
	}))
}

func (n *instance) applyControllerActions(actions []controller.Action) {
	for _, action := range actions {
		a, ok := action.(controller.Append)
		if !ok {
			continue
		}
		n.enqueue(batchKey{urgency: a.Urgency}, a.Records, func(first identifier.Offset) {
			n.applyControllerActions(n.control.Handle(controller.AppendSucceeded{
				Now: n.deployment.now, Records: a.IDs, First: first,
			}))
		}, func() {
			n.applyControllerActions(n.control.Handle(controller.AppendFailed{Now: n.deployment.now, Records: a.IDs}))
		})
	}
}

func (n *instance) applyDeduplicatorActions(actions []deduplicator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case deduplicator.Append:
			n.enqueue(batchKey{claims: true, urgency: a.Urgency}, a.Records, func(identifier.Offset) {
				n.applyDeduplicatorActions(n.claims.Handle(deduplicator.AppendSucceeded{Now: n.deployment.now, Records: a.IDs}))
			}, func() {
				n.applyDeduplicatorActions(n.claims.Handle(deduplicator.AppendFailed{Now: n.deployment.now, Records: a.IDs}))
			})
		case deduplicator.Dispatch:
			n.completions = append(n.completions, completion{at: n.deployment.now.Add(serviceTime), attempt: a.Attempt})
		case deduplicator.Reply:
			n.deployment.replies++
		case deduplicator.Refuse:
			n.deployment.refusals++
		}
	}
}

// enqueue adds records to the open batch of their stream and urgency, as the daemon's committer does.
func (n *instance) enqueue(key batchKey, records [][]byte, stored func(identifier.Offset), failed func()) {
	b := n.batches[key]
	if b == nil {
		b = &batch{}
		n.batches[key] = b
		n.limiter.Add(key.urgency, key)
	}
	b.records = append(b.records, records...)
	b.onSuccess = append(b.onSuccess, stored)
	b.onFailure = append(b.onFailure, failed)
}

// fail reports to every writer of the batch that the log stored none of its records.
func (b *batch) fail() {
	for _, failed := range b.onFailure {
		failed()
	}
}

// appendDue appends the batches that the rate limit allows now.
func (n *instance) appendDue() {
	for _, key := range n.limiter.TakeDue(n.deployment.now) {
		b := n.batches[key]
		delete(n.batches, key)
		if n.deployment.logDown {
			b.fail()
			continue
		}
		stream := n.deployment.control
		if key.claims {
			stream = n.deployment.claims
		}
		first := stream.append(b.records)
		for _, stored := range b.onSuccess {
			stored(first)
		}
	}
}

// measureAppends measures the appends a second by kind over the number of instances, scopes and calls.
func (b *Benchmarker) measureAppends() {
	newSeries := func(name, per string, today, target float64) *series {
		return &series{name: name, unit: "appendsPerSecond", per: per, today: today, target: target}
	}
	idle := newSeries("appendsAtRest", "instance", todayInstances, targetInstances)
	for _, n := range []int{3, 7, 15, 30} {
		idle.add(float64(n), b.measureDeployment(newDeployment(n, todayScopes), 0, idleDuration))
		// The rates under calls enter no series, as they do not grow linearly: a process makes at most ten appends a
		// second, and at most two for each call.
		b.measureDeployment(newDeployment(n, todayScopes), callsPerSecond, loadDuration)
	}
	scopes := newSeries("appendsOfScopes", "scope", todayScopes, targetScopes)
	for _, n := range []int{2, 8, 16, targetScopes} {
		scopes.add(float64(n), b.measureDeployment(newDeployment(todayInstances, n), 0, idleDuration))
	}
	calls := newSeries("appendsOfCalls", "callPerSecond", 10, 110)
	for _, rate := range []int{10, 30, 60, 110} {
		calls.add(float64(rate), b.measureDeployment(newDeployment(30, todayScopes), rate, loadDuration))
	}
	b.writeSeries(idle, scopes, calls)
}

// appendRates holds the appends and bytes a second of a deployment.
type appendRates struct {
	appends, leases, snapshots, claims, outcomes float64
	leaseBytes, snapshotBytes, claimBytes        float64
}

// appendRatesKey returns the key of a deployment's rates in Benchmarker.appendRates.
func appendRatesKey(instances, scopes, rate int) string {
	return fmt.Sprintf("%d/%d/%d", instances, scopes, rate)
}

// measureDeployment runs a deployment, prints its appends a second by kind and returns their sum.
func (b *Benchmarker) measureDeployment(d *deployment, rate int, length time.Duration) float64 {
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
	b.appendRates[appendRatesKey(len(d.instances), scopes, rate)] = c
	fmt.Fprintf(b.output,
		"appends instances=%d scopes=%d callsPerSecond=%d perSecond=%.3f leases=%.3f snapshots=%.4f claims=%.3f "+
			"outcomesAlone=%.3f leaseBytesPerSecond=%.0f snapshotBytesPerSecond=%.0f claimBytesPerSecond=%.0f calls=%d replies=%d refusals=%d\n",
		len(d.instances), scopes, rate, c.appends, c.leases, c.snapshots, c.claims, c.outcomes,
		c.leaseBytes, c.snapshotBytes, c.claimBytes, d.calls-calls, d.replies-replies, d.refusals-refusals)
	return c.appends
}

func scopeName(i int) identifier.Scope {
	return identifier.Scope(fmt.Sprintf("engines/model-%02d", i+1))
}
