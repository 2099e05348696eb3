package surveyor

import (
	"container/heap"
	"time"
)

// Shape of the fake network: one log, and readers in the data centres of some regions.
const (
	regions     = 5
	dataCentres = 12
	// One-way delays; between regions each step of distance adds to the shortest one.
	delayWithinDataCentre  = 250 * time.Microsecond
	delayWithinRegion  = time.Millisecond
	delayBetweenRegions = 20 * time.Millisecond
	delayPerRegionStep    = 15 * time.Millisecond
	// serviceRead is how long the log or a relay is busy with one answer.
	readServiceTime = 200 * time.Microsecond
)

// event is something that happens at a time of the fake clock.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// polling holds the times of long polls.
type polling struct {
	// wait is how long an idle poll stays at its source, timeout after which a reader takes its source for dead.
	wait, timeout time.Duration
	// exchange is the size of a poll with its answer, and of an answer's part for each record.
	exchange, record int
}

// network runs nodes on a fake clock.
type network struct {
	polling polling
	now     time.Duration
	seq     int
	queue   eventQueue
	log     *node
	readers []*node
	// appended holds the time of each record.
	appended []time.Duration
}

// node is the log or a reader; readers with children are relays.
type node struct {
	network    *network
	dataCentre int
	source     *node
	// have is the number of records that the node knows; readAt when it got each.
	recordCount   int
	readAt []time.Duration
	parked map[*node]int
	// order keeps the parked nodes in order of arrival.
	parkedOrder []*node
	pollNumber  int
	busyUntil  time.Duration
	crashed  bool
	// answers counts the polls that the node answered, bytes what it sent and received.
	answers int
	bytes   int
}

func newNetwork(p polling) *network {
	n := &network{polling: p}
	n.log = n.newNode(0)
	return n
}

func (n *network) newNode(dataCentre int) *node {
	return &node{network: n, dataCentre: dataCentre, parked: map[*node]int{}}
}

// addReader adds a reader that polls a source.
func (n *network) addReader(dataCentre int, source *node) *node {
	r := n.newNode(dataCentre)
	r.source = source
	n.readers = append(n.readers, r)
	return r
}

func (n *network) after(delay time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, event{at: n.now + delay, seq: n.seq, run: run})
}

// run advances the clock.
func (n *network) run(until time.Duration) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e, ok := heap.Pop(&n.queue).(event)
		if !ok {
			return
		}
		n.now = e.at
		e.run()
	}
	n.now = until
}

// append adds a record to the log now.
func (n *network) append() {
	n.appended = append(n.appended, n.now)
	n.log.recordCount++
	n.log.answerParked()
}

func regionOf(dataCentre int) int { return dataCentre % regions }

// delayTo returns the one-way delay between two nodes.
func (m *node) delayTo(other *node) time.Duration {
	if m.dataCentre == other.dataCentre {
		return delayWithinDataCentre
	}
	distance := regionOf(m.dataCentre) - regionOf(other.dataCentre)
	if distance == 0 {
		return delayWithinRegion
	}
	return delayBetweenRegions + time.Duration(max(distance, -distance)-1)*delayPerRegionStep
}

// ask sends the next poll to the source, and goes to the log itself when no answer comes.
func (m *node) sendPoll() {
	if m.crashed {
		return
	}
	m.pollNumber++
	poll, source := m.pollNumber, m.source
	m.network.after(m.delayTo(source), func() { source.handlePoll(m, poll) })
	m.network.after(m.network.polling.timeout, func() {
		if m.pollNumber == poll {
			m.source = m.network.log
			m.sendPoll()
		}
	})
}

// take answers a poll at once when there is news, or parks it.
func (m *node) handlePoll(reader *node, poll int) {
	if m.crashed {
		return
	}
	if m.recordCount > reader.recordCount {
		m.answer(reader, poll)
		return
	}
	m.parked[reader] = poll
	m.parkedOrder = append(m.parkedOrder, reader)
	m.network.after(m.network.polling.wait, func() {
		if m.parked[reader] == poll {
			delete(m.parked, reader)
			m.answer(reader, poll)
		}
	})
}

// wake answers the parked polls in the order in which they came.
func (m *node) answerParked() {
	order := m.parkedOrder
	m.parkedOrder = nil
	for _, reader := range order {
		if poll, waits := m.parked[reader]; waits {
			delete(m.parked, reader)
			m.answer(reader, poll)
		}
	}
}

// answer sends what the node knows; answers leave one after another.
func (m *node) answer(reader *node, poll int) {
	if m.crashed {
		return
	}
	have := m.recordCount
	m.busyUntil = max(m.busyUntil, m.network.now) + readServiceTime
	m.answers++
	size := m.network.polling.exchange + (have-reader.recordCount)*m.network.polling.record
	m.bytes += size
	reader.bytes += size
	m.network.after(m.busyUntil-m.network.now+m.delayTo(reader), func() { reader.receive(have, poll) })
}

// receive takes an answer; one to an older poll is late and only its records count.
func (m *node) receive(have, poll int) {
	if m.crashed {
		return
	}
	for ; m.recordCount < have; m.recordCount++ {
		m.readAt = append(m.readAt, m.network.now)
	}
	m.answerParked()
	if poll == m.pollNumber {
		m.sendPoll()
	}
}
