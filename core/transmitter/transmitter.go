// Package transmitter schedules transfers of many datagrams to several instances, such as snapshots of a long list of
// upstreams to instances that start together: hundreds of kilobytes for each of a hundred receivers. It keeps what is sent
// within a rate for the sender's link and one for each receiver's, as a full link drops datagrams, and a transfer that has
// lost one is of no use. Receivers that find no room read the store instead.
package transmitter

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	// receiverBytesPerSecond is the rate to one receiver: under half of a link of 10 Mbit/s.
	receiverBytesPerSecond = 500_000
	// burstTime is the time whose bytes are sent at once.
	burstTime = 10 * time.Millisecond
	// minBytesPerSecond is the least rate at which a transfer is of use, which bounds the number of those of a topic; so does
	// maxTransfers.
	minBytesPerSecond = 200_000
	maxTransfers      = 64
)

// Key identifies a transfer: a receiver gets each topic once at a time.
type Key struct {
	Receiver identifier.InstanceID
	// Address stands for the receiver while its id is unknown.
	Address string
	Topic   string
}

// Part is one datagram of a transfer.
type Part[D any] struct {
	Datagram D
	Bytes    int
}

type transfer[D any] struct {
	key   Key
	parts []Part[D]
	// freeAt is when the receiver's link has taken all parts that were sent.
	freeAt time.Time
}

// Transmitter holds the transfers of one instance. It is not safe for concurrent use.
type Transmitter[D any] struct {
	bytesPerSecond float64
	limit          int
	freeAt         time.Time
	// transfers are under way; the first one is next.
	transfers []*transfer[D]
}

// NewTransmitter returns a transmitter that sends at a rate at most.
func NewTransmitter[D any](bytesPerSecond float64) *Transmitter[D] {
	limit := min(max(1, int(bytesPerSecond/minBytesPerSecond)), maxTransfers)
	return &Transmitter[D]{bytesPerSecond: bytesPerSecond, limit: limit}
}

// Add begins a transfer. It returns false if one with the same key is under way, or too many others are.
func (t *Transmitter[D]) Add(key Key, parts []Part[D]) bool {
	if t.UnderWay(key) || t.Room(key.Topic) == 0 || len(parts) == 0 {
		return false
	}
	t.transfers = append(t.transfers, &transfer[D]{key: key, parts: parts})
	return true
}

// UnderWay reports whether a transfer is under way.
func (t *Transmitter[D]) UnderWay(key Key) bool {
	for _, other := range t.transfers {
		if other.key == key {
			return true
		}
	}
	return false
}

// Room returns how many other transfers of a topic may begin. Topics don't wait for each other: most are short.
func (t *Transmitter[D]) Room(topic string) int {
	room := t.limit
	for _, other := range t.transfers {
		if other.key.Topic == topic {
			room--
		}
	}
	return room
}

// Empty reports whether no transfer is under way.
func (t *Transmitter[D]) Empty() bool { return len(t.transfers) == 0 }

// Next returns the datagram to send now and its receiver, or else how long to wait for the next one. The transfers take
// turns.
func (t *Transmitter[D]) Next(now time.Time) (key Key, datagram D, wait time.Duration) {
	if ahead := t.freeAt.Sub(now); ahead >= burstTime {
		return key, datagram, ahead
	}
	wait = burstTime
	for i, next := range t.transfers {
		if ahead := next.freeAt.Sub(now); ahead >= burstTime {
			wait = min(wait, ahead)
			continue
		}
		part := next.parts[0]
		next.parts = next.parts[1:]
		t.freeAt = later(t.freeAt, now).Add(transferTime(part.Bytes, t.bytesPerSecond))
		next.freeAt = later(next.freeAt, now).Add(transferTime(part.Bytes, receiverBytesPerSecond))
		t.transfers = append(t.transfers[:i], t.transfers[i+1:]...)
		if len(next.parts) > 0 {
			t.transfers = append(t.transfers, next)
		}
		return next.key, part.Datagram, 0
	}
	return key, datagram, wait
}

func transferTime(bytes int, bytesPerSecond float64) time.Duration {
	return time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
