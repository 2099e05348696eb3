package allocator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// client is an account that sends requests with a prompt of its own to engines.
type client struct {
	caller identifier.CallerID
	rank   int
	tokens identifier.Tokens
	// perSecond is the rate of new requests from one time to another.
	perSecond float64
	from, to  time.Duration
	// repeats is how often a refused request is sent again at once; 0 sends it again once, as the Retry-After says.
	repeats int
}

// fate is what became of an account's requests.
type fate struct {
	sent, inAim, late, refused int
	// returned counts those that came back after a refusal, welcome those of them that were admitted.
	returned, welcome int
}

func (f fate) share() float64 { return float64(f.inAim) / float64(max(1, f.sent)) }

// tokensPerMs is what an engine of the fleet prefills, chunk the number of tokens that it prefills without a break.
const (
	tokensPerMs = 100
	chunk       = 2048
)

// fleetAim is the latency target of the requests.
const fleetAim = 300 * time.Millisecond

// job is a request at an engine, or on its way back after a refusal.
type job struct {
	client   int
	arrived  time.Time
	place    Placement
	req      Request
	returned bool
	// left is the part of the prompt that is not prefilled yet.
	left identifier.Tokens
}

// urgency orders the jobs at an engine, the lowest first.
func (j job) urgency() Level {
	if j.place.Deferred {
		return lastLevel + 1
	}
	return j.place.Level
}

// sharedFleet is a service of engines that work on one prefill at a time, the most urgent first. Each request is placed by
// one of the arbiters. Every 5 ms the instances report the requests that they have in flight, which an arbiter that has not
// placed them learns from that, unless the network is cut.
type sharedFleet struct {
	arbiters []*Allocator
	queues   map[identifier.UpstreamID][]job
	busy     map[identifier.UpstreamID]time.Time
	waiting  []job
	fates    []fate
	clients  []client
	now      time.Time
	number   int
	// arbiter chooses who decides at a time.
	arbiter func(elapsed time.Duration, number int) int
	isCut   func(elapsed time.Duration) bool
}

// newSharedFleet returns a service of engines. Those of the first number prefill between the tokens of answers, the others only
// prefill, twice as fast.
func newSharedFleet(engines, prefillers, arbiters int, clients []client) *sharedFleet {
	f := &sharedFleet{
		queues: map[identifier.UpstreamID][]job{}, busy: map[identifier.UpstreamID]time.Time{}, clients: clients,
		fates: make([]fate, len(clients)), now: time.Now(), arbiter: func(time.Duration, int) int { return 0 },
		isCut: func(time.Duration) bool { return false },
	}
	var entries []tracker.Entry
	for i := range engines + prefillers {
		role := tracker.RoleDecode
		if i >= engines {
			role = tracker.RolePrefill
		}
		entries = append(entries, tracker.Entry{
			Upstream: identifier.UpstreamID(fmt.Sprint("e", i)), Service: model, Slots: 200, Role: role,
			DataCentre: "here",
		})
	}
	settings := DefaultSettings()
	settings.MixedPrefillRate, settings.PrefillRate = tokensPerMs, 2*tokensPerMs
	for range arbiters {
		a := NewAllocator(settings, "here")
		a.SetUpstreams(entries)
		f.arbiters = append(f.arbiters, a)
	}
	return f
}

// play sends the clients' requests for a time and lets the engines work.
func (f *sharedFleet) play(length time.Duration) []fate {
	const tick = time.Millisecond
	started := f.now
	debts := make([]float64, len(f.clients))
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		f.now = started.Add(elapsed)
		for i := range f.clients {
			n := (i + int(elapsed/tick)) % len(f.clients)
			c := f.clients[n]
			if elapsed < c.from || elapsed >= c.to {
				continue
			}
			for debts[n] += c.perSecond * tick.Seconds(); debts[n] >= 1; debts[n]-- {
				f.number++
				f.fates[n].sent++
				f.send(elapsed, job{client: n, arrived: f.now, req: Request{
					Service: model, Engine: true, Output: 2, Target: fleetAim, Caller: c.caller, Rank: c.rank,
					Prompt: []PromptPart{{Hash: uint64(f.number), Tokens: c.tokens}},
				}}, c.repeats)
			}
		}
		due := slices.IndexFunc(f.waiting, func(j job) bool { return j.arrived.After(f.now) })
		if due < 0 {
			due = len(f.waiting)
		}
		for _, j := range f.waiting[:due] {
			f.send(elapsed, j, 0)
		}
		f.waiting = f.waiting[due:]
		f.work()
		if elapsed%(5*tick) == 0 && !f.isCut(elapsed) {
			f.report()
		}
	}
	return f.fates
}

// report tells the arbiters of the requests that the others have placed.
func (f *sharedFleet) report() {
	for i, a := range f.arbiters {
		for j, other := range f.arbiters {
			if i != j {
				a.UpdatePeer(f.now, identifier.InstanceID(fmt.Sprint(j)), model, other.OwnLoads(model), 1)
			}
		}
	}
}

func (f *sharedFleet) send(elapsed time.Duration, j job, repeats int) {
	at := &f.fates[j.client]
	j.req.TimeToTarget, j.req.TimeToDeadline = fleetAim, 2*time.Second
	if j.returned {
		j.req.TimeToTarget, j.req.TimeToDeadline, j.req.Returned = 0, 1500*time.Millisecond, true
		at.returned++
	}
	for try := 0; ; try++ {
		place, refusal := f.arbiters[f.arbiter(elapsed, f.number)].Place(f.now, j.req)
		switch {
		case refusal == nil:
			j.place = place
			if j.returned {
				at.welcome++
			}
			j.left = j.req.promptTokens()
			id := place.Upstream
			if place.Prefiller != "" {
				id = place.Prefiller
				j.left /= 2
			}
			f.queues[id] = append(f.queues[id], j)
			return
		case try < repeats:
			continue
		case j.returned || repeats > 0:
			at.refused++
			return
		}
		j.returned, j.arrived = true, f.now.Add(refusal.RetryAfter)
		i, _ := slices.BinarySearchFunc(f.waiting, j, func(x, y job) int { return x.arrived.Compare(y.arrived) })
		f.waiting = slices.Insert(f.waiting, i, j)
		return
	}
}

// work ends the chunks that are done by now and begins the next ones.
func (f *sharedFleet) work() {
	for _, e := range f.arbiters[0].Entries(model) {
		id := e.Upstream
		for len(f.queues[id]) > 0 && !f.busy[id].After(f.now) {
			queue := f.queues[id]
			next := 0
			for i, j := range queue {
				if cmp.Or(cmp.Compare(j.urgency(), queue[next].urgency()), j.place.placed.Compare(queue[next].place.placed)) < 0 {
					next = i
				}
			}
			j := &queue[next]
			begun := f.now
			if f.busy[id].After(j.place.placed) {
				begun = f.busy[id]
			}
			part := min(j.left, chunk)
			f.busy[id] = begun.Add(time.Duration(part) * time.Millisecond / tokensPerMs)
			if j.left -= part; j.left == 0 {
				f.end(*j, f.busy[id])
				f.queues[id] = slices.Delete(queue, next, next+1)
			}
		}
	}
}

func (f *sharedFleet) end(j job, ended time.Time) {
	at := &f.fates[j.client]
	if !j.returned && ended.Sub(j.arrived) <= fleetAim {
		at.inAim++
	} else {
		at.late++
	}
	for _, a := range f.arbiters {
		p := j.place
		reader, sent := p.Upstream, p.placed
		if p.Prefiller != "" {
			reader = p.Prefiller
		}
		if own := a.upstreams[reader].own; own.QueuedPrefill+own.DeferredPrefill > 0 {
			if p.Prefiller != "" {
				a.PrefillEnded(ended, &p, OutcomeCompleted)
				sent = ended
			}
			a.FirstEventArrived(ended, sent, &p)
			a.Ended(ended, sent, p, OutcomeCompleted)
			return
		}
	}
}

// jain is Jain's index of fairness: 1 if all values are equal.
func jain(values []float64) float64 {
	total, squares := 0.0, 0.0
	for _, v := range values {
		total += v
		squares += v * v
	}
	return total * total / (float64(len(values)) * squares)
}

// describe logs what each account got, and returns the shares served in aim of those but the first, the lowest first.
func describe(t *testing.T, clients []client, fates []fate) []float64 {
	t.Helper()
	var others []float64
	for i, f := range fates {
		t.Logf("%-8s rank %d sent %d in aim %d late %d refused %d returned %d welcome %d", clients[i].caller,
			clients[i].rank, f.sent, f.inAim, f.late, f.refused, f.returned, f.welcome)
		if i > 0 {
			others = append(others, f.share())
		}
	}
	slices.Sort(others)
	t.Logf("Jain's index %.3f, least served tenth %.3f", jain(others), others[len(others)/10])
	return others
}

const always = time.Hour

// smallClients returns 20 accounts that together ask for half of what 10 engines do.
func smallClients() []client {
	var cs []client
	for i := range 20 {
		cs = append(cs, client{caller: identifier.CallerID(fmt.Sprint("small", i)), tokens: 1000, perSecond: 25, to: always})
	}
	return cs
}

// The load: ten engines that bear 1000 requests a second of 1000 tokens, of which twenty small accounts ask for 500.
func TestLargeAccountPaysForItself(t *testing.T) {
	for _, c := range []struct {
		name  string
		large client
	}{
		{"ten times its share in requests", client{tokens: 1000, perSecond: 1000, to: always}},
		{"in long prompts", client{tokens: 10000, perSecond: 100, to: always}},
		{"repeating at once", client{tokens: 1000, perSecond: 700, to: always, repeats: 3}},
		{"more urgent", client{tokens: 1000, perSecond: 1000, to: always, rank: 0}},
		{"in a flood that ends as its keys are removed", client{tokens: 1000, perSecond: 3000, from: 2 * time.Second, to: 4 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			small := smallClients()
			if c.name == "more urgent" {
				for i := range small {
					small[i].rank = 2
				}
			}
			c.large.caller = "large"
			clients := append([]client{c.large}, small...)
			f := newSharedFleet(10, 0, 1, clients)
			fates := f.play(8 * time.Second)
			others := describe(t, clients, fates)
			require.GreaterOrEqual(t, others[0], 0.9)
			require.GreaterOrEqual(t, jain(others), 0.99)
			if c.large.to == always {
				// 5 of 10 engines.
				work := float64(fates[0].inAim+fates[0].late) * float64(c.large.tokens) / tokensPerMs / 1000
				require.GreaterOrEqual(t, work, 0.85*8*5, "the large account gets what the others leave")
			}
		})
	}
}

func TestRoomIsNotKeptBack(t *testing.T) {
	clients := append([]client{{caller: "large", tokens: 1000, perSecond: 350, to: always}}, smallClients()...)
	fates := newSharedFleet(10, 0, 1, clients).play(6 * time.Second)
	require.GreaterOrEqual(t, describe(t, clients, fates)[0], 0.97)
	require.GreaterOrEqual(t, fates[0].share(), 0.97)
}

// The load: half of the accounts ask for twice their share by turns of two seconds.
func TestUnusedSharesGoToTheOthersAtOnce(t *testing.T) {
	var clients []client
	for turn := range 4 {
		for i := range 5 {
			from := time.Duration(turn) * 2 * time.Second
			clients = append(clients, client{
				caller: identifier.CallerID(fmt.Sprintf("turn%d-%d", turn, i)), tokens: 1000, perSecond: 180,
				from: from, to: from + 2*time.Second,
			})
		}
	}
	fates := newSharedFleet(10, 0, 1, clients).play(8500 * time.Millisecond)
	others := describe(t, clients, fates)
	require.GreaterOrEqual(t, others[0], 0.85, "nine tenths of the engines' time are asked for in each turn")
	require.GreaterOrEqual(t, jain(others), 0.99)
}

// A more urgent account's requests overtake the others at the engines. Requests that would be late for it aren't admitted.
func TestLessUrgentRequestsAreRefusedRatherThanLate(t *testing.T) {
	var clients []client
	for i := range 4 {
		clients = append(clients, client{
			caller: identifier.CallerID(fmt.Sprint("account", i)), tokens: 1000, perSecond: 330, rank: i, to: always,
		})
	}
	fates := newSharedFleet(10, 0, 1, clients).play(8 * time.Second)
	describe(t, clients, fates)
	served, late := 0, 0
	for _, f := range fates {
		served += f.inAim + f.late
		late += f.late - f.welcome
		require.GreaterOrEqual(t, f.inAim+f.late, 8*1000/4*3/5, "three fifths of a fair share")
	}
	require.LessOrEqual(t, float64(late), 0.05*float64(served))
	require.GreaterOrEqual(t, float64(served), 0.9*8*1000, "engines are kept busy")
}

// A new arbiter that knows nothing takes over in the middle, and for a second two parts of the instances have each their
// own.
func TestArbitersThatAreCutOffOrKilled(t *testing.T) {
	never := func(time.Duration) bool { return false }
	inFourthSecond := func(elapsed time.Duration) bool { return elapsed > 3*time.Second && elapsed < 4*time.Second }
	for _, c := range []struct {
		name    string
		arbiter func(elapsed time.Duration, number int) int
		isCut   func(elapsed time.Duration) bool
		least   float64
	}{
		{"killed", func(elapsed time.Duration, _ int) int { return min(1, int(elapsed/(4*time.Second))) }, never, 0.85},
		{"cut", func(elapsed time.Duration, number int) int {
			if inFourthSecond(elapsed) {
				return number % 2
			}
			return 0
		}, inFourthSecond, 0.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			clients := append([]client{{caller: "large", tokens: 1000, perSecond: 1000, to: always}}, smallClients()...)
			f := newSharedFleet(10, 0, 2, clients)
			f.arbiter, f.isCut = c.arbiter, c.isCut
			others := describe(t, clients, f.play(8*time.Second))
			require.GreaterOrEqual(t, others[0], c.least)
			require.GreaterOrEqual(t, jain(others), 0.99)
		})
	}
}

func TestRefusedRequestsComeBackOneAfterTheOther(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	req := func(caller identifier.CallerID, i int) Request {
		r := unsharedRequest(i, 3000)
		r.Caller = caller
		return r
	}
	var waits []time.Duration
	for i := range 200 {
		now = now.Add(time.Millisecond)
		if _, refusal := a.Place(now, req("large", i)); refusal != nil {
			waits = append(waits, refusal.RetryAfter)
			require.Positive(t, refusal.RetryAfter)
			require.LessOrEqual(t, refusal.RetryAfter, time.Duration(returnShare*float64(2*time.Second)))
		}
	}
	require.Greater(t, len(waits), 100)
	slices.Sort(waits)
	spread := 0
	for i, wait := range waits[1:] {
		if wait != waits[i] {
			spread++
		}
	}
	require.Greater(t, float64(spread), 0.9*float64(len(waits)))
}

func TestRequestsWithoutAccountsAreDecidedAsBefore(t *testing.T) {
	now := time.Now()
	a, b := newTestAllocator(4, 2), newTestAllocator(4, 2)
	for i := range 300 {
		now = now.Add(time.Millisecond)
		req := longPromptRequest(i%40, 2000)
		got, refusal := a.Place(now, req)
		// A rank without an account changes nothing.
		req.Rank, req.Returned = i%5, false
		want, wantRefusal := b.Place(now, req)
		require.Equal(t, wantRefusal, refusal)
		require.Equal(t, want, got)
		if refusal != nil {
			require.Equal(t, DefaultSettings().RetryAfter, refusal.RetryAfter)
		}
	}
	require.Empty(t, a.sharers)
	_, limit := a.Shares(now, model, 5)
	require.True(t, math.IsInf(limit, 1))
}
