package steward

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/meterer"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/wire/messenger"
)

const (
	// exchangeInterval is the time between two reports of this instance's counts to a candidate. An instance that is
	// killed takes the counts of this time with it at most.
	exchangeInterval = time.Second
	// minPhase and maxPhase bound when in the interval an instance sends: soon after a window has ended.
	minPhase = 50 * time.Millisecond
	maxPhase = 500 * time.Millisecond
	// clockInterval is the time between two reports where there is nothing new, so that clocks are compared.
	clockInterval = 2 * time.Second
	// heardTime is how long an instance counts as heard after a report of it.
	heardTime = 2 * clockInterval
	// minHeardShare is the share of the instances that a holder must hear to know their counts.
	minHeardShare = 0.75
	// maxReportBytes bounds a report; the datagram's other fields take up to 200 bytes.
	maxReportBytes = 1100
	// windowBytes and callerBytes are the sizes of a window and of an account's count without its name.
	windowBytes = 16
	callerBytes = 12
	// keptDelays is for how many report delays counts are kept.
	keptDelays = 3
	// maxUnanswered is how many reports in a row a candidate may leave unanswered before it is passed over for a while,
	// which doubles from minSilence to maxSilence.
	maxUnanswered = 3
	minSilence    = 5 * time.Second
	maxSilence    = 40 * time.Second
	// maxRoundTrip is the age above which a receipt says nothing about the time.
	maxRoundTrip = 500 * time.Millisecond
	// standstill is a pause of this process after which datagrams have waited for it, and backlogTime how long it takes
	// until they are read: their times are outdated.
	standstill  = 500 * time.Millisecond
	backlogTime = time.Second
)

// recipient is what this instance knows of one candidate to which it reports.
type recipient struct {
	startedMs int64
	// acknowledged is the version of the counter up to which the candidate has all counts.
	acknowledged uint64
	// pending holds the numbers of the latest round of reports without receipts; version is the counter's at that time.
	pending     map[uint64]bool
	version     uint64
	sentAt      time.Duration
	unanswered  int
	silence     time.Duration
	silentUntil time.Duration
}

// exchange is the state of the reports to candidates.
type exchange struct {
	recipients map[identifier.InstanceID]*recipient
	// nextNumber is the number of the next report.
	nextNumber uint64
	// clockKnown is true once another instance's reference was adopted.
	clockKnown bool
	// tickAt is when this process was last seen to run, backlogUntil the time until which datagrams may have waited.
	tickAt       time.Duration
	backlogUntil time.Duration
	// heardAt is when each other instance last reported.
	heardAt map[identifier.InstanceID]time.Duration
}

// heard returns how many instances have reported lately, this one included.
func (e *exchange) heard(now time.Duration) int {
	maps.DeleteFunc(e.heardAt, func(_ identifier.InstanceID, at time.Duration) bool { return now-at > heardTime })
	return 1 + len(e.heardAt)
}

// tick records that this process runs.
func (e *exchange) tick(now time.Duration) {
	if now-e.tickAt > standstill {
		e.backlogUntil = now + backlogTime
	}
	e.tickAt = now
}

// punctual reports whether datagrams are read as they arrive.
func (e *exchange) punctual(now time.Duration) bool {
	return now-e.tickAt <= standstill && now >= e.backlogUntil
}

func newExchange(self elector.Member) exchange {
	return exchange{
		nextNumber: self.FirstNumber(), recipients: map[identifier.InstanceID]*recipient{},
		heardAt: map[identifier.InstanceID]time.Duration{},
	}
}

// watchStandstill notices that this process has stood still, until ctx ends.
func (s *Steward) watchStandstill(ctx context.Context) {
	for {
		s.mu.Lock()
		s.exchange.tick(s.elapsed())
		s.mu.Unlock()
		if !pause(ctx, standstill/5) {
			return
		}
	}
}

// exchangeUsage sends this instance's counts to the candidates until ctx ends.
func (s *Steward) exchangeUsage(ctx context.Context) {
	phase := minPhase + rand.N(maxPhase-minPhase)
	for pause(ctx, s.untilPhase(phase)) {
		s.sendCounts()
	}
}

// untilPhase returns the time until the next interval's phase.
func (s *Steward) untilPhase(phase time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	into := time.Duration(s.clock.Now(s.elapsed()).UnixNano() % int64(exchangeInterval))
	if into < phase {
		return phase - into
	}
	return exchangeInterval + phase - into
}

// Flush sends the counts that no candidate has acknowledged yet; an instance that stops does so last.
func (s *Steward) Flush() { s.sendCounts() }

// sendCounts sends the candidates what is new, and asks for a sign of them.
func (s *Steward) sendCounts() {
	_, recipients := s.stewards(Candidates)
	for _, m := range recipients {
		if m.Instance != s.peers.Self().Instance {
			s.sendReports(m)
		}
	}
	if !s.settings.ReportsUsage {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectOwn()
	oldest := meterer.WindowAt(
		s.clock.Now(s.elapsed()).Add(-keptDelays*s.settings.ReportDelay), s.settings.ReportWindow,
	)
	s.counter.Discard(oldest)
	s.collector.Discard(oldest)
}

func (s *Steward) sendReports(to elector.Member) {
	for _, report := range s.nextReports(to) {
		s.count("usageDatagrams")
		s.sender.Send(to, &messenger.Datagram{Body: &messenger.Datagram_UsageReport{UsageReport: report}})
	}
}

// stewards returns the first candidates that answer, and the recipients of reports: these and the silent ones before them.
func (s *Steward) stewards(limit int) (chosen, recipients []elector.Member) {
	s.mu.Lock()
	now := s.elapsed()
	silent := map[identifier.InstanceID]bool{}
	for id, r := range s.exchange.recipients {
		if now < r.silentUntil {
			silent[id] = true
		}
	}
	s.mu.Unlock()
	for _, m := range s.peers.Stewards(limit + len(silent)) {
		if len(chosen) == limit {
			break
		}
		recipients = append(recipients, m)
		if !silent[m.Instance] {
			chosen = append(chosen, m)
		}
	}
	return chosen, recipients
}

// collectOwn adds this instance's counts to those of the others. The caller holds the mutex.
func (s *Steward) collectOwn() {
	self := s.peers.Self()
	counts, version := s.counter.Since(s.collected)
	s.collected = version
	for w, usage := range counts {
		s.collector.Merge(meterer.Sender{Instance: self.Instance, StartedMs: self.StartedMs}, w, usage)
	}
}

// nextReports returns the reports that are due to a candidate. One that is silent gets no counts until it answers.
func (s *Steward) nextReports(to elector.Member) []*messenger.UsageReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.elapsed()
	r := s.exchange.recipients[to.Instance]
	if r == nil || r.startedMs != to.StartedMs {
		r = &recipient{startedMs: to.StartedMs, sentAt: now - clockInterval}
		s.exchange.recipients[to.Instance] = r
	}
	silent := now < r.silentUntil
	if len(r.pending) > 0 && !silent {
		r.unanswered++
	}
	if r.unanswered >= maxUnanswered {
		r.silence = min(max(minSilence, 2*r.silence), maxSilence)
		r.unanswered, r.silentUntil = 0, now+r.silence
		s.log.Debug().Str("event", "candidateSilent").Str("peer", string(to.Instance)).
			Msg("A candidate for the duties does not answer and is passed over for a while")
	}
	counts, version := s.counter.Since(r.acknowledged)
	if silent {
		counts, version = nil, r.acknowledged
	}
	if len(counts) == 0 && len(r.pending) == 0 && s.exchange.clockKnown && now-r.sentAt < clockInterval {
		return nil
	}
	reports := splitCounts(counts)
	r.pending, r.version, r.sentAt = map[uint64]bool{}, version, now
	for _, report := range reports {
		report.Number, report.ClockMs = s.exchange.nextNumber, s.clock.Uncorrected(now).UnixMilli()
		r.pending[report.GetNumber()] = true
		s.exchange.nextNumber++
	}
	return reports
}

// splitCounts returns reports that fit into datagrams; one without counts if there are none.
func splitCounts(counts map[meterer.Window]meterer.Usage) []*messenger.UsageReport {
	report, size := &messenger.UsageReport{}, 0
	reports := []*messenger.UsageReport{report}
	for w, usage := range counts {
		var window *messenger.UsageWindow
		for caller, n := range usage {
			if size+windowBytes+callerBytes+len(caller) > maxReportBytes {
				report, size, window = &messenger.UsageReport{}, 0, nil
				reports = append(reports, report)
			}
			if window == nil {
				window = &messenger.UsageWindow{Window: uint64(w)}
				report.Windows = append(report.Windows, window)
				size += windowBytes
			}
			window.Callers = append(window.Callers, &messenger.CallerUsage{Caller: string(caller), Requests: uint32(n)})
			size += callerBytes + len(caller)
		}
	}
	return reports
}

// HandleUsageReport takes over the counts and the time of another instance.
func (s *Steward) HandleUsageReport(r courier.Received, m *messenger.UsageReport) {
	s.mu.Lock()
	elapsed := s.elapsed()
	s.exchange.heardAt[r.Sender.Instance] = elapsed
	punctual := s.exchange.punctual(elapsed)
	if punctual && m.GetClockMs() != 0 {
		s.clock.Heard(elapsed, r.Sender.Instance, time.UnixMilli(m.GetClockMs()))
	}
	if s.settings.ReportsUsage {
		s.collect(meterer.Sender{Instance: r.Sender.Instance, StartedMs: r.Sender.StartedMs}, m.GetWindows())
	}
	reference, known := s.clock.Reference(elapsed)
	known = known && punctual
	if known {
		s.correctClock(elapsed, reference, r.Sender.Instance)
	}
	s.mu.Unlock()
	if m.GetNumber() == 0 {
		return
	}
	receipt := &messenger.UsageReceipt{Number: m.GetNumber()}
	if known {
		receipt.ClockMs = reference.UnixMilli()
	}
	s.sender.Send(r.Sender, &messenger.Datagram{Body: &messenger.Datagram_UsageReceipt{UsageReceipt: receipt}})
}

// collect takes over the counts of another instance. The caller holds the mutex.
func (s *Steward) collect(sender meterer.Sender, windows []*messenger.UsageWindow) {
	now := s.clock.Now(s.elapsed())
	oldest := meterer.WindowAt(now.Add(-keptDelays*s.settings.ReportDelay), s.settings.ReportWindow)
	newest := meterer.WindowAt(now.Add(s.settings.ReportDelay), s.settings.ReportWindow)
	for _, window := range windows {
		w := meterer.Window(window.GetWindow())
		if w < oldest || w > newest {
			continue
		}
		usage := make(meterer.Usage, len(window.GetCallers()))
		for _, c := range window.GetCallers() {
			usage[identifier.CallerID(c.GetCaller())] = uint64(c.GetRequests())
		}
		s.collector.Merge(sender, w, usage)
	}
}

// HandleUsageReceipt takes over a candidate's receipt and its time.
func (s *Steward) HandleUsageReceipt(r courier.Received, m *messenger.UsageReceipt) {
	if s.takeReceipt(r, m) {
		// The candidate was silent and got no counts.
		s.sendReports(r.Sender)
	}
}

// takeReceipt takes over a receipt and reports whether the candidate was silent before.
func (s *Steward) takeReceipt(r courier.Received, m *messenger.UsageReceipt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.exchange.recipients[r.Sender.Instance]
	if to == nil || to.startedMs != r.Sender.StartedMs {
		return false
	}
	returned := s.elapsed() < to.silentUntil
	to.unanswered, to.silence, to.silentUntil = 0, 0, 0
	latest, now := to.pending[m.GetNumber()], s.elapsed()
	if latest {
		delete(to.pending, m.GetNumber())
		if len(to.pending) == 0 {
			to.acknowledged = to.version
		}
	}
	if m.GetClockMs() != 0 && latest && now-to.sentAt <= maxRoundTrip && s.exchange.punctual(now) {
		s.exchange.clockKnown = true
		s.correctClock(now, time.UnixMilli(m.GetClockMs()), r.Sender.Instance)
	}
	return returned
}

// correctClock sets the clock to the median of the instances' clocks. The caller holds the mutex.
func (s *Steward) correctClock(elapsed time.Duration, reference time.Time, from identifier.InstanceID) {
	if change := s.clock.Adopt(elapsed, reference); change != 0 {
		s.count("clockCorrections")
		s.log.Info().Str("event", "clockCorrected").Dur("changeMs", change).Str("peer", string(from)).
			Msg("The time by which usage is counted follows that of most instances")
	}
}
