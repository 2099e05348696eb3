// Package pacer schedules an instance's reads of a topic of the store. Instances exchange the offsets up to which they
// have read and the offset of the last relevant change, so that one instance polls for all of them. Each instance still
// reads relevant records from the store itself.
package pacer

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// View is the contiguous range of a topic's records that an instance has followed. Records that change the instance's
// state are called relevant.
type View struct {
	// Era is the era of the store in which the offsets are valid.
	Era identifier.Era
	// First is the offset of the first record of the range.
	First uint64
	// Next is the offset after the last record of the range.
	Next uint64
	// Changed is the offset after the last relevant record; zero when there was none.
	Changed uint64
	// ReadAt is the time of the store's last response.
	ReadAt time.Time
	// Partial is true if the store had records after the range then.
	Partial bool
}

const (
	// firstBackupDelay is how much later the instance of rank 1 reads than the one of rank 0 if no view arrives;
	// otherBackupsDelay is the same for all higher ranks. Either covers a few views of the instance that reads before, so
	// that a backup reads only when that instance fails.
	firstBackupDelay  = 150 * time.Millisecond
	otherBackupsDelay = 300 * time.Millisecond
	// rankStagger spreads the reads of the other backups over time.
	rankStagger = 5 * time.Millisecond
	// maxStaggeredRank limits the delay in a large data centre.
	maxStaggeredRank = 40
	// maxReadShare bounds, as a share of the interval, how much later the first backups read because the reads of the others
	// take long; maxPatientReadShare is the same for ranks from patientRank on, whose reads together would take all that the
	// store can send.
	maxReadShare        = 1.0 / 3
	maxPatientReadShare = 2.0 / 3
	patientRank         = 3
	// longRead is the time of a read from which on others wait for its view rather than read the same.
	longRead = 100 * time.Millisecond
	// readTimeDecay is how much of the known duration of reads is kept with each shorter one.
	readTimeDecay = 0.9
	// outageSlack is how much longer than the slowest backup takes to read nobody may have read before that counts as an
	// outage of the store.
	outageSlack = 300 * time.Millisecond
)

// Pacer schedules one instance's reads of one topic. It is not safe for concurrent use.
type Pacer struct {
	// interval is the polling interval.
	interval time.Duration
	// holdTime is how long the store holds a read without new records (long polling).
	holdTime time.Duration
	own      View
	// synced is true once a snapshot of the topic has been read or received.
	synced bool
	// notBefore is the earliest time of the first read in an era.
	notBefore time.Time
	// peerReadAt is the latest read of an instance whose view continues this one's without a gap.
	peerReadAt time.Time
	// completeAt is the latest time up to which this instance knows all records.
	completeAt time.Time
	// readTime is how long after the begin of another instance's read its view arrives.
	readTime time.Duration
	// peerNext is the offset up to which any other instance has read, peerProgressAt when a view last showed a newer read.
	peerNext       uint64
	peerProgressAt time.Time
	// peerChange is the offset up to which other instances have found relevant records, lateChange the same for those that
	// have been reported since the current read began.
	peerChange uint64
	lateChange uint64
	reading    bool
	// end is the offset before which the store is known to have records, by this instance's own reads.
	end uint64
	// confirmedAt is the latest time at which a read of any instance is known to have succeeded, outageSince and outageUntil
	// are the ones before and after the latest outage.
	confirmedAt time.Time
	outageSince time.Time
	outageUntil time.Time
}

// NewPacer returns a pacer for a topic that is read at an interval and whose reads the store holds for up to holdTime.
func NewPacer(interval, holdTime time.Duration) *Pacer {
	return &Pacer{interval: interval, holdTime: holdTime}
}

// SetTimes replaces the interval and the time for which the store holds reads.
func (p *Pacer) SetTimes(interval, holdTime time.Duration) {
	p.interval, p.holdTime = interval, holdTime
}

// Era returns the era of the store that the instance follows.
func (p *Pacer) Era() identifier.Era { return p.own.Era }

// EnterEra forgets all offsets if an era is later than the one that the instance follows, and reports whether it is. The
// first read is not due before a time.
func (p *Pacer) EnterEra(era identifier.Era, notBefore time.Time) bool {
	if era <= p.own.Era {
		return false
	}
	p.own = View{Era: era}
	p.synced, p.notBefore = false, notBefore
	p.peerReadAt, p.completeAt = time.Time{}, time.Time{}
	p.peerChange, p.lateChange, p.peerNext, p.end = 0, 0, 0, 0
	return true
}

// NextOffset returns the lowest offset that an unread relevant record may have. It returns false when a snapshot of
// the topic must be read first.
func (p *Pacer) NextOffset() (uint64, bool) { return p.own.Next, p.synced }

// ReadStarted records that a read of this instance begins.
func (p *Pacer) ReadStarted() { p.reading, p.lateChange = true, 0 }

// ReadConfirmed records that a read of any instance has succeeded, whose result is not older than a time. It reports
// whether that is the first one after an outage of the store, and when the last one before it was.
func (p *Pacer) ReadConfirmed(at time.Time) (before time.Time, outage bool) {
	before = p.confirmedAt
	if !at.After(before) {
		return before, false
	}
	p.confirmedAt = at
	outage = !before.IsZero() && at.Sub(before) > p.interval+p.backupDelay(maxStaggeredRank)+outageSlack
	if outage {
		p.outageSince, p.outageUntil = before, at
	}
	return before, outage
}

// InOutage reports whether a time is between the last read before the latest outage of the store and, but for the way of
// a datagram, the first one after it.
func (p *Pacer) InOutage(at time.Time) bool {
	return at.After(p.outageSince) && !at.After(p.outageUntil.Add(outageSlack))
}

// SnapshotRead records a read of all keys at a time and returns the new view. next is the offset of the first record
// after it.
func (p *Pacer) SnapshotRead(at time.Time, next uint64) View {
	p.own = View{Era: p.own.Era, First: next, Next: next, ReadAt: at}
	p.synced, p.peerChange = true, p.lateChange
	p.reading, p.lateChange = false, 0
	p.complete(p.own)
	return p.own
}

// DeltaRead records a read at a time of the records before the offset next and returns the new view. changed is the
// offset after the last relevant record; zero when there was none. If the store had records before the offset end, next or a
// later one, the next read is due at once.
func (p *Pacer) DeltaRead(at time.Time, next, changed, end uint64) View {
	p.end = max(p.end, end)
	// Records after next may have been forwarded by another instance meanwhile.
	p.own.Next, p.own.ReadAt = max(p.own.Next, next), at
	// The store's responses are ordered: records that another instance had read before this read began are in it, or don't
	// exist.
	p.peerChange = p.lateChange
	p.reading, p.lateChange = false, 0
	p.own.Changed = max(p.own.Changed, changed)
	p.own.Partial = p.own.Next < p.end
	p.complete(p.own)
	return p.own
}

// complete records that this instance knows all records of a view.
func (p *Pacer) complete(v View) {
	if !v.Partial && v.ReadAt.After(p.completeAt) {
		p.completeAt = v.ReadAt
	}
}

// PeerViewArrived records when the view of another instance has arrived. A read of a long list takes long over a slow link;
// backups that read before its view arrives would each fill their link with the same records.
func (p *Pacer) PeerViewArrived(v View, now time.Time) {
	if v.Era == p.own.Era && v.ReadAt.After(p.peerReadAt) {
		p.peerNext, p.peerProgressAt = max(p.peerNext, v.Next), now
		kept := time.Duration(readTimeDecay * float64(p.readTime))
		p.readTime = max(now.Sub(v.ReadAt), kept)
	}
}

// ReadsTakeLong reports whether the reads of others take so long that few instances should read.
func (p *Pacer) ReadsTakeLong() bool { return p.readTime >= longRead }

// expectedReadTime returns for how long an instance of a rank waits for the views of those before it. From patientRank on,
// that is also the time of a first backup, which waits itself.
func (p *Pacer) expectedReadTime(rank int) time.Duration {
	switch {
	case rank == 0:
		return 0
	case rank < patientRank:
		return min(p.readTime, time.Duration(maxReadShare*float64(p.interval)))
	default:
		return min(2*p.readTime, time.Duration(maxPatientReadShare*float64(p.interval)))
	}
}

// restDueAt returns when the rest of a topic is read of which a read has returned only a part. While another instance that
// has read as far makes progress, that is left to it.
func (p *Pacer) restDueAt(rank int) time.Time {
	if rank == 0 || p.peerNext < p.own.Next {
		return time.Time{}
	}
	return p.peerProgressAt.Add(p.expectedReadTime(rank) + p.backupDelay(rank) - p.holdTime)
}

// PeerViewReceived merges the view of another instance and reports whether a relevant record must be read immediately.
func (p *Pacer) PeerViewReceived(v View) bool {
	if !p.synced || v.Era != p.own.Era || v.First > p.own.Next {
		// Not synced yet, or a gap: the other instance may have missed records that this one has not read either.
		return false
	}
	if v.Changed > p.own.Next {
		p.peerChange = max(p.peerChange, v.Changed)
		if p.reading {
			p.lateChange = max(p.lateChange, v.Changed)
		}
		return true
	}
	p.own.Next = max(p.own.Next, v.Next)
	// An instance that has not read as far must learn from this one's view, too, that there was a change.
	p.own.Changed = max(p.own.Changed, v.Changed)
	if v.ReadAt.After(p.peerReadAt) {
		p.peerReadAt = v.ReadAt
	}
	p.complete(v)
	return false
}

// PeerRecordsReceived merges a read of another instance whose records have been forwarded: all relevant ones from the
// offset from on and before the offset to, the last one of which is before the offset changed. It returns false if records
// before from are unread, or if all before to have been read already; the forwarded records are of no use then.
func (p *Pacer) PeerRecordsReceived(from, to, changed uint64) bool {
	if !p.synced || from > p.own.Next || to <= p.own.Next {
		return false
	}
	p.own.Next = to
	p.own.Changed = max(p.own.Changed, min(changed, to))
	return true
}

// PeerSnapshotReceived merges a snapshot that another instance has sent. It returns false if this instance has read the
// topic as far already.
func (p *Pacer) PeerSnapshotReceived(v View) bool {
	if v.Era != p.own.Era || p.synced && v.Next <= p.own.Next {
		return false
	}
	p.own = View{Era: v.Era, First: v.Next, Next: v.Next, Changed: v.Changed, ReadAt: p.own.ReadAt}
	p.synced, p.peerReadAt = true, v.ReadAt
	p.complete(v)
	return true
}

// HasGapTo reports whether records lie between those that this instance has read and those that another one has followed.
func (p *Pacer) HasGapTo(v View) bool {
	return p.synced && v.Era == p.own.Era && v.First > p.own.Next
}

// Synced reports whether a snapshot of the topic has been read or received.
func (p *Pacer) Synced() bool { return p.synced }

// View returns this instance's view, for an instance that asks for it.
func (p *Pacer) View() View {
	v := p.own
	if p.peerReadAt.After(v.ReadAt) {
		v.ReadAt = p.peerReadAt
	}
	v.Partial = v.ReadAt.After(p.completeAt)
	return v
}

// CompleteAt returns the latest time up to which this instance knows all records; the zero time if there is none.
func (p *Pacer) CompleteAt() time.Time { return p.completeAt }

// BehindPeers reports whether the next read only catches up with what another instance has read and forwarded.
func (p *Pacer) BehindPeers() bool { return p.synced && p.peerChange > p.own.Next }

// NextReadAt returns the time of the next read, the zero time for an immediate one. rank is the number of nearby
// instances that read before this one.
func (p *Pacer) NextReadAt(rank int) time.Time {
	switch {
	case !p.synced:
		return p.notBefore
	case p.BehindPeers():
		return time.Time{}
	case p.own.Next < p.end:
		return p.restDueAt(rank)
	}
	latest := p.own.ReadAt
	if p.peerReadAt.After(latest) {
		latest = p.peerReadAt
	}
	return latest.Add(p.interval + p.expectedReadTime(rank) + p.backupDelay(rank))
}

// backupDelay returns how much later an instance of the given rank reads than the one of rank 0. It includes holdTime,
// because a read that the store holds shows up in a view only when it ends.
func (p *Pacer) backupDelay(rank int) time.Duration {
	switch rank {
	case 0:
		return 0
	case 1:
		return p.holdTime + firstBackupDelay
	default:
		return p.holdTime + otherBackupsDelay + time.Duration(min(rank, maxStaggeredRank))*rankStagger
	}
}
