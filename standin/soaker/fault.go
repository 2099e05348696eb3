package soaker

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"rosemaryspool.example/standin/platformer"
)

// fault is one disturbance: it begins, lasts, and ends. Subjects are what it disturbs.
type fault struct {
	name     string
	subjects []string
	begin    func()
	end      func()
}

const (
	// shortFault and longFault bound how long a fault lasts; several overlap.
	shortFault = 200 * time.Millisecond
	longFault  = 3 * time.Second
	// shortGap and longGap bound the time between the starts of two faults.
	shortGap = 100 * time.Millisecond
	longGap  = 900 * time.Millisecond
)

// storm plays overlapping faults until its time is over, and returns when the last one has ended.
func (s *Soaker) runFaultPhase(ctx context.Context, length time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	until := time.Now().Add(length)
	for ctx.Err() == nil && time.Now().Before(until) {
		f := s.drawFault()
		lasts := min(s.randomDuration(shortFault, longFault), max(time.Until(until), shortFault))
		running.Go(func() { s.runFault(ctx, f, lasts) })
		sleep(ctx, s.randomDuration(shortGap, longGap))
	}
}

func (s *Soaker) runFault(ctx context.Context, f fault, lasts time.Duration) {
	from := time.Now()
	s.log.Info().Str("event", "faultBegan").Str("fault", f.name).Strs("subjects", f.subjects).Dur("lasts", lasts).Msg("Fault begins")
	f.begin()
	sleep(ctx, lasts)
	f.end()
	s.log.Info().Str("event", "faultEnded").Str("fault", f.name).Strs("subjects", f.subjects).Msg("Fault is over")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, subject := range f.subjects {
		s.disturbances = append(s.disturbances, disturbance{subject: subject, from: from, to: time.Now()})
	}
}

// draw chooses a fault.
func (s *Soaker) drawFault() fault {
	switch at := s.random.IntN(10); {
	case at < 4:
		return s.processFault()
	case at < 6:
		return s.storeFault()
	case at < 8:
		return s.networkFault()
	default:
		return s.upstreamFault()
	}
}

// processFault disturbs one gateway by signals, or several at once.
func (s *Soaker) processFault() fault {
	instance := s.random.IntN(len(s.processes))
	p := s.processes[instance]
	subjects := []string{instanceSubject(instance)}
	start := func() { s.restart(p) }
	switch s.random.IntN(5) {
	case 0:
		return fault{"pause", subjects, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }}
	case 1:
		return fault{"kill", subjects, func() { <-p.signal(syscall.SIGKILL) }, start}
	case 2:
		return fault{"stop", subjects, p.stop, start}
	case 3:
		return fault{"reload", subjects, func() { s.rewriteSettings(p); p.signal(syscall.SIGHUP) }, func() { p.signal(syscall.SIGHUP) }}
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

// storeFault makes the store misbehave for all.
func (s *Soaker) storeFault() fault {
	healthy := func() { s.store.SetFault(platformer.Healthy) }
	subjects := []string{storeSubject}
	switch s.random.IntN(4) {
	case 0:
		return fault{"store silent", subjects, func() { s.store.SetFault(platformer.Silent) }, healthy}
	case 1:
		return fault{"store busy", subjects, func() { s.store.SetFault(platformer.Busy) }, healthy}
	case 2:
		return fault{"store deaf", subjects, func() { s.store.SetFault(platformer.NoWakeups) }, healthy}
	default:
		return fault{"store trims", subjects, func() { s.store.Trim(platformer.TopicServers) }, func() {}}
	}
}

// pathFault disturbs the way from one gateway to the store, or the way of all to one upstream.
func (s *Soaker) networkFault() fault {
	instance := s.random.IntN(len(s.processes))
	p, subject := s.processes[instance].storeProxy, instanceSubject(instance)
	if s.random.IntN(2) == 0 {
		b := s.backends[s.random.IntN(len(s.backends))]
		p, subject = b.proxy, b.upstream.ID
	}
	modes := []struct {
		name string
		mode proxyMode
	}{
		{"delay", modeDelay},
		{"silence", modeBlackhole},
		{"cut of requests", modeDropRequests},
		{"cut of answers", modeDropAnswers},
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
	b := s.backends[s.random.IntN(len(s.backends))]
	behaviours := []platformer.Behaviour{
		platformer.Rejects, platformer.Fails, platformer.Resets, platformer.Truncates, platformer.Unsigned, platformer.WrongAttempt,
		platformer.AnswersTwice, platformer.SkipsEvent, platformer.Hangs,
	}
	how := behaviours[s.random.IntN(len(behaviours))]
	return fault{
		fmt.Sprint("upstream behaviour ", int(how)),
		[]string{b.upstream.ID},
		func() { b.upstream.SetBehaviour(how) }, func() { b.upstream.SetBehaviour(platformer.Answers) },
	}
}

// between draws a time; a storm alone draws, so that a seed gives the same faults each time.
func (s *Soaker) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// disturbed notes a disturbance that no fault brings with it.
func (s *Soaker) recordDisturbance(subject string, from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, disturbance{subject: subject, from: from, to: to})
}

func (s *Soaker) restart(p *process) {
	if err := p.start(); err != nil {
		s.log.Error().Err(err).Str("event", "startFailed").Str("process", p.name).Msg("Gateway can't be started again")
	}
}

func (s *Soaker) rewriteSettings(p *process) {
	s.mu.Lock()
	s.revision++
	revision := s.revision
	s.mu.Unlock()
	if err := p.writeSettings(revision); err != nil {
		s.log.Error().Err(err).Str("event", "settingsUnwritable").Str("process", p.name).Msg("Settings stay as they were")
	}
}
