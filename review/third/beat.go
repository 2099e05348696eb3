package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playBeat: a server's call to the store gets no response and is executed some seconds later. Meanwhile the server has left
// without reporting draining, and its entry was removed. DRAIN: requests reach a server later than drain-ms after the store
// has confirmed that it is gone. It returns how many.
func playBeat(s *system, trouble bool) int {
	const (
		name, prefix = "xano55b", "/pule252/"
		late         = 6 * time.Second
		drain        = 2 * time.Second
		// linger is how much longer than drain the server serves, silence how long after a beat an entry is removed.
		linger  = 4 * time.Second
		silence = 3 * heartbeat
	)
	var mu sync.Mutex
	var confirmed, gone time.Time
	leavingID := "i-2"
	reached := map[string]time.Duration{}
	work := func(id string) func(*http.Request) time.Duration {
		return func(r *http.Request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if attempt := r.Header.Get("Rosemaryspool-Attempt-Id"); id == leavingID && !confirmed.IsZero() && time.Since(confirmed) > drain {
				reached[attempt] = time.Since(confirmed)
			}
			return 200 * time.Millisecond
		}
	}
	var leaving *server
	for i, id := range []string{"i-1", "i-2", "i-3"} {
		v := &server{id: id, service: name, zone: zones[i], work: work(id), answer: func(*http.Request) []byte { return []byte("done\n") }}
		if id == leavingID {
			leaving = v
			v.beats = true
		}
		s.addServer(v)
	}
	s.configure(7, []map[string]any{route("r-orders", prefix, "non_idempotent", name, 4000, 300, 1)}, []map[string]any{service(name)})
	s.addGateways(7, nil)
	time.Sleep(4 * time.Second)

	ctx, stop := context.WithCancel(s.ctx)
	var callers sync.WaitGroup
	lost := 0
	for i := range 14 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for ctx.Err() == nil {
				if c, err := dial(s.record, s.gateways[i%len(s.gateways)]); err == nil {
					a := c.send(http.MethodPost, prefix+"2f", "one order", 4*time.Second)
					_ = c.conn.Close()
					mu.Lock()
					if _, after := reached[a.id]; after && (a.err != nil || a.status != http.StatusOK) {
						lost++
						s.record.add("lost", a.id, "an order that reached the leaving server had no success")
					}
					mu.Unlock()
				}
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	// The server writes once in a heartbeat. One of these calls has no response; with trouble it is executed late.
	sequence := 4
	beat := func() {
		sequence++
		leaving.beat(s.store, sequence)
	}
	started := time.Now()
	sequence++
	first := sequence
	if !trouble {
		leaving.beat(s.store, first)
	} else {
		s.record.add("store", "-", fmt.Sprintf("the beat %d of %s has no response", first, leavingID))
	}
	for range 3 {
		time.Sleep(heartbeat)
		beat()
	}
	time.Sleep(200 * time.Millisecond)
	s.store.put("keyed.servers", leavingID, nil)
	mu.Lock()
	confirmed = time.Now()
	gone = confirmed.Add(drain + linger)
	mu.Unlock()
	s.record.add("store", "-", fmt.Sprintf("%s leaves: its entry is removed; its last beat was %d", leavingID, sequence))
	time.Sleep(time.Until(started.Add(late)))
	if trouble {
		leaving.beat(s.store, first)
		s.record.add("store", "-", fmt.Sprintf("the beat %d of %s is executed", first, leavingID))
	}
	time.Sleep(time.Until(gone))
	leaving.end()
	s.record.add("server", "-", leavingID+" has ended")
	time.Sleep(time.Until(started.Add(late + silence)))
	if trouble {
		s.store.put("keyed.servers", leavingID, nil)
		s.record.add("store", "-", leavingID+": its entry is removed after three intervals of silence")
	}
	time.Sleep(time.Second)
	stop()
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, after := range reached {
		s.record.add("DRAIN", id, fmt.Sprintf("reached %s %.2f s after the store confirmed that it is gone", leavingID, after.Seconds()))
	}
	s.record.add("count", "-", fmt.Sprintf("%d requests reached it later than drain-ms, %d of them had no success", len(reached), lost))
	return len(reached)
}
