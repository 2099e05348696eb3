package benchmarker

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	failureScopes = 4
	// failureTries is the number of runs of each failure, at times spread evenly over a renewal interval.
	failureTries    = 25
	renewalInterval = 2 * time.Second
	recoveryTimeout = time.Minute
)

// measureFailures measures the time without a lease holder after the holder crashes and after outages of the log.
func (b *Benchmarker) measureFailures() {
	for _, n := range []int{3, 7, 15, 30} {
		b.measureGaps("holderCrash", n, func(d *deployment) { d.holder().crashed = true })
	}
	for _, outage := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		name := fmt.Sprintf("logOutage%gs", outage.Seconds())
		b.measureGaps(name, todayInstances, func(d *deployment) {
			d.logDown = true
			d.run(outage, 0)
			d.logDown = false
		})
	}
}

// measureGaps injects a failure at times over a renewal interval and prints the gaps without a holder of every scope. A
// gap counts from the end of the failure.
func (b *Benchmarker) measureGaps(name string, instances int, inject func(*deployment)) {
	var total, worst time.Duration
	for i := range failureTries {
		d := newDeployment(instances, failureScopes)
		d.run(warmUpDuration+time.Duration(i)*renewalInterval/failureTries, 0)
		if d.holder() == nil {
			b.fail("inject "+name, fmt.Errorf("no holder before the failure"))
			return
		}
		d.control.reset()
		inject(d)
		gap := d.awaitHolders()
		total += gap
		worst = max(worst, gap)
		if gap >= recoveryTimeout {
			b.fail("inject "+name, fmt.Errorf("some scope has no holder %s after the failure", recoveryTimeout))
		}
	}
	fmt.Fprintf(b.output, "failure=%s instances=%d scopes=%d tries=%d meanGapMs=%.0f worstGapMs=%.0f\n",
		name, instances, failureScopes, failureTries, milliseconds(total/failureTries), milliseconds(worst))
}

// awaitHolders runs the deployment until every scope has a live holder and returns the time that this took, at most
// recoveryTimeout.
func (d *deployment) awaitHolders() time.Duration {
	failureEnd := d.now
	for d.now.Sub(failureEnd) < recoveryTimeout && !d.allScopesHeld() {
		d.run(simulationStep, 0)
	}
	return d.now.Sub(failureEnd)
}

// allScopesHeld reports whether every scope has a live holder.
func (d *deployment) allScopesHeld() bool {
	for s := range failureScopes - 1 {
		if d.holderOf(scopeName(s)) == nil {
			return false
		}
	}
	return d.holderOf("snapshots") != nil
}

// holder returns the live holder of the snapshot scope, or nil.
func (d *deployment) holder() *instance { return d.holderOf("snapshots") }

// holderOf returns the live holder of a scope, or nil.
func (d *deployment) holderOf(scope identifier.Scope) *instance {
	for _, n := range d.instances {
		if _, held := n.control.Held(d.now, scope); held && !n.crashed {
			return n
		}
	}
	return nil
}
