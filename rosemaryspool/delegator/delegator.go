// Package delegator has requests placed by the arbiter of their service, which knows the work of all instances. Where no
// arbiter answers in time, the instance decides alone.
package delegator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/wire/messenger"
)

const (
	// replyTimeout is how long an arbiter may take. The usual time is a millisecond, and a busy processor adds a few.
	replyTimeout = 25 * time.Millisecond
	// maxArbiters is the number of arbiters that are asked before the instance decides alone.
	maxArbiters = 2
	// maxExcluded bounds the upstreams that a request tells the arbiter to pass over, as it must fit into a datagram. A
	// placement at one that is not named is not followed.
	maxExcluded = 32
	// spareRateShare is the share of upstreams' rate limits that instances use which are not the first arbiter: one that is
	// asked in its place, and all that decide alone together.
	spareRateShare = 0.2
)

// Delegator places requests. It is safe for concurrent use.
type Delegator struct {
	governor *governor.Governor
	courier  *courier.Courier
	log      zerolog.Logger
	alone    metrics.Counter
	// unmatched counts the replies of other instances for which nothing waits, foreign the placements at upstreams of another
	// service.
	unmatched metrics.Counter
	foreign   metrics.Counter

	mu      sync.Mutex
	waiting map[uint64]chan *messenger.PlacementReply
	// queries holds the queries for origins of streams that wait for replies, by number; nextQuery is the number of the next one.
	queries   map[uint64]chan streamReply
	nextQuery uint64
}

// NewDelegator returns a delegator that asks other instances over c.
func NewDelegator(
	g *governor.Governor, c *courier.Courier, log zerolog.Logger, registry metrics.Registry,
) *Delegator {
	return &Delegator{
		governor: g, courier: c, log: log, alone: metrics.GetOrRegisterCounter("placedAlone", registry),
		unmatched: metrics.GetOrRegisterCounter("repliesUnmatched", registry),
		foreign:   metrics.GetOrRegisterCounter("placementsForeign", registry),
		waiting:   map[uint64]chan *messenger.PlacementReply{}, queries: map[uint64]chan streamReply{},
		nextQuery: g.Self().FirstNumber(),
	}
}

// Place chooses the upstream for a request, or refuses it.
func (d *Delegator) Place(
	ctx context.Context, request allocator.Request,
) (allocator.Placement, *allocator.Refusal) {
	if refusal := d.governor.RefuseQuarantined(time.Now(), request); refusal != nil {
		return allocator.Placement{}, refusal
	}
	for _, arbiter := range d.governor.Arbiters(time.Now(), request.Service, maxArbiters) {
		if self := d.governor.Self().Instance; arbiter.Instance == self {
			// The arbiters before this one, if any, have just failed to answer.
			request.RateShare = 1
			placement, refusal := d.governor.Place(time.Now(), request)
			placement.Arbiter = self
			if refusal != nil {
				refusal.Arbiter = self
			}
			return placement, refusal
		}
		placement, refusal, result := d.ask(ctx, arbiter, request)
		if result == decided {
			return placement, refusal
		}
		if result == outdated || ctx.Err() != nil {
			break
		}
		d.governor.Suspect(time.Now(), arbiter.Instance, "noPlacementReply")
	}
	d.alone.Inc(1)
	request.RateShare = spareRateShare / float64(d.governor.Instances())
	return d.governor.Place(time.Now(), request)
}

// decision is the result of a request to an arbiter.
type decision int

const (
	// decided is a placement or a refusal.
	decided decision = iota + 1
	// outdated is a decision that rests on older knowledge of the upstreams than this instance's.
	outdated
	// unanswered means that no reply arrived in time.
	unanswered
)

// ask asks one arbiter.
func (d *Delegator) ask(
	ctx context.Context, arbiter elector.Member, request allocator.Request,
) (placement allocator.Placement, refusal *allocator.Refusal, result decision) {
	result = unanswered
	now := time.Now()
	request.Excluded = append(slices.Clip(request.Excluded), d.governor.Unusable(now, request.Service)...)
	request.Excluded = request.Excluded[:min(len(request.Excluded), maxExcluded)]
	number := d.governor.BeginRequest()
	replies := make(chan *messenger.PlacementReply, 1)
	d.mu.Lock()
	d.waiting[number] = replies
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.waiting, number)
		d.mu.Unlock()
	}()
	report, _ := d.governor.TakeReport(request.Service, arbiter)
	d.courier.Send(arbiter, &messenger.Datagram{Body: &messenger.Datagram_PlacementRequest{
		PlacementRequest: encodeRequest(number, request, gossiper.EncodeReport(report)),
	}})
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		placement, refusal = decodeReply(reply, arbiter.Instance)
		result = decided
		if t := reply.GetTimings(); t != nil {
			d.governor.SetTimings(request.Service, decodeTimings(t))
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	if result == decided && d.isOutdated(request, placement, refusal) {
		result = outdated
		d.logForeign(arbiter, request, placement)
		d.log.Info().Str("event", "placementOutdated").Str("arbiter", string(arbiter.Instance)).
			Str("upstream", string(placement.Upstream)).Str("prefiller", string(placement.Prefiller)).
			Msg("Arbiter's list of upstreams is outdated; deciding alone")
	}
	if result == decided {
		d.governor.Learn(time.Now(), request, refusal == nil)
	}
	if result == decided && refusal == nil {
		d.governor.EndRequest(time.Now(), number, request.Service, &placement, request.Prompt)
	} else {
		d.governor.EndRequest(time.Now(), number, request.Service, nil, nil)
	}
	return placement, refusal, result
}

// logForeign logs a placement at an upstream that this instance knows to be of another service than the request's.
func (d *Delegator) logForeign(arbiter elector.Member, request allocator.Request, placement allocator.Placement) {
	for _, id := range []identifier.UpstreamID{placement.Upstream, placement.Prefiller} {
		entry, listed := d.governor.Entry(id)
		if !listed || entry.Service == request.Service {
			continue
		}
		d.foreign.Inc(1)
		d.log.Warn().Str("event", "placementForeign").Str("arbiter", string(arbiter.Instance)).Str("upstream", string(id)).
			Str("service", string(request.Service)).Str("upstreamService", string(entry.Service)).
			Msg("Arbiter placed a request at an upstream of another service")
	}
}

// isOutdated reports whether an arbiter's decision rests on older knowledge of the upstreams: it chose one that this
// instance knows to be leaving, gone, asking it to wait or of another service or version than needed, or knows none that will
// do.
func (d *Delegator) isOutdated(
	request allocator.Request, placement allocator.Placement, refusal *allocator.Refusal,
) bool {
	if refusal != nil {
		return refusal.Reason == allocator.ReasonNoUpstream || refusal.Reason == allocator.ReasonNoVersion
	}
	now := time.Now()
	entry, _ := d.governor.Entry(placement.Upstream)
	if !d.governor.AcceptsWork(now, placement.Upstream) || !request.Accepts(entry) {
		return true
	}
	if placement.Prefiller == "" {
		return false
	}
	prefiller, _ := d.governor.Entry(placement.Prefiller)
	return !d.governor.AcceptsWork(now, placement.Prefiller) || prefiller.Service != entry.Service ||
		prefiller.Version != entry.Version
}

// HandleReply passes an arbiter's reply to the request that waits for it.
func (d *Delegator) HandleReply(r courier.Received, reply *messenger.PlacementReply) {
	d.mu.Lock()
	waiting := d.waiting[reply.GetNumber()]
	delete(d.waiting, reply.GetNumber())
	d.mu.Unlock()
	if waiting != nil {
		waiting <- reply
	} else {
		d.logUnmatched(r, "placement", reply.GetNumber())
	}
	if reply.GetBetterInstance() == "" {
		return
	}
	d.governor.SetMember(r.At, elector.Member{
		Instance: identifier.InstanceID(reply.GetBetterInstance()), StartedMs: reply.GetBetterStartedMs(),
		Address: reply.GetBetterAddress(), DataCentre: identifier.DataCentre(reply.GetBetterDataCentre()),
		Capacity: int(reply.GetBetterCapacity()),
	})
}

// logUnmatched logs a reply for which nothing waits: it came too late, was duplicated, or is for an earlier process of this
// instance.
func (d *Delegator) logUnmatched(r courier.Received, kind string, number uint64) {
	d.unmatched.Inc(1)
	d.log.Debug().Str("event", "replyUnmatched").Str("peer", string(r.Sender.Instance)).Str("kind", kind).
		Uint64("number", number).Msg("Reply of another instance for which nothing waits")
}

// HandleRequest places a request of another instance. It does so whether this instance is the arbiter or not, because
// the other one has chosen it; if it knows a better candidate, it says so.
func (d *Delegator) HandleRequest(r courier.Received, m *messenger.PlacementRequest) {
	request := decodeRequest(m)
	request.RateShare = 1
	better := d.betterArbiter(r.At, request.Service)
	if better != nil {
		request.RateShare = spareRateShare
	}
	placement, refusal := d.governor.PlaceFor(r.At, r.Sender.Instance, r.Sender.DataCentre, m.GetNumber(), request)
	reply := encodeReply(m.GetNumber(), placement, refusal)
	if timings, known := d.governor.Timings(request.Service); known {
		reply.Timings = encodeTimings(timings)
	}
	if better != nil {
		reply.BetterInstance, reply.BetterStartedMs = string(better.Instance), better.StartedMs
		reply.BetterAddress, reply.BetterDataCentre = better.Address, string(better.DataCentre)
		reply.BetterCapacity = uint32(better.Capacity)
	}
	d.courier.Send(r.Sender, &messenger.Datagram{Body: &messenger.Datagram_PlacementReply{PlacementReply: reply}})
}

// betterArbiter returns the first arbiter of a service, or nil if that is this instance.
func (d *Delegator) betterArbiter(now time.Time, service identifier.ServiceName) *elector.Member {
	first := d.governor.Arbiters(now, service, 1)
	if len(first) == 0 || first[0].Instance == d.governor.Self().Instance {
		return nil
	}
	return &first[0]
}
