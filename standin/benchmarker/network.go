package benchmarker

import (
	"time"

	"rosemaryspool.example/core/sequencer"
)

// Size and delays of the simulated network: one log, and readers in the data centres of all regions.
const (
	regions     = 5
	dataCentres = 12
	// One-way delays. Neighbouring regions are delayBetweenRegions apart; each further region adds delayPerRegionStep.
	delayWithinDataCentre = 250 * time.Microsecond
	delayWithinRegion     = time.Millisecond
	delayBetweenRegions   = 20 * time.Millisecond
	delayPerRegionStep    = 15 * time.Millisecond
	// readServiceTime is how long the log or a relay takes for one response; responses are sent one at a time.
	readServiceTime = 200 * time.Microsecond
)

// polling holds the timeouts and message sizes of long polls.
type polling struct {
	// wait is how long the source holds a poll without new records, timeout how long a reader waits for the response
	// before it switches to the log.
	wait, timeout time.Duration
	// exchange is the size in bytes of a poll with an empty response, record what each record adds.
	exchange, record int
}

// network runs the nodes on a simulated clock.
type network struct {
	polling polling
	clock   sequencer.Sequencer
	log     *node
	readers []*node
	// appended holds the time at which each record entered the log.
	appended []time.Duration
}

// node is the log or a reader; a reader that other readers poll is a relay.
type node struct {
	network    *network
	dataCentre int
	source     *node
	// recordCount is the number of records that the node has, readAt when each arrived.
	recordCount int
	readAt      []time.Duration
	// parked holds the number of the open poll of each reader that waits for new records.
	parked map[*node]int
	// parkedOrder lists the parked readers in order of arrival; it may still contain readers that were responded to.
	parkedOrder []*node
	pollNumber  int
	busyUntil   time.Duration
	crashed     bool
	// responses counts the polls that the node responded to, bytes the traffic that it sent and received.
	responses int
	bytes     int
}

func newNetwork(p polling) *network {
	n := &network{polling: p}
	n.log = n.newNode(0)
	return n
}

func (n *network) newNode(dataCentre int) *node {
	return &node{network: n, dataCentre: dataCentre, parked: map[*node]int{}}
}

// addReader adds a reader that polls source.
func (n *network) addReader(dataCentre int, source *node) *node {
	r := n.newNode(dataCentre)
	r.source = source
	n.readers = append(n.readers, r)
	return r
}

// append adds a record to the log and responds to the polls parked there.
func (n *network) append() {
	n.appended = append(n.appended, n.clock.Now)
	n.log.recordCount++
	n.log.respondToParked()
}

func regionOf(dataCentre int) int { return dataCentre % regions }

// delayTo returns the one-way delay between two nodes.
func (nd *node) delayTo(other *node) time.Duration {
	if nd.dataCentre == other.dataCentre {
		return delayWithinDataCentre
	}
	distance := regionOf(nd.dataCentre) - regionOf(other.dataCentre)
	if distance == 0 {
		return delayWithinRegion
	}
	return delayBetweenRegions + time.Duration(max(distance, -distance)-1)*delayPerRegionStep
}

// sendPoll sends the next poll to the source. If no response arrives within the timeout, it switches permanently to the
// log.
func (nd *node) sendPoll() {
	if nd.crashed {
		return
	}
	nd.pollNumber++
	poll, source := nd.pollNumber, nd.source
	nd.network.clock.After(nd.delayTo(source), func() { source.handlePoll(nd, poll) })
	nd.network.clock.After(nd.network.polling.timeout, func() {
		if nd.pollNumber == poll {
			nd.source = nd.network.log
			nd.sendPoll()
		}
	})
}

// handlePoll responds to a poll at once if there are new records for the reader. Otherwise it parks the poll until
// there are, or until the wait ends.
func (nd *node) handlePoll(reader *node, poll int) {
	if nd.crashed {
		return
	}
	if nd.recordCount > reader.recordCount {
		nd.respond(reader, poll)
		return
	}
	nd.parked[reader] = poll
	nd.parkedOrder = append(nd.parkedOrder, reader)
	nd.network.clock.After(nd.network.polling.wait, func() {
		if nd.parked[reader] == poll {
			delete(nd.parked, reader)
			nd.respond(reader, poll)
		}
	})
}

// respondToParked responds to the parked polls in order of arrival.
func (nd *node) respondToParked() {
	order := nd.parkedOrder
	nd.parkedOrder = nil
	for _, reader := range order {
		if poll, open := nd.parked[reader]; open {
			delete(nd.parked, reader)
			nd.respond(reader, poll)
		}
	}
}

// respond sends the reader all records that it lacks, after the responses that are already queued.
func (nd *node) respond(reader *node, poll int) {
	if nd.crashed {
		return
	}
	available := nd.recordCount
	nd.busyUntil = max(nd.busyUntil, nd.network.clock.Now) + readServiceTime
	nd.responses++
	size := nd.network.polling.exchange + (available-reader.recordCount)*nd.network.polling.record
	nd.bytes += size
	reader.bytes += size
	nd.network.clock.After(nd.busyUntil-nd.network.clock.Now+nd.delayTo(reader), func() { reader.receive(available, poll) })
}

// receive stores the records of a response and sends the next poll. A response to an older poll is late: its records
// are stored, but no poll follows.
func (nd *node) receive(available, poll int) {
	if nd.crashed {
		return
	}
	for ; nd.recordCount < available; nd.recordCount++ {
		nd.readAt = append(nd.readAt, nd.network.clock.Now)
	}
	nd.respondToParked()
	if poll == nd.pollNumber {
		nd.sendPoll()
	}
}
