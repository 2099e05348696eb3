package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playFlap: a server is started again in place with another software version, under its id and at its address, in a pause of
// the traffic. It registers at once, and crashes half a second later. Streams that have begun there go on at servers of the
// version before. ORDER: more than two streams hold events from servers of two software versions. It returns how many.
func playFlap(s *system, trouble bool) int {
	const (
		name, prefix = "xano55b", "/lohu930/"
		// away is how long the server is down in the restart, up how long the new process runs.
		away, up = 200 * time.Millisecond, 500 * time.Millisecond
		streams  = 36
	)
	var flapping *server
	for i := range 6 {
		v := &server{id: fmt.Sprintf("i-%d", i+1), service: name, zone: zones[i%3], version: "v1"}
		v.stream = s.noteStream(v)
		if i == 0 {
			flapping, v.beats = v, true
		}
		s.addServer(v)
	}
	s.configureNotes(name, prefix)
	s.addGateways(7, nil)
	beats := 1
	for range 10 {
		time.Sleep(heartbeat)
		beats++
		flapping.beat(s.store, beats)
	}
	if trouble {
		s.record.add("server", "-", flapping.id+" ends")
		flapping.end()
		time.Sleep(away)
		second := &server{id: flapping.id, service: name, zone: flapping.zone, version: "v2", address: flapping.address, record: s.record}
		second.slots, second.stream, second.born = make(chan struct{}, slots), s.noteStream(second), time.Now().UnixMilli()
		l, err := net.Listen("tcp", second.address)
		if err != nil {
			cannotRun("%v", err)
		}
		second.http = &http.Server{Handler: second}
		go func() { _ = second.http.Serve(l) }()
		second.beat(s.store, 1)
		s.record.add("server", "-", second.id+" starts again with version v2, and its entry is in the store")
		time.AfterFunc(up, func() {
			s.record.add("server", "-", second.id+" ends")
			second.end()
		})
	}
	time.Sleep(50 * time.Millisecond)
	var done sync.WaitGroup
	var joined, whole atomic.Int64
	for i := range streams {
		c, err := dial(s.record, s.gateways[i%len(s.gateways)])
		if err != nil {
			cannotRun("%v", err)
		}
		done.Add(1)
		go func() {
			defer done.Done()
			defer c.conn.Close()
			a := c.send(http.MethodPost, prefix+"2f", "one note", 15*time.Second)
			if a.err == nil && lastEvent(a.body) == notes {
				whole.Add(1)
			}
			if v1, v2 := strings.Count(a.body, " of v1\n"), strings.Count(a.body, " of v2\n"); v1 > 0 && v2 > 0 {
				joined.Add(1)
				s.record.add("ORDER", a.id, fmt.Sprintf("%d events of version v2, %d of version v1 in one answer; error: %v", v2, v1, a.err))
			}
		}()
	}
	time.Sleep(time.Second)
	// The platform removes the entry of the server that is silent.
	if trouble {
		time.Sleep(heartbeat)
		s.store.put("keyed.servers", flapping.id, nil)
	}
	done.Wait()
	s.record.add("count", "-", fmt.Sprintf("%d of %d streams were whole, %d hold events of two versions", whole.Load(), streams, joined.Load()))
	if joined.Load() <= 2 {
		return 0
	}
	return int(joined.Load())
}
