// Package committer appends records to the log in groups and limits the rate of appends over all kinds of record.
package committer

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/rosemaryspool/meter"
)

const (
	// maxGroupRecords bounds the records of one append.
	maxGroupRecords = 256
	// appendTimeout bounds one append; after a timeout the outcome is unknown.
	appendTimeout = 2 * time.Second
	// submitQueueCapacity bounds the submitted batches that are not grouped yet; Submit blocks beyond it.
	submitQueueCapacity = 1024
	// laneQueueCapacity bounds the groups that are due and wait for earlier appends of their lane.
	laneQueueCapacity = 64
)

// Batch is a set of records that are appended together, at consecutive offsets.
type Batch struct {
	Stream  appender.Stream
	Records [][]byte
	Urgency throttler.Urgency
	// Done is called once with the offset of the batch's first record or with the error. It must not block.
	Done func(first identifier.Offset, err error)
}

// group is the batches that share one append.
type group struct {
	stream      appender.Stream
	batches     []Batch
	recordCount int
}

// groupKey identifies the batches that may share an append: those of one stream and urgency.
type groupKey struct {
	stream  appender.Stream
	urgency throttler.Urgency
}

// Committer makes all appends of one process.
type Committer struct {
	log        appender.Log
	logger     zerolog.Logger
	limiter    *throttler.Throttler[groupKey]
	openGroups map[groupKey]*group
	submitted  chan Batch
	// leaseLane and generalLane queue groups for append. Leases have a lane of their own so that slow appends of other
	// records don't delay their renewal.
	leaseLane   chan *group
	generalLane chan *group
	done        chan struct{}

	appends       metrics.Counter
	records       metrics.Counter
	failedAppends metrics.Counter
	duration      metrics.Histogram
}

// NewCommitter returns a committer. Run must be started before batches are submitted.
func NewCommitter(log appender.Log, logger zerolog.Logger, registry metrics.Registry) *Committer {
	return &Committer{
		log:           log,
		logger:        logger,
		limiter:       throttler.NewThrottler[groupKey](throttler.DefaultAppendsPerSecond, throttler.DefaultBurst),
		openGroups:    make(map[groupKey]*group),
		submitted:     make(chan Batch, submitQueueCapacity),
		leaseLane:     make(chan *group, laneQueueCapacity),
		generalLane:   make(chan *group, laneQueueCapacity),
		done:          make(chan struct{}),
		appends:       metrics.GetOrRegisterCounter("logAppendsTotal", registry),
		records:       metrics.GetOrRegisterCounter("logRecordsTotal", registry),
		failedAppends: metrics.GetOrRegisterCounter("logAppendsFailedTotal", registry),
		duration:      meter.NewHistogram("logAppendDurationNs", registry),
	}
}

// Done is closed when Run has returned.
func (c *Committer) Done() <-chan struct{} { return c.done }

// Submit queues a batch and blocks while the queue is full. After Run has returned, the batch fails with
// appender.ErrUnavailable.
func (c *Committer) Submit(batch Batch) {
	select {
	case <-c.done:
		batch.Done(0, appender.ErrUnavailable)
		return
	default:
	}
	select {
	case c.submitted <- batch:
	case <-c.done:
		batch.Done(0, appender.ErrUnavailable)
	}
}

// Run appends batches until stop is closed, then appends the queued ones and returns.
func (c *Committer) Run(stop <-chan struct{}) {
	defer close(c.done)
	var lanes conc.WaitGroup
	lanes.Go(func() { c.runLane(c.leaseLane) })
	lanes.Go(func() { c.runLane(c.generalLane) })
	c.collect(stop)
	c.flush()
	close(c.leaseLane)
	close(c.generalLane)
	lanes.Wait()
}

// collect groups batches and queues the groups for append at the rate that the limiter allows.
func (c *Committer) collect(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case b := <-c.submitted:
			c.add(b)
		case <-timer.C:
		}
		for _, key := range c.limiter.TakeDue(time.Now()) {
			c.closeGroup(key)
		}
		if wait, ok := c.limiter.UntilDue(time.Now()); ok {
			timer.Reset(wait)
		}
	}
}

// add adds a batch to the open group of its stream and urgency; a full group is closed first.
func (c *Committer) add(batch Batch) {
	key := groupKey{stream: batch.Stream, urgency: batch.Urgency}
	g, ok := c.openGroups[key]
	if ok && g.recordCount+len(batch.Records) > maxGroupRecords {
		c.closeGroup(key)
		ok = false
	}
	if !ok {
		g = &group{stream: batch.Stream}
		c.openGroups[key] = g
		c.limiter.Add(batch.Urgency, key)
	}
	g.batches = append(g.batches, batch)
	g.recordCount += len(batch.Records)
}

// closeGroup queues the open group of a key for append. A key that the limiter returns may have none, since add closes
// full groups early.
func (c *Committer) closeGroup(key groupKey) {
	g, ok := c.openGroups[key]
	if !ok {
		return
	}
	delete(c.openGroups, key)
	if key.urgency == throttler.UrgencyLease {
		c.leaseLane <- g
		return
	}
	c.generalLane <- g
}

// flush groups the submitted batches and queues all open groups for append.
func (c *Committer) flush() {
	for {
		select {
		case b := <-c.submitted:
			c.add(b)
		default:
			for key := range c.openGroups {
				c.closeGroup(key)
			}
			return
		}
	}
}

// runLane appends the groups of a lane one at a time until the lane is closed.
func (c *Committer) runLane(lane <-chan *group) {
	for g := range lane {
		c.append(g)
	}
}

// append appends a group and calls Done of its batches.
func (c *Committer) append(g *group) {
	records := make([][]byte, 0, g.recordCount)
	for _, b := range g.batches {
		records = append(records, b.Records...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	started := time.Now()
	offset, err := c.log.Append(ctx, g.stream, records)
	c.duration.Update(time.Since(started).Nanoseconds())
	c.appends.Inc(1)
	c.records.Inc(int64(len(records)))
	if err != nil {
		c.failedAppends.Inc(1)
		c.logger.Warn().Str("event", "appendFailed").Str("stream", string(g.stream)).
			Int("records", len(records)).Err(err).Msg("Could not append to the log")
	}
	for _, b := range g.batches {
		b.Done(offset, err)
		offset += identifier.Offset(len(b.Records))
	}
}
