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
	renewalTime  = 2 * time.Second
	giveUpAfter  = time.Minute
)

// surveyFailures measures the time without authority after the holder's crash, a pause of the log and a restart.
func (s *Surveyor) surveyFailures() {
	for _, n := range []int{3, 7, 15, 30} {
		s.writeGaps("holderCrash", n, func(d *deployment) { d.holder().dead = true })
	}
	for _, outage := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		name := fmt.Sprintf("logOutage%gs", outage.Seconds())
		s.writeGaps(name, todayInstances, func(d *deployment) {
			d.logDown = true
			d.run(outage, 0)
			d.logDown = false
		})
	}
}

// writeGaps provokes a failure at moments over a renewal period; the gap counts from the failure's end.
func (s *Surveyor) writeGaps(name string, instances int, provoke func(*deployment)) {
	var total, worst time.Duration
	for i := range failureTries {
		d := newDeployment(instances, failureScopes)
		d.run(warmUp+time.Duration(i)*renewalTime/failureTries, 0)
		if d.holder() == nil {
			s.fail("provoke "+name, fmt.Errorf("no holder before the failure"))
			return
		}
		d.control.reset()
		provoke(d)
		gap := d.awaitAuthority()
		total += gap
		worst = max(worst, gap)
		if gap >= giveUpAfter {
			s.fail("provoke "+name, fmt.Errorf("no authority within %s", giveUpAfter))
		}
	}
	fmt.Fprintf(s.output, "failure=%s instances=%d scopes=%d tries=%d meanGapMs=%.0f worstGapMs=%.0f\n",
		name, instances, failureScopes, failureTries, milliseconds(total/failureTries), milliseconds(worst))
}

// awaitAuthority returns the time until every scope has a living holder.
func (d *deployment) awaitAuthority() time.Duration {
	began := d.now
	for d.now.Sub(began) < giveUpAfter && !d.governed() {
		d.run(turn, 0)
	}
	return d.now.Sub(began)
}

// governed tells whether each scope has a living holder.
func (d *deployment) governed() bool {
	for s := range failureScopes - 1 {
		if d.holderOf(scopeName(s)) == nil {
			return false
		}
	}
	return d.holderOf("snapshots") != nil
}

func (d *deployment) holder() *member { return d.holderOf("snapshots") }

func (d *deployment) holderOf(scope identifier.Scope) *member {
	for _, m := range d.members {
		if _, held := m.control.Held(d.now, scope); held && !m.dead {
			return m
		}
	}
	return nil
}
