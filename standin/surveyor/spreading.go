package surveyor

import (
	"fmt"
	"slices"
	"time"

	"rosemaryspool.example/wire/messenger"
)

// shape is a way in which readers get the log's records.
type topology string

// Shapes that are compared.
const (
	// shapeDirect lets every reader poll the log.
	topologyDirect topology = "direct"
	// shapeRelay has one reader of each data centre poll the log and the others poll that one.
	topologyRelay topology = "relay"
	// shapeTree also has one data centre of each region poll the log for its region: a tree along the delays.
	topologyTree topology = "tree"
)

// spreadCase is one measured spread.
type fanOutCase struct {
	topology   topology
	readers int
	// perSecond is the rate of records.
	perSecond float64
	// crash ends a relay in the region furthest from the log, in a tree also its head, some time after the start.
	crash   bool
	crashAt time.Duration
}

// spread is what a case came to; delays run from the record's place in the log to its arrival at a reader.
type fanOutResult struct {
	median, longest time.Duration
	// floor is the longest one-way delay from the log to a reader: no way of spreading can be faster.
	floor time.Duration
	// logReads and logBytes are a second's at the log, relayBytes those of the busiest reader, nodeBytes of the median.
	logReads, logBytes, busiestNodeBytes, medianNodeBytes float64
	// missing counts the records that living readers never got.
	missing int
}

// build returns a network of a shape.
func (c fanOutCase) build(p polling) *network {
	n := newNetwork(p)
	heads := map[int]*node{}
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
		if head := heads[regionOf(dataCentre)]; head != nil {
			r.source = head
			continue
		}
		heads[regionOf(dataCentre)] = r
	}
	return n
}

// run spreads records for a time and measures their delays.
func (c fanOutCase) run(p polling) fanOutResult {
	const settle, length = 10 * time.Second, 60 * time.Second
	n := c.build(p)
	for _, r := range n.readers {
		r.sendPoll()
	}
	n.run(settle)
	reads, bytes := n.log.answers, n.log.bytes
	before := make([]int, len(n.readers))
	for i, r := range n.readers {
		before[i] = r.bytes
	}
	step := time.Duration(float64(time.Second) / c.perSecond)
	if c.crash {
		n.after(c.crashAt, func() { n.readers[min(regions, len(n.readers))-1].crashed = true })
	}
	for at := step; at <= length; at += step {
		n.after(at, n.append)
	}
	n.run(settle + length)
	result := fanOutResult{
		logReads: float64(n.log.answers-reads) / length.Seconds(),
		logBytes: float64(n.log.bytes-bytes) / length.Seconds(),
	}
	// Records on their way still arrive; their traffic counts no more.
	sums := make([]float64, len(n.readers))
	for i, r := range n.readers {
		sums[i] = float64(r.bytes-before[i]) / length.Seconds()
	}
	n.run(settle + length + 2*p.timeout)
	slices.Sort(sums)
	result.medianNodeBytes, result.busiestNodeBytes = sums[len(sums)/2], sums[len(sums)-1]
	result.measure(n)
	return result
}

// measure sets the delays over all records and living readers.
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

// Polls of the daemon's reader, and shorter ones.
const (
	readWait     = 2 * time.Second
	readTimeout  = 5 * time.Second
	shortWait    = time.Second
	shortTimeout = 1500 * time.Millisecond
)

// surveySpread compares direct reads, a relay for each data centre and a tree along the delays.
func (s *Surveyor) measureFanOut() {
	usual := s.newPolling(readWait, readTimeout)
	for _, readers := range []int{todayInstances, 30, 300} {
		for _, perSecond := range []float64{0.5, 20} {
			for _, shape := range []topology{topologyDirect, topologyRelay, topologyTree} {
				s.writeFanOut(fanOutCase{topology: shape, readers: readers, perSecond: perSecond}, usual)
			}
		}
	}
	short := s.newPolling(shortWait, shortTimeout)
	for _, shape := range []topology{topologyDirect, topologyRelay, topologyTree} {
		c := fanOutCase{topology: shape, readers: 300, perSecond: 0.5, crash: true}
		s.writeFanOut(c.worstCrash(usual), usual)
		s.writeFanOut(c.worstCrash(short), short)
	}
	// With more records the crash finds fresher polls, and the whole timeout passes.
	dense := fanOutCase{topology: topologyRelay, readers: 300, perSecond: 5, crash: true}
	s.writeFanOut(dense.worstCrash(usual), usual)
	s.writeFanOut(dense.worstCrash(short), short)
}

// worstCrash returns the case with the time of the crash that delays a record most.
func (c fanOutCase) worstCrash(p polling) fanOutCase {
	const tries = 40
	length := time.Duration(2 * float64(time.Second) / c.perSecond)
	worst, longest := c, time.Duration(0)
	for c.crashAt = 0; c.crashAt < length; c.crashAt += length / tries {
		if last := c.run(p).longest; last > longest {
			worst, longest = c, last
		}
	}
	return worst
}

// newPolling takes the sizes from encoded polls and answers.
func (s *Surveyor) newPolling(wait, timeout time.Duration) polling {
	const path = "/v1/streams/trial.control/records?from=123456&limit=1024&waitMs=2000"
	c := s.newControlStream()
	raw := c.claim("engines/prova-llm")
	out, empty := s.exchangeBytes(path, &messenger.ReadReply{FirstOffset: 100_000, EndOffset: 123_457})
	_, full := s.exchangeBytes(path, &messenger.ReadReply{
		FirstOffset: 100_000, EndOffset: 123_457, Entries: []*messenger.LogEntry{{Offset: 123_456, Record: raw}},
	})
	return polling{wait: wait, timeout: timeout, exchange: int(out + empty), record: int(full - empty)}
}

func (s *Surveyor) writeFanOut(c fanOutCase, p polling) {
	r := c.run(p)
	fmt.Fprintf(s.output, "spread shape=%s readers=%d recordsPerSecond=%g relayCrash=%t pollTimeoutMs=%d middleMs=%.1f lastMs=%.1f floorMs=%.1f "+
		"logReadsPerSecond=%.1f logBytesPerSecond=%.0f busiestNodeBytesPerSecond=%.0f medianNodeBytesPerSecond=%.0f missing=%d\n",
		c.topology, c.readers, c.perSecond, c.crash, p.timeout.Milliseconds(), milliseconds(r.median), milliseconds(r.longest),
		milliseconds(r.floor), r.logReads, r.logBytes, r.busiestNodeBytes, r.medianNodeBytes, r.missing)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
