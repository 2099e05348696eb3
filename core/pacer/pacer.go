// Package pacer decides when an instance reads a topic of the store. Instances tell each other how far they have read and
// whether anything mattered, so that one read serves many of them; each still reads what matters from the store itself.
package pacer

import "time"

// View is how far an instance has followed a topic, without gaps.
type View struct {
	// First is the offset from which it has followed the topic, Next the one after the last record that it has read.
	First uint64
	Next  uint64
	// Changed is the offset after the last record that changed what the instance believes; zero when there was none.
	Changed uint64
	// ReadAt is when the store last answered.
	ReadAt time.Time
}

const (
	// firstBackupDelay and othersDelay are how much later than the first instance the second one and the others read when
	// nothing is heard: a few reports of the one before them, so that they read only when it fails.
	firstBackupDelay  = 150 * time.Millisecond
	otherBackupsDelay = 300 * time.Millisecond
	// rankStagger keeps the reads of the others apart.
	rankStagger = 5 * time.Millisecond
	// maxStaggeredRank bounds the delay in a large data centre.
	maxStaggeredRank = 40
)

// Pacer paces the reads of one topic by one instance. It is not safe for concurrent use.
type Pacer struct {
	interval time.Duration
	holdTime time.Duration
	own      View
	synced   bool
	// peerReadAt is when another instance whose view covers this one's last read the store.
	peerReadAt time.Time
	// peerChange is the offset up to which other instances have found records that matter.
	peerChange uint64
}

// NewPacer returns a pacer of a topic that is read at an interval, and whose reads the store holds for a time.
func NewPacer(interval, held time.Duration) *Pacer { return &Pacer{interval: interval, holdTime: held} }

// SetTimes replaces the interval and the time for which the store holds reads.
func (p *Pacer) SetTimes(interval, held time.Duration) { p.interval, p.holdTime = interval, held }

// NextOffset returns the offset of the next record that matters may have; false when the topic must be read as a whole.
func (p *Pacer) NextOffset() (uint64, bool) { return p.own.Next, p.synced }

// SnapshotRead takes a reading of all keys; next is the offset from which it is followed.
func (p *Pacer) SnapshotRead(now time.Time, next uint64) View {
	p.own = View{First: next, Next: next, ReadAt: now}
	p.synced, p.peerChange = true, 0
	return p.own
}

// DeltaRead takes a read up to an offset; changed is the offset after the last record that mattered, zero when none did.
func (p *Pacer) DeltaRead(now time.Time, next, changed uint64) View {
	p.own.Next, p.own.ReadAt = next, now
	// The store's answers are in order: what another instance has read before is in this read, or was never there.
	p.peerChange = 0
	p.own.Changed = max(p.own.Changed, changed)
	return p.own
}

// PeerViewReceived takes another instance's view. It returns true when there is something to read at once.
func (p *Pacer) PeerViewReceived(v View) bool {
	if !p.synced || v.First > p.own.Next {
		// The other instance may have missed records that this one has not read.
		return false
	}
	if v.Changed > p.own.Next {
		p.peerChange = max(p.peerChange, v.Changed)
		return true
	}
	p.own.Next = max(p.own.Next, v.Next)
	if v.ReadAt.After(p.peerReadAt) {
		p.peerReadAt = v.ReadAt
	}
	return false
}

// NextReadAt returns when to read next; rank is the number of near instances that read before this one.
func (p *Pacer) NextReadAt(rank int) time.Time {
	if !p.synced || p.peerChange > p.own.Next {
		return time.Time{}
	}
	latest := p.own.ReadAt
	if p.peerReadAt.After(latest) {
		latest = p.peerReadAt
	}
	return latest.Add(p.interval + p.backupDelay(rank))
}

// backupDelay is how much later than the first instance another one reads. A read that the store holds is heard of only when it
// ends.
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
