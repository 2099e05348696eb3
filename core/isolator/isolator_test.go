package isolator

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

const (
	popular Trait = 1
	fatal   Trait = 2
	rare    Trait = 3
	content       = contentBit | 1
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func process(n int) Process {
	return Process{Upstream: identifier.UpstreamID(fmt.Sprintf("u%d", n)), Incarnation: 1}
}

// crash records that requests with these traits, sent 50 ms before, broke off as a process ended.
func crash(i *Isolator, at time.Time, p Process, traits ...Trait) {
	i.Broken(at, at.Add(-50*time.Millisecond), p, traits)
	i.Ended(at.Add(5*time.Millisecond), p)
}

func status(i *Isolator, at time.Time, traits ...Trait) Status {
	return i.Check(at, traits, 1).Status
}

func TestStatusOfTraits(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name   string
		play   func(i *Isolator)
		traits []Trait
		want   Status
	}{
		{"one crash explains nothing", func(i *Isolator) {
			crash(i, at(0), process(1), fatal)
		}, []Trait{fatal}, Free},
		{"two crashes make a suspect", func(i *Isolator) {
			crash(i, at(0), process(1), fatal)
			crash(i, at(300), process(2), fatal)
		}, []Trait{popular, fatal}, Suspected},
		{"three crashes prove it of a whole request", func(i *Isolator) {
			for n := range 3 {
				crash(i, at(300*n), process(n), popular, content)
			}
		}, []Trait{content}, Quarantined},
		{"three crashes may take a sound part too", func(i *Isolator) {
			for n := range 3 {
				crash(i, at(300*n), process(n), popular, content)
			}
		}, []Trait{popular}, Suspected},
		{"four crashes prove it of a part", func(i *Isolator) {
			for n := range 4 {
				crash(i, at(300*n), process(n), fatal)
			}
		}, []Trait{popular, fatal}, Quarantined},
		{"one crash seen by many requests counts once", func(i *Isolator) {
			for range 5 {
				crash(i, at(0), process(1), fatal)
			}
		}, []Trait{fatal}, Free},
		{"upstreams that end together count once", func(i *Isolator) {
			for n := range 5 {
				crash(i, at(n), process(n), rare)
			}
		}, []Trait{rare}, Free},
		{"a retry that ends another upstream counts, however quickly it follows", func(i *Isolator) {
			for n := range 2 {
				crash(i, at(60*n), process(n), fatal)
			}
		}, []Trait{fatal}, Suspected},
		{"a retry that is sent as the crash is seen counts", func(i *Isolator) {
			for n := range 2 {
				crash(i, at(50*n), process(n), fatal)
			}
		}, []Trait{fatal}, Suspected},
		{"requests that were sent before others knew of the suspicion prove nothing", func(i *Isolator) {
			for n := range 4 {
				crash(i, at(60*n), process(n), popular, fatal)
			}
		}, []Trait{popular}, Suspected},
		{"the first trial after them proves it", func(i *Isolator) {
			for n := range 4 {
				crash(i, at(60*n), process(n), content)
			}
			crash(i, at(60+int(i.settings.ReportTime.Milliseconds())+51), process(5), content)
		}, []Trait{content}, Quarantined},
		{"a popular part in every crash stays free", func(i *Isolator) {
			i.Answered(at(-5000), process(9), []Trait{popular})
			for n := range 5 {
				crash(i, at(300*n), process(n), popular, fatal)
			}
		}, []Trait{popular}, Free},
		{"an answer clears a suspect", func(i *Isolator) {
			for n := range 3 {
				crash(i, at(300*n), process(n), rare)
			}
			i.Answered(at(700), process(9), []Trait{rare})
		}, []Trait{rare}, Free},
		{"an old answer doesn't speak for a trait that crashes now", func(i *Isolator) {
			i.Answered(at(-30_000), process(9), []Trait{fatal})
			for n := range 4 {
				crash(i, at(300*n), process(n), fatal)
			}
		}, []Trait{fatal}, Quarantined},
		{"processes that live are no evidence", func(i *Isolator) {
			for n := range 5 {
				i.Broken(at(300*n), at(300*n-50), process(n), []Trait{rare})
				i.Survived(process(n))
			}
		}, []Trait{rare}, Free},
		{"processes that answer later had not crashed", func(i *Isolator) {
			for n := range 3 {
				crash(i, at(300*n), process(n), rare)
			}
			for n := range 3 {
				i.Answered(at(3000), process(n), []Trait{popular})
			}
		}, []Trait{rare}, Free},
		{"several fatal traits at one time", func(i *Isolator) {
			i.Answered(at(-100), process(9), []Trait{popular})
			for n := range 8 {
				crash(i, at(200*n), process(n), popular, fatal+Trait(10*(n%2)))
			}
		}, []Trait{popular, fatal}, Quarantined},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := NewIsolator(DefaultSettings())
			c.play(i)
			require.Equal(t, c.want, status(i, at(1500), c.traits...))
		})
	}
}

func TestSuspectsAreTriedOneAfterTheOther(t *testing.T) {
	i := NewIsolator(DefaultSettings())
	crash(i, start, process(1), fatal)
	crash(i, start.Add(300*time.Millisecond), process(2), fatal)
	now := start.Add(time.Second)
	interval := i.settings.TrialInterval
	require.Zero(t, i.Check(now, []Trait{fatal}, 1).Wait)
	i.Tried(now, "u9", []Trait{fatal})
	require.Equal(t, interval, i.Check(now, []Trait{fatal}, 1).Wait)
	require.Equal(t, 3*interval, i.Check(now, []Trait{fatal}, 3).Wait, "instances that decide alone try more rarely")
	require.Zero(t, i.Check(now.Add(interval), []Trait{fatal}, 1).Wait)
}

func TestTrialsBeginWhenAllInstancesKnowOfTheSuspicion(t *testing.T) {
	i := NewIsolator(DefaultSettings())
	for n := range 2 {
		crash(i, start.Add(time.Duration(n)*60*time.Millisecond), process(n), popular, fatal, rare)
	}
	now := start.Add(60 * time.Millisecond)
	require.Equal(t, i.settings.ReportTime, i.Check(now, []Trait{popular, rare + 1}, 1).Wait)
	// The trial of a request with fewer suspected traits is better evidence.
	require.Equal(t, i.settings.ReportTime+i.settings.TrialInterval, i.Check(now, []Trait{popular, fatal}, 1).Wait)
	require.Equal(t, i.settings.ReportTime+2*i.settings.TrialInterval, i.Check(now, []Trait{popular, fatal, rare}, 1).Wait)
	now = now.Add(i.settings.ReportTime)
	require.Zero(t, i.Check(now, []Trait{popular}, 1).Wait)
	i.Tried(now, "u9", []Trait{popular})
	now = now.Add(100 * time.Millisecond)
	i.Answered(now, process(9), []Trait{popular})
	require.Equal(t, Free, status(i, now, popular))
	require.Equal(t, i.settings.TrialInterval-100*time.Millisecond, i.Check(now, []Trait{popular, fatal, rare}, 1).Wait)
}

func TestQuarantineEndsWithTrialsAndGrows(t *testing.T) {
	i := NewIsolator(DefaultSettings())
	for n := range 4 {
		crash(i, start.Add(time.Duration(n)*300*time.Millisecond), process(n), fatal)
	}
	held := i.Check(start.Add(time.Second), []Trait{fatal}, 1)
	require.Equal(t, Quarantined, held.Status)
	after := start.Add(time.Second + held.Wait)
	require.Equal(t, Suspected, status(i, after, fatal))
	require.NotZero(t, i.Check(after, []Trait{fatal}, 3).Wait, "an instance that decides alone sends no trial")
	i.Tried(after, "u9", []Trait{fatal})
	require.Equal(t, 10*i.settings.TrialInterval, i.Check(after, []Trait{fatal}, 1).Wait)
	crash(i, after.Add(100*time.Millisecond), process(8), fatal)
	require.Equal(t, Quarantined, status(i, after.Add(time.Second), fatal))
	require.Greater(t, i.Check(after.Add(time.Second), []Trait{fatal}, 1).Wait, 9*held.Wait)
}

// exchange passes the reports of instances to each other.
func exchange(now time.Time, instances ...*Isolator) {
	for n, from := range instances {
		r := from.TakeReport(now)
		for _, to := range instances {
			if to != from {
				to.Learn(now, identifier.InstanceID(strconv.Itoa(n)), r)
			}
		}
	}
	for n, from := range instances {
		r, accuser := from.TakeReply(now)
		if to, err := strconv.Atoi(string(accuser)); err == nil {
			instances[to].Learn(now, identifier.InstanceID(strconv.Itoa(n)), r)
		}
	}
}

func TestInstancesWithPartsOfTheEvidenceReachTheSameConclusion(t *testing.T) {
	a, b, c := NewIsolator(DefaultSettings()), NewIsolator(DefaultSettings()), NewIsolator(DefaultSettings())
	now := start
	for n := range 4 {
		crash([]*Isolator{a, b}[n%2], now, process(n), fatal, rare+Trait(n))
		now = now.Add(300 * time.Millisecond)
		exchange(now, a, b, c)
	}
	for _, i := range []*Isolator{a, b, c} {
		require.Equal(t, Quarantined, status(i, now, fatal))
		require.Equal(t, Free, status(i, now, rare))
	}
}

func TestAnswerAtAnotherInstanceClearsATrait(t *testing.T) {
	a, b := NewIsolator(DefaultSettings()), NewIsolator(DefaultSettings())
	b.Answered(start.Add(-time.Second), process(9), []Trait{popular})
	for n := range 3 {
		crash(a, start.Add(time.Duration(n)*300*time.Millisecond), process(n), popular)
	}
	now := start.Add(time.Second)
	exchange(now, a, b)
	exchange(now.Add(repeatInterval), a, b)
	require.Equal(t, Free, status(a, now, popular))
	require.Equal(t, Free, status(b, now, popular))
}

func TestStartedInstanceLearnsWhatTheOthersKnow(t *testing.T) {
	a, started := NewIsolator(DefaultSettings()), NewIsolator(DefaultSettings())
	for n := range 4 {
		crash(a, start.Add(time.Duration(n)*300*time.Millisecond), process(n), fatal)
	}
	now := start.Add(5 * time.Second)
	started.Learn(now, "a", a.Knowledge(now))
	require.Equal(t, Quarantined, status(started, now, fatal))
}

func TestMemoryIsBounded(t *testing.T) {
	i := NewIsolator(DefaultSettings())
	now := start
	for n := range 200 {
		now = now.Add(300 * time.Millisecond)
		traits := make([]Trait, 0, 100)
		for k := range 100 {
			traits = append(traits, Trait(1000+100*n+k))
		}
		if n < 4 {
			traits = append([]Trait{fatal}, traits...)
		}
		crash(i, now, process(n), traits...)
		i.Broken(now, now, Process{Upstream: "unknown", Incarnation: uint64(n)}, traits)
	}
	require.LessOrEqual(t, len(i.suspects), maxSuspects)
	require.LessOrEqual(t, len(i.crashes), maxCrashes)
	require.LessOrEqual(t, len(i.broken), maxBroken)
	require.Contains(t, i.suspects, fatal, "traits with the least evidence are dropped first")
}

func TestContentTraitDistinguishesRequests(t *testing.T) {
	base := NewContentTrait("h", "POST", "/a", []byte("b"))
	require.Equal(t, base, NewContentTrait("h", "POST", "/a", []byte("b")))
	for _, other := range []Trait{
		NewContentTrait("g", "POST", "/a", []byte("b")),
		NewContentTrait("h", "PUT", "/a", []byte("b")),
		NewContentTrait("h", "POST", "/ab", nil),
		NewContentTrait("h", "POST", "/a", []byte("c")),
	} {
		require.NotEqual(t, base, other)
	}
}

func TestRestoredQuarantinesYieldToWhatOthersKnow(t *testing.T) {
	record := Quarantine{Trait: fatal, Since: start, Until: start.Add(time.Minute), Term: time.Minute}
	i := NewIsolator(DefaultSettings())
	i.Answered(start, process(1), []Trait{rare})
	i.Restore(start, []Quarantine{record, {Trait: rare, Since: start, Until: start.Add(time.Minute), Term: time.Minute}})
	require.Equal(t, Quarantined, status(i, start.Add(50*time.Second), fatal))
	require.Equal(t, Free, status(i, start, rare), "it was answered since the start")
	require.Empty(t, i.Knowledge(start).Quarantines, "its age is not known")
	known := record
	known.Since, known.Until = start.Add(-50*time.Second), start.Add(10*time.Second)
	i.Learn(start, "", Report{Quarantines: []Quarantine{known}})
	require.Equal(t, Suspected, status(i, start.Add(11*time.Second), fatal))
	require.Equal(t, []Quarantine{known}, i.Knowledge(start).Quarantines)
}

func TestOnlyAnswersThatOthersLackAreReported(t *testing.T) {
	a, b := NewIsolator(DefaultSettings()), NewIsolator(DefaultSettings())
	a.Answered(start, process(9), []Trait{popular})
	crash(a, start.Add(time.Second), process(1), popular, fatal)
	report := a.TakeReport(start.Add(2 * time.Second))
	require.Empty(t, report.Answers, "the report does not accuse the trait")
	require.Len(t, report.Crashes[0].Traits, 1)
	crash(b, start.Add(2*time.Second), process(2), popular)
	now := start.Add(3 * time.Second)
	a.Learn(now, "b", b.TakeReport(now))
	reply, accuser := a.TakeReply(now)
	require.Equal(t, identifier.InstanceID("b"), accuser)
	require.Equal(t, []Answer{{Trait: popular, At: start}}, reply.Answers)
	require.Empty(t, a.TakeReport(now).Answers, "only the accuser is told")
	b.Learn(now, "a", reply)
	passedOn := b.TakeReport(now.Add(repeatInterval))
	require.Equal(t, reply.Answers, passedOn.Answers, "it tells the others")
	require.Empty(t, passedOn.Crashes[0].Traits)
}

func TestOneOfTheInstancesThatAnswerATraitReportsIt(t *testing.T) {
	instances := make([]*Isolator, 5)
	for n := range instances {
		settings := DefaultSettings()
		settings.ReportPhase = float64(n) / float64(len(instances))
		instances[n] = NewIsolator(settings)
	}
	for n := range 2 {
		crash(instances[0], start.Add(time.Duration(n)*300*time.Millisecond), process(n), popular)
	}
	now := start.Add(time.Second)
	exchange(now, instances...)
	reports := 0
	for _, i := range instances {
		require.Equal(t, Suspected, status(i, now, popular))
		i.Answered(now, process(9), []Trait{popular})
	}
	for range 100 {
		for n, from := range instances {
			r := from.TakeReport(now)
			if len(r.Answers) > 0 && len(r.Crashes) == 0 {
				reports++
				require.Zero(t, n)
			}
			for _, to := range instances {
				to.Learn(now, "", r)
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, reports, repeats)
}

func TestQuarantineThatIsRefutedIsReleasedAsHeld(t *testing.T) {
	i := NewIsolator(DefaultSettings())
	for n := range 4 {
		crash(i, start.Add(time.Duration(n)*300*time.Millisecond), process(n), rare)
	}
	i.TakeChanges()
	i.Answered(start.Add(3*time.Second), process(0), []Trait{popular})
	changes := i.TakeChanges()
	require.Len(t, changes, 1)
	require.Equal(t, Suspected, changes[0].Status)
	require.True(t, changes[0].WasHeld, "its record must be deleted")
}
