package soaker

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"rosemaryspool.example/standin/emulator"
)

// fault is a temporary fault that begin injects and end removes. Its subjects are the parts that it disturbs.
type fault struct {
	name     string
	subjects []string
	begin    func()
	end      func()
}

const (
	// shortFault and longFault bound the duration of a fault. It is longer than most gaps, so that faults overlap.
	shortFault = 200 * time.Millisecond
	longFault  = 3 * time.Second
	// shortGap and longGap bound the time between the starts of two consecutive faults.
	shortGap = 100 * time.Millisecond
	longGap  = 900 * time.Millisecond
	// copiesOneIn is the share of the faults beside which another upstream copies refusals.
	copiesOneIn = 4
)

// runFaultPhase injects overlapping faults for the given time and returns when the last one has ended.
func (s *Soaker) runFaultPhase(ctx context.Context, length time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	until := time.Now().Add(length)
	for ctx.Err() == nil && time.Now().Before(until) {
		f := s.drawFault()
		duration := min(s.randomDuration(shortFault, longFault), max(time.Until(until), shortFault))
		running.Go(func() { s.runFault(ctx, f, duration) })
		if s.copies.IntN(copiesOneIn) == 0 {
			b := s.listBackends()[s.copies.IntN(len(s.listBackends()))]
			copied := s.behaviourFault(b, emulator.CopiesRefusals)
			running.Go(func() { s.runFault(ctx, copied, duration) })
		}
		sleep(ctx, s.randomDuration(shortGap, longGap))
	}
}

func (s *Soaker) runFault(ctx context.Context, f fault, duration time.Duration) {
	from := time.Now()
	s.log.Info().Str("event", "faultBegan").Str("fault", f.name).Strs("subjects", f.subjects).
		Dur("lasts", duration).Msg("Fault injected")
	f.begin()
	sleep(ctx, duration)
	f.end()
	s.log.Info().Str("event", "faultEnded").Str("fault", f.name).Strs("subjects", f.subjects).Msg("Fault removed")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, subject := range f.subjects {
		s.disturbances = append(s.disturbances, disturbance{subject: subject, from: from, to: time.Now()})
	}
}

// drawFault chooses a fault at random.
func (s *Soaker) drawFault() fault {
	if s.settings.FalseAnswers {
		return s.behaviourFault(s.pickBackend(), s.pickBehaviour(falseBehaviours))
	}
	switch n := s.random.IntN(10); {
	case n < 4:
		return s.processFault()
	case n < 6:
		return s.storeFault()
	case n < 8:
		return s.networkFault()
	default:
		return s.upstreamFault()
	}
}

// processFault pauses, kills, stops or reloads one gateway by a signal, or kills all of them at once.
func (s *Soaker) processFault() fault {
	instance := s.random.IntN(len(s.processes))
	p := s.processes[instance]
	subjects := []string{instanceSubject(instance)}
	restart := func() { s.restart(p) }
	switch s.random.IntN(5) {
	case 0:
		return fault{"pause", subjects, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }}
	case 1:
		return fault{"kill", subjects, func() { <-p.signal(syscall.SIGKILL) }, restart}
	case 2:
		return fault{"stop", subjects, p.stop, restart}
	case 3:
		return fault{
			"reload", subjects,
			func() { s.rewriteSettings(p); p.signal(syscall.SIGHUP) }, func() { p.signal(syscall.SIGHUP) },
		}
	default:
		all := make([]string, len(s.processes))
		for i := range all {
			all[i] = instanceSubject(i)
		}
		return fault{
			"kill of all", all,
			func() {
				for _, p := range s.processes {
					<-p.signal(syscall.SIGKILL)
				}
			},
			func() {
				for _, p := range s.processes {
					s.restart(p)
				}
			},
		}
	}
}

// storeFault makes the store misbehave for all gateways.
func (s *Soaker) storeFault() fault {
	healthy := func() { s.store.SetFault(emulator.Healthy) }
	subjects := []string{storeSubject}
	switch s.random.IntN(5) {
	case 0:
		return fault{"store silent", subjects, func() { s.store.SetFault(emulator.Silent) }, healthy}
	case 1:
		return fault{"store busy", subjects, func() { s.store.SetFault(emulator.Busy) }, healthy}
	case 2:
		return fault{"store without wakeups", subjects, func() { s.store.SetFault(emulator.NoWakeups) }, healthy}
	case 3:
		return fault{"store trims", subjects, func() { s.store.Trim(emulator.TopicServers) }, func() {}}
	default:
		return fault{"store returns from an older copy", subjects, s.returnStore, func() {}}
	}
}

// returnStore makes the store return from the copy that was made before the latest planned changes. The operator and the
// upstreams write again what they wrote since.
func (s *Soaker) returnStore() {
	s.store.Restore(s.older)
	s.putConfiguration()
	for _, b := range s.listBackends() {
		if b.draining || b.crashed.Load() {
			s.store.Put(emulator.TopicServers, b.upstream.ID, nil)
			continue
		}
		s.publish(b, "ready")
	}
}

// networkFault disturbs the connections from one gateway to the store, or from all gateways to one upstream.
func (s *Soaker) networkFault() fault {
	instance := s.random.IntN(len(s.processes))
	p, subject := s.processes[instance].storeProxy, instanceSubject(instance)
	if s.random.IntN(2) == 0 {
		b := s.pickBackend()
		p, subject = b.proxy, b.upstream.ID
	}
	modes := []struct {
		name string
		mode proxyMode
	}{
		{"delay", modeDelay},
		{"silence", modeBlackhole},
		{"cut of requests", modeDropRequests},
		{"cut of responses", modeDropResponses},
		{"reset", modeForward},
	}
	m := modes[s.random.IntN(len(modes))]
	if m.mode == modeForward {
		return fault{m.name, []string{subject}, p.reset, func() {}}
	}
	return fault{m.name, []string{subject}, func() { p.setMode(m.mode) }, func() { p.setMode(modeForward) }}
}

// upstreamFault makes one upstream misbehave.
func (s *Soaker) upstreamFault() fault {
	b := s.pickBackend()
	subjects := []string{b.upstream.ID}
	switch s.random.IntN(6) {
	case 0:
		return fault{
			"upstream names a limit", subjects,
			func() { b.upstream.SetLimit("20") }, func() { b.upstream.SetLimit("") },
		}
	case 1:
		return fault{
			"upstream asks to wait", subjects,
			func() { b.upstream.SetRetryAfter("2"); b.upstream.SetBehaviour(emulator.Rejects) },
			func() { b.upstream.SetRetryAfter(""); b.upstream.SetBehaviour(emulator.Responds) },
		}
	}
	return s.behaviourFault(b, s.pickBehaviour(append([]emulator.Behaviour{
		emulator.Rejects, emulator.Fails, emulator.Resets, emulator.Truncates, emulator.Unsigned,
		emulator.WrongAttempt, emulator.RespondsTwice, emulator.SkipsEvent, emulator.Hangs,
	}, falseBehaviours...)))
}

// falseBehaviours are those of upstreams whose responses say something else than what the upstream has done.
var falseBehaviours = []emulator.Behaviour{
	emulator.FailsAsBusy, emulator.FailsAsMisdirected, emulator.RefusesUnnamed, emulator.RepeatsRefusal, emulator.CutsHead,
	emulator.ResumesWrongly,
}

// pickBehaviour chooses one of several behaviours at random.
func (s *Soaker) pickBehaviour(behaviours []emulator.Behaviour) emulator.Behaviour {
	return behaviours[s.random.IntN(len(behaviours))]
}

// behaviourFault makes an upstream respond in another way.
func (s *Soaker) behaviourFault(b *backend, behaviour emulator.Behaviour) fault {
	return fault{
		fmt.Sprint("upstream behaviour ", int(behaviour)),
		[]string{b.upstream.ID},
		func() { b.upstream.SetBehaviour(behaviour) }, func() { b.upstream.SetBehaviour(emulator.Responds) },
	}
}

// pickBackend chooses a random upstream.
func (s *Soaker) pickBackend() *backend {
	backends := s.listBackends()
	return backends[s.random.IntN(len(backends))]
}

// randomDuration returns a random duration. Only the goroutine of Run uses s.random, so that a seed gives the same
// sequence of faults each time.
func (s *Soaker) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// recordDisturbance records a disturbance that was not injected as a fault.
func (s *Soaker) recordDisturbance(subject string, from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, disturbance{subject: subject, from: from, to: to})
}

const (
	// stallInterval is how often the test checks that it runs itself, stallLimit by how much that may be late.
	stallInterval = 50 * time.Millisecond
	stallLimit    = 500 * time.Millisecond
)

// watchStalls records times in which this process, which holds the store, the upstreams and the callers, stood still, as
// disturbances of the store: no limit that is measured here holds then.
func (s *Soaker) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		from := time.Now()
		sleep(ctx, stallInterval)
		if late := time.Since(from) - stallInterval; late > stallLimit {
			s.log.Warn().Str("event", "stalled").Dur("late", late).Msg("The machine gave this process no time")
			s.recordDisturbance(storeSubject, from, time.Now())
		}
	}
}

func (s *Soaker) restart(p *process) {
	if err := p.start(); err != nil {
		s.log.Error().Err(err).Str("event", "startFailed").Str("process", p.name).Msg("Can't restart the gateway")
	}
}

func (s *Soaker) rewriteSettings(p *process) {
	s.mu.Lock()
	s.revision++
	revision := s.revision
	s.mu.Unlock()
	if err := p.writeSettings(revision); err != nil {
		s.log.Error().Err(err).Str("event", "settingsUnwritable").Str("process", p.name).
			Msg("Can't rewrite the settings file")
	}
}
