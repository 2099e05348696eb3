package surveyor

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	failureScopes = 4
	// failureTries is how many moments of a renewal period a failure is tried at.
	failureTries = 25
	renewalInterval  = 2 * time.Second
	recoveryTimeout  = time.Minute
)

// surveyFailures measures the time without authority after the holder's crash, a pause of the log and a restart.
func (s *Surveyor) measureFailures() {
	for _, n := range []int{3, 7, 15, 30} {
		s.measureGaps("holderCrash", n, func(d *deployment) { d.holder().crashed = true })
	}
	for _, outage := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		name := fmt.Sprintf("logOutage%gs", outage.Seconds())
		s.measureGaps(name, todayInstances, func(d *deployment) {
			d.logDown = true
			d.run(outage, 0)
			d.logDown = false
		})
	}
}

// writeGaps provokes a failure at moments over a renewal period; the gap counts from the failure's end.
func (s *Surveyor) measureGaps(name string, instances int, provoke func(*deployment)) {
	var total, worst time.Duration
	for i := range failureTries {
		d := newDeployment(instances, failureScopes)
		d.run(warmUpDuration+time.Duration(i)*renewalInterval/failureTries, 0)
		if d.holder() == nil {
			s.fail("provoke "+name, fmt.Errorf("no holder before the failure"))
			return
		}
		d.control.reset()
		provoke(d)
		gap := d.awaitHolders()
		total += gap
		worst = max(worst, gap)
		if gap >= recoveryTimeout {
			s.fail("provoke "+name, fmt.Errorf("no authority within %s", recoveryTimeout))
		}
	}
	fmt.Fprintf(s.output, "failure=%s instances=%d scopes=%d tries=%d meanGapMs=%.0f worstGapMs=%.0f\n",
		name, instances, failureScopes, failureTries, milliseconds(total/failureTries), milliseconds(worst))
}

// awaitAuthority returns the time until every scope has a living holder.
func (d *deployment) awaitHolders() time.Duration {
	began := d.now
	for d.now.Sub(began) < recoveryTimeout && !d.allScopesHeld() {
		d.run(simulationStep, 0)
	}
	return d.now.Sub(began)
}

// governed tells whether each scope has a living holder.
func (d *deployment) allScopesHeld() bool {
	for s := range failureScopes - 1 {
		if d.holderOf(scopeName(s)) == nil {
			return false
		}
	}
	return d.holderOf("snapshots") != nil
}

func (d *deployment) holder() *instance { return d.holderOf("snapshots") }

func (d *deployment) holderOf(scope identifier.Scope) *instance {
	for _, m := range d.instances {
		if _, held := m.control.Held(d.now, scope); held && !m.crashed {
			return m
		}
	}
	return nil
}
