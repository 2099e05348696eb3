package isolator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

// traffic counts the datagrams of instances that tell each other about crashes, over a network that loses a tenth of them
// and repeats another tenth.
type traffic struct {
	random *rand.Rand
	now    time.Time
	nodes  []*Isolator
	mail   []letter
	// sent holds the datagrams by second, sender and recipient, without digests and transfers; synced holds the transfers by
	// second and sender.
	sent   []map[[2]int]int
	synced []map[int]int
	// syncedAt is when each instance last sent a transfer.
	syncedAt map[int]time.Time
}

// letter is a datagram on its way.
type letter struct {
	from, to int
	at       time.Time
	report   Report
	// digest is set in an inquiry for what the sender lacks, answered in one that answers another one.
	digest   *uint64
	answered bool
}

func newTraffic(nodes int) *traffic {
	tr := &traffic{random: rand.New(rand.NewPCG(1, uint64(nodes))), now: start, syncedAt: map[int]time.Time{}}
	for range nodes {
		settings := DefaultSettings()
		settings.ReportPhase = tr.random.Float64()
		tr.nodes = append(tr.nodes, NewIsolator(settings))
	}
	return tr
}

func (tr *traffic) second() int { return int(tr.now.Sub(start) / time.Second) }

// count returns the counters of the current second.
func (tr *traffic) count() (sent map[[2]int]int, synced map[int]int) {
	for len(tr.sent) <= tr.second() {
		tr.sent = append(tr.sent, map[[2]int]int{})
		tr.synced = append(tr.synced, map[int]int{})
	}
	return tr.sent[tr.second()], tr.synced[tr.second()]
}

// report sends a report and counts its datagrams.
func (tr *traffic) report(from, to int, r Report) {
	sent, _ := tr.count()
	for _, part := range r.Parts() {
		sent[[2]int{from, to}]++
		tr.send(letter{from: from, to: to, report: part})
	}
}

// transfer sends all that an instance knows to another one, unless it has done so less than a second ago. It reports
// whether it has.
func (tr *traffic) transfer(from, to int) bool {
	if last, sent := tr.syncedAt[from]; sent && tr.now.Sub(last) < time.Second {
		return false
	}
	tr.syncedAt[from] = tr.now
	_, synced := tr.count()
	synced[from]++
	for _, part := range tr.nodes[from].Knowledge(tr.now).Parts() {
		tr.send(letter{from: from, to: to, report: part})
	}
	return true
}

func (tr *traffic) send(l letter) {
	for copies := []int{1, 1, 1, 1, 1, 1, 1, 1, 2, 0}[tr.random.IntN(10)]; copies > 0; copies-- {
		l.at = tr.now.Add(time.Duration(1+tr.random.IntN(5)) * time.Millisecond)
		tr.mail = append(tr.mail, l)
	}
}

func (tr *traffic) learn(l letter) {
	i := tr.nodes[l.to]
	i.Learn(tr.now, identifier.InstanceID(strconv.Itoa(l.from)), l.report)
	digest := i.Digest(tr.now)
	if l.digest != nil && *l.digest != digest && tr.transfer(l.to, l.from) && !l.answered {
		tr.send(letter{from: l.to, to: l.from, digest: &digest, answered: true})
	}
}

// run lets the instances tell each other what they know, until a time.
func (tr *traffic) run(until time.Duration) {
	for ; tr.now.Sub(start) < until; tr.now = tr.now.Add(5 * time.Millisecond) {
		var due []letter
		tr.mail = slices.DeleteFunc(tr.mail, func(l letter) bool {
			if l.at.After(tr.now) {
				return false
			}
			due = append(due, l)
			return true
		})
		for _, l := range due {
			tr.learn(l)
		}
		for from, i := range tr.nodes {
			if r := i.TakeReport(tr.now); !r.IsEmpty() {
				for to := range tr.nodes {
					if to != from {
						tr.report(from, to, r)
					}
				}
			}
			if reply, accuser := i.TakeReply(tr.now); accuser != "" {
				to, err := strconv.Atoi(string(accuser))
				if err == nil {
					tr.report(from, to, reply)
				}
			}
			// Each instance sends a digest once a second, at its own time.
			if to := tr.random.IntN(len(tr.nodes)); int(tr.now.Sub(start)/(5*time.Millisecond))%200 == from%200 && to != from {
				digest := i.Digest(tr.now)
				tr.send(letter{from: from, to: to, digest: &digest})
			}
		}
	}
}

// total returns the datagrams of a sender in a second.
func (tr *traffic) total(second, from int) int {
	sum := 0
	for pair, count := range tr.sent[second] {
		if pair[0] == from {
			sum += count
		}
	}
	return sum
}

// crashTogether ends upstreams that each run requests of some instances, with popular traits that all instances have
// answered before. It returns the instances that have seen a crash.
func (tr *traffic) crashTogether(crashes, witnesses int) map[int]bool {
	traits := make([]Trait, 12)
	for k := range traits {
		traits[k] = Trait(k + 1)
	}
	for n, i := range tr.nodes {
		i.Answered(tr.now.Add(-time.Duration(n)*10*time.Millisecond), process(1000), traits)
	}
	// An instance that has started lately lacks the answers; so do some of the witnesses.
	saw := map[int]bool{}
	for c := range crashes {
		for w := range witnesses {
			n := (c*7 + w*11) % len(tr.nodes)
			saw[n] = true
			if w < 2 {
				tr.nodes[n].answers = newAnswerLog(tr.nodes[n].settings.TrustPeriod)
			}
			for range 2 {
				tr.nodes[n].Broken(tr.now, tr.now.Add(-50*time.Millisecond), process(c), traits)
			}
			tr.nodes[n].Ended(tr.now.Add(time.Millisecond), process(c))
		}
	}
	return saw
}

func TestReportsOfCrashesStayFew(t *testing.T) {
	const (
		witnesses = 6
		// Bounds for one crash, in datagrams: from each witness to each other instance, and from any other instance in all.
		toEach = 3
		inAll  = 2
		// togetherFactor is the factor of these bounds for many crashes together.
		togetherFactor = 8
	)
	for _, nodes := range []int{7, 80, 300} {
		for _, crashes := range []int{1, 22} {
			t.Run(fmt.Sprintf("%d instances, %d crashes", nodes, crashes), func(t *testing.T) {
				t.Parallel()
				factor := 1
				if crashes > 1 {
					factor = togetherFactor
				}
				tr := newTraffic(nodes)
				saw := tr.crashTogether(crashes, witnesses)
				tr.run(5 * time.Second)
				most, sum := 0, 0
				for second := range tr.sent {
					for from := range nodes {
						total := tr.total(second, from)
						sum += total
						switch {
						case second >= 2:
							require.Zero(t, total, "instance %d in second %d", from, second)
							require.LessOrEqual(t, tr.synced[second][from], 1, "instance %d in second %d", from, second)
						case saw[from]:
							for to := range nodes {
								require.LessOrEqual(t, tr.sent[0][[2]int{from, to}], toEach*factor, "instance %d to %d", from, to)
							}
						case second == 0:
							most = max(most, total)
							require.LessOrEqual(t, total, inAll*factor, "instance %d", from)
						}
					}
				}
				t.Logf("%d datagrams in 5 s, at most %d from an instance that saw no crash in the first", sum, most)
			})
		}
	}
}
