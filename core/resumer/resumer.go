// Package resumer remembers at which software version streams began. What two versions of an upstream write doesn't fit
// together, so a stream that broke off may go on only at its own version.
package resumer

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// StreamID is the hash of the request that brought a stream's first event.
type StreamID uint64

// NewStreamID returns the id of the stream that a request begins. The hash is cryptographic, so that no caller can choose
// a request id whose stream takes the place of another one.
func NewStreamID(id identifier.RequestID) StreamID {
	sum := sha256.Sum256([]byte(id))
	return StreamID(binary.BigEndian.Uint64(sum[:]))
}

// Origin is where a stream began.
type Origin struct {
	Stream  StreamID
	Service identifier.ServiceName
	Version identifier.SoftwareVersion
	// Process is the one at which the stream began; zero if Version is surely its version.
	Process Process
	// Until is when the caller has given up, so that the stream won't be resumed any more.
	Until time.Time
}

const (
	// memory is how long a stream may be resumed at most, and so how long the versions count that are no longer listed.
	memory = time.Minute
	// maxListAge is how old the list of upstreams may be that is known. Upstreams of further versions may be listed since.
	maxListAge = 2 * time.Second
	// maxOrigins bounds the streams that are remembered, maxJournal those of a service of which other instances are told.
	maxOrigins = 1 << 16
	maxJournal = 1 << 13
	// maxReported bounds the streams in a report, which must fit into a datagram.
	maxReported = 16
	// maxReportedProcesses is the same for those with the process at which they began.
	maxReportedProcesses = 6
	// expiryInterval is the time between two searches for streams that are no longer resumed.
	expiryInterval = time.Second
)

// Resumer holds the origins of streams and the versions of the services' upstreams. It is not safe for concurrent use.
type Resumer struct {
	origins   map[StreamID]Origin
	services  map[identifier.ServiceName]*service
	expiredAt time.Time
	// firstStart is true if no stream had begun before the instance started.
	firstStart bool
	// watchedFrom is since when the list of upstreams is followed, listedAt when the newest list was read that is known.
	watchedFrom time.Time
	listedAt    time.Time
	// listInterval is the usual time between two reads of the list.
	listInterval time.Duration
	// doubts holds the listed upstreams that have refused connections, by which their processes have ended.
	doubts      map[identifier.UpstreamID]*doubt
	reportPhase float64
	// listings holds the entries of the list with the number of the latest list that had them, unlisted up to when those were
	// listed that it had before. lists counts the lists.
	listings map[listing]uint64
	lists    uint64
	unlisted map[listing]time.Time
}

// Versions is what is known of the versions at which the streams of a service began that may still be resumed.
type Versions struct {
	// Names is sorted.
	Names []identifier.SoftwareVersion
	// Complete is true if there are no others, but for versions that were listed a moment ago.
	Complete bool
}

// Add returns what is known together with what another instance knows.
func (v Versions) Add(other Versions) Versions {
	names := slices.Concat(v.Names, other.Names)
	slices.Sort(names)
	return Versions{Names: slices.Compact(names), Complete: v.Complete || other.Complete}
}

// Sole returns the only version, and false if there are several, or may be.
func (v Versions) Sole() (identifier.SoftwareVersion, bool) {
	if !v.Complete || len(v.Names) != 1 {
		return "", false
	}
	return v.Names[0], true
}

// service holds what is known of one service.
type service struct {
	// listed holds the versions of the upstreams that are listed; gone holds since when the others are not.
	listed  map[identifier.SoftwareVersion]bool
	gone    map[identifier.SoftwareVersion]time.Time
	journal journal
}

// NewResumer returns a resumer that knows no streams and no versions. firstStart is true if the whole system starts for the
// first time, so that no stream has begun yet.
func NewResumer(firstStart bool) *Resumer {
	return &Resumer{
		origins: map[StreamID]Origin{}, services: map[identifier.ServiceName]*service{}, firstStart: firstStart,
		doubts: map[identifier.UpstreamID]*doubt{}, listings: map[listing]uint64{}, unlisted: map[listing]time.Time{},
	}
}

func (r *Resumer) service(name identifier.ServiceName) *service {
	s := r.services[name]
	if s == nil {
		s = &service{
			listed: map[identifier.SoftwareVersion]bool{}, gone: map[identifier.SoftwareVersion]time.Time{},
		}
		r.services[name] = s
	}
	return s
}

// SetUpstreams replaces the list of upstreams.
func (r *Resumer) SetUpstreams(now time.Time, entries []tracker.Entry) {
	if r.watchedFrom.IsZero() {
		r.watchedFrom = now
	}
	for _, s := range r.services {
		for v := range s.listed {
			s.gone[v] = now
		}
		clear(s.listed)
	}
	r.forgetDoubts(entries)
	r.setListings(entries)
	for _, e := range entries {
		s := r.service(e.Service)
		s.listed[e.Version] = true
		delete(s.gone, e.Version)
	}
}

// Began records that a stream has begun here.
func (r *Resumer) Began(now time.Time, o Origin) {
	r.learn(now, o, true)
}

// Learn records the origins of streams that began at other instances.
func (r *Resumer) Learn(now time.Time, origins ...Origin) {
	for _, o := range origins {
		r.learn(now, o, false)
	}
}

func (r *Resumer) learn(now time.Time, o Origin, own bool) {
	if last := now.Add(memory); o.Until.After(last) {
		o.Until = last
	}
	if len(r.origins) >= maxOrigins {
		r.Expire(now)
	}
	if len(r.origins) >= maxOrigins {
		return
	}
	if _, known := r.origins[o.Stream]; !known || own {
		r.service(o.Service).journal.add(o, own)
	}
	r.origins[o.Stream] = o
}

// Origin returns the origin of a stream, and false if it is not known.
func (r *Resumer) Origin(now time.Time, id StreamID) (Origin, bool) {
	o, known := r.origins[id]
	return r.settle(o), known && now.Before(o.Until)
}

// Listed records that the upstreams are known as they were listed at a time.
func (r *Resumer) Listed(at time.Time) {
	if at.After(r.listedAt) {
		r.listedAt = at
	}
}

// ListedAt returns the time up to which the list of upstreams is known.
func (r *Resumer) ListedAt() time.Time { return r.listedAt }

// Versions returns the versions at which streams of a service began that may still be resumed.
func (r *Resumer) Versions(now time.Time, name identifier.ServiceName) Versions {
	s := r.service(name)
	watched := r.firstStart || (!r.watchedFrom.IsZero() && now.Sub(r.watchedFrom) >= memory)
	v := Versions{Complete: watched && now.Sub(r.listedAt) <= maxListAge}
	for name := range s.listed {
		v.Names = append(v.Names, name)
	}
	for name, since := range s.gone {
		if now.Sub(since) < memory {
			v.Names = append(v.Names, name)
		}
	}
	slices.Sort(v.Names)
	return v
}

// Expire forgets the streams that are no longer resumed and the versions that have been gone for long.
func (r *Resumer) Expire(now time.Time) {
	if now.Sub(r.expiredAt) < expiryInterval {
		return
	}
	r.expiredAt = now
	for id, o := range r.origins {
		if !now.Before(o.Until) {
			delete(r.origins, id)
		}
	}
	for _, s := range r.services {
		for v, since := range s.gone {
			if now.Sub(since) >= memory {
				delete(s.gone, v)
			}
		}
		s.journal.expire(now)
	}
	for l, at := range r.unlisted {
		if now.Sub(at) >= memory {
			delete(r.unlisted, l)
		}
	}
}
