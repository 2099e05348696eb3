package transmitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
)

// spreader is an instance of a data centre that starts without the list.
type spreader struct {
	elector  *elector.Elector
	out      *Transmitter[int]
	requests pacer.Requests
	from     identifier.InstanceID
	received int
}

// All instances of a data centre start together. Only one of them has the list of 3,000 upstreams, over a link of 25 Mbit/s,
// which takes nine seconds to send it to all.
func TestListSpreadsOverTheInstancesThatHaveIt(t *testing.T) {
	const instances, datagrams, step = 99, 100, time.Millisecond
	start := time.Unix(1000, 0)
	now := start
	all := map[identifier.InstanceID]*spreader{}
	var members []elector.Member
	for n := range instances {
		m := elector.Member{Instance: identifier.InstanceID(fmt.Sprint("spool-", n)), DataCentre: "here", Capacity: 144}
		if n == 0 {
			m.Capacity = 480
		}
		members = append(members, m)
	}
	for _, m := range members {
		s := &spreader{elector: elector.NewElector(m), out: NewTransmitter[int](625_000)}
		for _, other := range members {
			s.elector.SetMember(now, other)
		}
		all[m.Instance] = s
	}
	first := all["spool-0"]
	first.out, first.received = NewTransmitter[int](1_560_000), datagrams
	for missing := instances - 1; missing > 0; now = now.Add(step) {
		require.Less(t, now.Sub(start), 3*time.Second, "%d instances lack the list", missing)
		for _, m := range members {
			s := all[m.Instance]
			if s.received < datagrams {
				s.ask(now, m, all, datagrams)
			}
			for {
				to, datagram, wait := s.out.Next(now)
				if wait > 0 {
					break
				}
				if all[to.Receiver].receive(now, m.Instance, datagram, datagrams) {
					missing--
				}
			}
		}
	}
}

// ask asks another instance for the list, if that is due.
func (s *spreader) ask(now time.Time, self elector.Member, all map[identifier.InstanceID]*spreader, datagrams int) {
	try, due := s.requests.Ask(now)
	if !due {
		return
	}
	source, found := s.elector.Source(now, "reader", try)
	if asked := all[source.Instance]; found && asked.received == datagrams {
		if !asked.out.Add(Key{Receiver: self.Instance, Topic: "servers"}, parts(datagrams)) {
			s.requests.Progressed(now)
		}
	}
}

// receive takes a datagram in order from one sender at a time, and reports whether it is the last one.
func (s *spreader) receive(now time.Time, from identifier.InstanceID, datagram, datagrams int) bool {
	if s.received == datagrams {
		return false
	}
	if datagram == 0 {
		s.from, s.received = from, 0
	}
	if s.from != from || s.received != datagram {
		return false
	}
	s.received++
	s.requests.Progressed(now)
	return s.received == datagrams
}
