package checker

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/meterer"
	"rosemaryspool.example/core/replayer"
)

// dutyProcess is one process of a machine that may hold the duties. It follows the topic, claims the leases and makes the
// calls by the decisions of leaser, replayer and meterer.
type dutyProcess struct {
	simulation *dutySimulation
	slot       int
	holder     string
	alive      bool

	leaser    *leaser.Leaser
	permitter *leaser.Permitter
	ledger    *meterer.Ledger
	counter   *meterer.Counter
	collector *meterer.Collector
	sender    meterer.Sender

	// state is nil while the process doesn't follow the topic. unsure is true if records of it may have been appended
	// without its knowledge.
	state     *replayer.State
	era       identifier.Era
	everRead  bool
	unsure    bool
	storeBusy bool
	// readAt is when the process reads the topic next.
	readAt  time.Duration
	calling map[identifier.Scope]bool
	records int

	// drift is that of the process's clock in thousandths; wallOffset is the error of its wall clock.
	drift      time.Duration
	wallOffset time.Duration
	// standstill is what a clock has missed that stands still with the machine.
	standstill time.Duration
	frozen     bool
	backlog    []func()
	thawedAt   time.Duration
	// cutUntil is until when the process doesn't reach the store, refusedUntil until when the store turns it away.
	cutUntil, refusedUntil time.Duration
}

const holderSeparator = "/"

// start starts a process of a machine.
func (sm *dutySimulation) start(slot, incarnation int) {
	p := &dutyProcess{
		simulation: sm, slot: slot, alive: true, holder: fmt.Sprintf("m%d%s%d", slot, holderSeparator, incarnation),
		drift: time.Duration(sm.rng.IntN(7) - 3), wallOffset: sm.randomDuration(-50*time.Millisecond, 50*time.Millisecond),
		thawedAt: -dutyLease, calling: map[identifier.Scope]bool{}, counter: meterer.NewCounter(),
		collector: meterer.NewCollector(), ledger: meterer.NewLedger(usageWindow, usageDelay, encodeReport),
	}
	p.sender = meterer.Sender{Instance: identifier.InstanceID(fmt.Sprint("m", slot)), StartedMs: int64(incarnation)}
	p.leaser = leaser.NewLeaser(sm.leaserSettings(p.holder))
	p.permitter = leaser.NewPermitter(sm.permitSettings(), p.now())
	for _, scope := range dutyScopes {
		p.leaser.SetWanted(scope, true)
	}
	sm.processes[slot] = p
	p.act()
	p.exchangeCounts()
}

// encodeReport returns the body of a window's report; the counts are in the order of their names.
func encodeReport(w meterer.Window, counts meterer.Usage) ([]byte, error) {
	return json.Marshal(struct {
		Window meterer.Window
		Counts meterer.Usage
	}{w, counts})
}

// now returns the time on the clock that bounds leases, which runs while the machine is frozen.
func (p *dutyProcess) now() time.Time {
	elapsed := p.simulation.clock.Now
	return time.Unix(0, 0).Add(elapsed + elapsed*p.drift/1000 - p.standstill)
}

func (p *dutyProcess) wallNow() time.Time {
	return wallStart.Add(p.simulation.clock.Now + p.wallOffset)
}

// runOrDefer runs a function in the process now, or once it is thawed; a process that was killed drops it.
func (p *dutyProcess) runOrDefer(run func()) {
	switch {
	case !p.alive:
	case p.frozen:
		p.backlog = append(p.backlog, run)
	default:
		run()
	}
}

// act does what is due, and schedules the next time.
func (p *dutyProcess) act() {
	if !p.alive {
		return
	}
	if !p.frozen {
		if p.simulation.chance(60) {
			caller := identifier.CallerID(fmt.Sprint("account", p.simulation.rng.IntN(2)))
			p.counter.Count(meterer.WindowAt(p.wallNow(), usageWindow), caller)
		}
		p.giveOrder()
		p.reportUsage()
		p.callStore()
	}
	p.simulation.clock.After(p.simulation.randomDuration(40*time.Millisecond, 120*time.Millisecond), p.act)
}

// exchangeCounts tells all processes this one's counts each second; a third of the messages is lost.
func (p *dutyProcess) exchangeCounts() {
	sm := p.simulation
	if !p.alive {
		return
	}
	if counts, _ := p.counter.Since(0); !p.frozen {
		for _, other := range sm.processes {
			if other == nil || other != p && sm.chance(33) {
				continue
			}
			sm.clock.After(sm.networkDelay(), func() {
				other.runOrDefer(func() {
					for w, usage := range counts {
						other.collector.Merge(p.sender, w, usage)
					}
				})
			})
		}
	}
	sm.clock.After(time.Second, p.exchangeCounts)
}

// callStore makes the call to the store that is due: it loads the topic, claims leases or reads on.
func (p *dutyProcess) callStore() {
	switch {
	case p.storeBusy:
	case p.state == nil:
		p.exchange(false, p.load, nil)
	case p.unsure:
		p.exchange(false, p.read, nil)
	default:
		if claims := p.claims(); len(claims) > 0 {
			p.appendRecords(claims)
			return
		}
		if now := p.simulation.clock.Now; now >= p.readAt {
			p.readAt = now + dutyPoll
			p.exchange(false, p.read, nil)
		}
	}
}

// exchange makes a call to the store. perform carries it out there and returns what the process does with the answer.
// failed is called if there is none; certain is true if the call was not carried out.
func (p *dutyProcess) exchange(write bool, perform func() func(), failed func(certain bool)) {
	sm := p.simulation
	p.storeBusy = true
	end := func(delay time.Duration, run func()) {
		sm.clock.After(delay, func() {
			p.runOrDefer(func() {
				p.storeBusy = false
				run()
			})
		})
	}
	fail := func(certain bool) func() {
		return func() {
			if failed != nil {
				failed(certain)
			}
		}
	}
	now := sm.clock.Now
	switch {
	case now < p.cutUntil || now < sm.storeDownUntil:
		end(storeLimit, fail(false))
	case now < p.refusedUntil:
		end(sm.networkDelay(), fail(true))
	case write && now < sm.storeLateUntil && sm.chance(30):
		sm.clock.After(sm.randomDuration(0, maxStoreDelay), func() { perform() })
		end(storeLimit, fail(false))
	default:
		sm.clock.After(sm.networkDelay(), func() {
			answer := perform()
			end(sm.networkDelay(), answer)
		})
	}
}

// load reads all records, with which following the topic begins. All leases are taken to be held by others from now on.
func (p *dutyProcess) load() func() {
	store := p.simulation.store
	records, era := store.records[:len(store.records):len(store.records)], store.era
	return func() {
		returned, fresh := p.everRead && era != p.era, era > 0
		p.everRead, p.era, p.unsure = true, era, false
		known := make([]replayer.Lease, 0, len(dutyScopes))
		for _, scope := range dutyScopes {
			lease := replayer.Lease{Scope: scope, Duration: dutyLease}
			for i, r := range records {
				if r.claim == nil || r.scope != scope || !p.ofEra(r) {
					continue
				}
				if granted, ok := replayer.GrantedLease(p.offset(uint64(i)), r.claim); ok {
					lease, fresh = granted, false
				}
			}
			known = append(known, lease)
		}
		for _, r := range records {
			p.readIntent(r)
		}
		p.state = replayer.NewStateAt("", p.offset(uint64(len(records))), known)
		now := p.now()
		if p.simulation.variant == VariantLoadedLeasesOver {
			now = now.Add(-2 * dutyLease)
		}
		p.leaser.Reset(now, known)
		if (returned || fresh) && p.simulation.variant != VariantNoDoubt {
			p.ledger.DoubtBefore(p.wallNow())
		}
	}
}

// read applies the records that follow.
func (p *dutyProcess) read() func() {
	store := p.simulation.store
	records, era := store.records[:len(store.records):len(store.records)], store.era
	return func() {
		if p.state == nil {
			return
		}
		next := p.next()
		if era != p.era && p.simulation.variant != VariantIgnoreEra || next > uint64(len(records)) {
			p.changeEra()
			return
		}
		p.unsure = false
		for i := next; i < uint64(len(records)); i++ {
			p.apply(i, records[i])
		}
	}
}

// changeEra ends all leases: the store has returned from an older copy.
func (p *dutyProcess) changeEra() {
	p.leaser.Abandon()
	p.state = nil
}

func (p *dutyProcess) offset(stored uint64) identifier.Offset {
	if p.simulation.variant == VariantIgnoreEra {
		return replayer.OffsetInEra(0, stored)
	}
	return replayer.OffsetInEra(p.era, stored)
}

// next returns the offset at the store of the next record.
func (p *dutyProcess) next() uint64 { return replayer.StoredOffset(p.state.Next()) }

// ofEra reports whether a claim was made in the era that this process follows.
func (p *dutyProcess) ofEra(r dutyRecord) bool {
	return r.era == p.era || p.simulation.variant == VariantIgnoreEra
}

// apply applies the record at an offset of the store.
func (p *dutyProcess) apply(stored uint64, r dutyRecord) {
	offset := p.offset(stored)
	if p.state == nil || offset != p.state.Next() {
		return
	}
	if r.claim == nil || !p.ofEra(r) {
		p.readIntent(r)
		_ = p.state.Skip(offset)
		return
	}
	before, _ := p.state.Lease(r.scope)
	applied, err := p.state.Apply(offset, r.claim)
	if err != nil {
		return
	}
	granted, ok := applied.Effect.(replayer.LeaseGranted)
	if !ok {
		return
	}
	for _, d := range p.leaser.Granted(p.now(), applied.Record, granted) {
		if g, gained := d.(leaser.Gained); gained {
			p.simulation.result.LeaseGains++
			p.permitter.Gained(p.now(), g.Lease, before.Holder != "" && !p.isOwn(before.Holder))
		}
	}
	if lease, held := p.leaser.Held(p.now(), r.scope); held {
		p.permitter.Held(lease)
	}
}

// isOwn reports whether a holder is a process of this machine.
func (p *dutyProcess) isOwn(holder string) bool {
	machine, _, _ := strings.Cut(holder, holderSeparator)
	own, _, _ := strings.Cut(p.holder, holderSeparator)
	return machine == own
}

func (p *dutyProcess) readIntent(r dutyRecord) {
	if r.intent != nil {
		p.ledger.Recorded(r.intent.window, r.intent.body, r.intent.digest)
	}
}

// claims returns the claims that are due.
func (p *dutyProcess) claims() []dutyRecord {
	var records []dutyRecord
	for _, d := range p.leaser.Decide(p.now(), func(identifier.Scope) bool { return true }) {
		c, ok := d.(leaser.Claim)
		if !ok {
			continue
		}
		p.records++
		id := identifier.RecordID(fmt.Sprintf("%s/%d", p.holder, p.records))
		if raw, err := p.leaser.Encode(id, c); err == nil {
			p.leaser.ClaimSent(p.now(), c.Scope, c.Renewal, id)
			records = append(records, dutyRecord{scope: c.Scope, era: p.era, claim: raw})
		}
	}
	return records
}

// appendRecords appends records, under the condition that nothing was appended since the last one that this process knows.
func (p *dutyProcess) appendRecords(records []dutyRecord) {
	store, at := p.simulation.store, p.next()
	p.exchange(true, func() func() {
		moved := !store.append(at, records)
		era := store.era
		return func() {
			switch {
			case p.state == nil:
			case moved:
				p.forgetClaims(records)
				p.unsure = true
			case era != p.era && p.simulation.variant != VariantIgnoreEra:
				p.changeEra()
			default:
				for i, r := range records {
					p.apply(at+uint64(i), r)
				}
			}
		}
	}, func(certain bool) {
		if certain {
			p.forgetClaims(records)
			return
		}
		p.unsure = true
	})
}

// forgetClaims records that claims were certainly not appended.
func (p *dutyProcess) forgetClaims(records []dutyRecord) {
	for _, r := range records {
		if r.claim != nil {
			p.leaser.RecordFailed(p.now(), r.claim)
		}
	}
}
