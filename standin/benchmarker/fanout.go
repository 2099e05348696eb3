package benchmarker

import (
	"fmt"
	"slices"
	"time"

	"rosemaryspool.example/wire/messenger"
)

// topology is the way in which the log's records reach the readers.
type topology string

// Topologies that are compared.
const (
	// topologyDirect: every reader polls the log.
	topologyDirect topology = "direct"
	// topologyRelay: one reader of each data centre polls the log; the others of the data centre poll that reader.
	topologyRelay topology = "relay"
	// topologyTree: as topologyRelay, but one relay of each region polls the log and the other relays of the region poll
	// that relay.
	topologyTree topology = "tree"
)

// fanOutCase is one configuration of the fan-out simulation.
type fanOutCase struct {
	topology topology
	readers  int
	// perSecond is the rate of new records.
	perSecond float64
	// crash makes a relay in the region furthest from the log crash at crashAt after the start of the measurement. In a
	// tree this is the relay that polls the log for its region.
	crash   bool
	crashAt time.Duration
}

// fanOutResult is the result of a case. Delays count from the append of a record to its arrival at a reader.
type fanOutResult struct {
	median, longest time.Duration
	// floor is the longest one-way delay from the log to a reader, a lower bound for the longest delay of any topology.
	floor time.Duration
	// logReads and logBytes are the reads and traffic a second at the log. busiestNodeBytes and medianNodeBytes are the
	// traffic a second of the busiest and of the median reader.
	logReads, logBytes, busiestNodeBytes, medianNodeBytes float64
	// missing counts the records that readers that did not crash never received, summed over these readers.
	missing int
}

// build returns a network with the topology of the case.
func (c fanOutCase) build(p polling) *network {
	n := newNetwork(p)
	regionHeads := map[int]*node{}
	relays := map[int]*node{}
	for i := range c.readers {
		dataCentre := i % dataCentres
		r := n.addReader(dataCentre, n.log)
		if c.topology == topologyDirect {
			continue
		}
		if relay := relays[dataCentre]; relay != nil {
			r.source = relay
			continue
		}
		relays[dataCentre] = r
		if c.topology != topologyTree {
			continue
		}
		if head := regionHeads[regionOf(dataCentre)]; head != nil {
			r.source = head
			continue
		}
		regionHeads[regionOf(dataCentre)] = r
	}
	return n
}

// run simulates the case and returns the delays and traffic.
func (c fanOutCase) run(p polling) fanOutResult {
	const settle, length = 10 * time.Second, 60 * time.Second
	n := c.build(p)
	for _, r := range n.readers {
		r.sendPoll()
	}
	n.clock.RunUntil(settle)
	reads, bytes := n.log.responses, n.log.bytes
	before := make([]int, len(n.readers))
	for i, r := range n.readers {
		before[i] = r.bytes
	}
	step := time.Duration(float64(time.Second) / c.perSecond)
	if c.crash {
		n.clock.After(c.crashAt, func() { n.readers[min(regions, len(n.readers))-1].crashed = true })
	}
	for at := step; at <= length; at += step {
		n.clock.After(at, n.append)
	}
	n.clock.RunUntil(settle + length)
	result := fanOutResult{
		logReads: float64(n.log.responses-reads) / length.Seconds(),
		logBytes: float64(n.log.bytes-bytes) / length.Seconds(),
	}
	// Records in transit still arrive for the delays, but their traffic is not counted.
	nodeRates := make([]float64, len(n.readers))
	for i, r := range n.readers {
		nodeRates[i] = float64(r.bytes-before[i]) / length.Seconds()
	}
	n.clock.RunUntil(settle + length + 2*p.timeout)
	slices.Sort(nodeRates)
	result.medianNodeBytes, result.busiestNodeBytes = nodeRates[len(nodeRates)/2], nodeRates[len(nodeRates)-1]
	result.measure(n)
	return result
}

// measure sets the delays, their lower bound and the missing records over all readers that did not crash.
func (s *fanOutResult) measure(n *network) {
	var delays []time.Duration
	for _, r := range n.readers {
		if r.crashed {
			continue
		}
		s.floor = max(s.floor, n.log.delayTo(r))
		s.missing += len(n.appended) - len(r.readAt)
		for i, at := range r.readAt {
			delays = append(delays, at-n.appended[i])
		}
	}
	if len(delays) == 0 {
		return
	}
	slices.Sort(delays)
	s.median, s.longest = delays[len(delays)/2], delays[len(delays)-1]
}

// Poll times of the daemon's reader, and shorter ones for comparison.
const (
	readWait     = 2 * time.Second
	readTimeout  = 5 * time.Second
	shortWait    = time.Second
	shortTimeout = 1500 * time.Millisecond
)

// measureFanOut compares the topologies, with and without the crash of a relay.
func (b *Benchmarker) measureFanOut() {
	usual := b.newPolling(readWait, readTimeout)
	for _, readers := range []int{todayInstances, 30, 300} {
		for _, perSecond := range []float64{0.5, 20} {
			for _, topology := range []topology{topologyDirect, topologyRelay, topologyTree} {
				b.writeFanOut(fanOutCase{topology: topology, readers: readers, perSecond: perSecond}, usual)
			}
		}
	}
	short := b.newPolling(shortWait, shortTimeout)
	for _, topology := range []topology{topologyDirect, topologyRelay, topologyTree} {
		c := fanOutCase{topology: topology, readers: 300, perSecond: 0.5, crash: true}
		b.writeFanOut(c.worstCrash(usual), usual)
		b.writeFanOut(c.worstCrash(short), short)
	}
	// With more records a poll is more recent when the relay crashes, so that a reader waits for nearly the full timeout.
	frequent := fanOutCase{topology: topologyRelay, readers: 300, perSecond: 5, crash: true}
	b.writeFanOut(frequent.worstCrash(usual), usual)
	b.writeFanOut(frequent.worstCrash(short), short)
}

// worstCrash returns the case with the crash time, out of those tried, that causes the longest delay of a record.
func (c fanOutCase) worstCrash(p polling) fanOutCase {
	const crashTimes = 40
	length := time.Duration(2 * float64(time.Second) / c.perSecond)
	worst, longest := c, time.Duration(0)
	for c.crashAt = 0; c.crashAt < length; c.crashAt += length / crashTimes {
		if delay := c.run(p).longest; delay > longest {
			worst, longest = c, delay
		}
	}
	return worst
}

// newPolling returns the poll times with message sizes taken from encoded polls and responses.
func (b *Benchmarker) newPolling(wait, timeout time.Duration) polling {
	const path = "/v1/streams/trial.control/records?from=123456&limit=1024&waitMs=2000"
	c := b.newControlStream()
	raw := c.claim("engines/prova-llm")
	out, empty := b.exchangeBytes(path, &messenger.ReadReply{FirstOffset: 100_000, EndOffset: 123_457})
	_, full := b.exchangeBytes(path, &messenger.ReadReply{
		FirstOffset: 100_000, EndOffset: 123_457, Entries: []*messenger.LogEntry{{Offset: 123_456, Record: raw}},
	})
	return polling{wait: wait, timeout: timeout, exchange: int(out + empty), record: int(full - empty)}
}

// writeFanOut runs a case and prints its result.
func (b *Benchmarker) writeFanOut(c fanOutCase, p polling) {
	r := c.run(p)
	fmt.Fprintf(b.output,
		"spread shape=%s readers=%d recordsPerSecond=%g relayCrash=%t pollTimeoutMs=%d middleMs=%.1f lastMs=%.1f floorMs=%.1f "+
			"logReadsPerSecond=%.1f logBytesPerSecond=%.0f busiestNodeBytesPerSecond=%.0f medianNodeBytesPerSecond=%.0f missing=%d\n",
		c.topology, c.readers, c.perSecond, c.crash, p.timeout.Milliseconds(),
		milliseconds(r.median), milliseconds(r.longest), milliseconds(r.floor),
		r.logReads, r.logBytes, r.busiestNodeBytes, r.medianNodeBytes, r.missing)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
