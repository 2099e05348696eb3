package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playBeat: a server's call to the store gets no response and is executed some seconds later. Meanwhile the server has left
// without reporting draining, and its entry was removed, in a pause of the traffic. Then many clients send orders at once.
// DRAIN: requests reach a server later than drain-ms after the store has confirmed that it is gone. It returns how many.
func playBeat(s *system, trouble bool) int {
	const (
		name, prefix, leavingID = "xano55b", "/pule252/", "i-2"
		late                    = 6 * time.Second
		drain                   = 2 * time.Second
		// linger is how much longer than drain the server serves.
		linger = 2 * time.Second
	)
	var mu sync.Mutex
	var confirmed time.Time
	reached := map[string]time.Duration{}
	work := func(id string) func(*http.Request) time.Duration {
		return func(r *http.Request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if id == leavingID && !confirmed.IsZero() && time.Since(confirmed) > drain {
				reached[r.Header.Get("Rosemaryspool-Attempt-Id")] = time.Since(confirmed)
			}
			return 200 * time.Millisecond
		}
	}
	var leaving *server
	for i, id := range []string{"i-1", leavingID, "i-3"} {
		v := &server{id: id, service: name, zone: zones[i], work: work(id), answer: func(*http.Request) []byte { return []byte("done\n") }}
		if id == leavingID {
			leaving, v.beats = v, true
		}
		s.addServer(v)
	}
	s.configure(7, []map[string]any{route("r-orders", prefix, "non_idempotent", name, 4000, 300, 1)}, []map[string]any{service(name)})
	s.addGateways(7, nil)
	time.Sleep(2 * time.Second)
	s.sendOrders(prefix, 14)
	time.Sleep(time.Second)

	// The server writes once in a heartbeat. One of these calls has no response; with trouble it is executed late.
	const first = 5
	started := time.Now()
	if trouble {
		s.record.add("store", "-", fmt.Sprintf("the status report %d of %s has no response", first, leavingID))
	} else {
		leaving.beat(s.store, first)
	}
	for sequence := first + 1; sequence <= first+3; sequence++ {
		time.Sleep(heartbeat)
		leaving.beat(s.store, sequence)
	}
	time.Sleep(100 * time.Millisecond)
	leaving.leaving.Store(true)
	s.store.put("keyed.servers", leavingID, nil)
	mu.Lock()
	confirmed = time.Now()
	mu.Unlock()
	s.record.add("store", "-", fmt.Sprintf("%s leaves: its entry is removed; its last status report was %d", leavingID, first+3))
	time.Sleep(time.Until(started.Add(late)))
	if trouble {
		leaving.beat(s.store, first)
		s.record.add("store", "-", fmt.Sprintf("the status report %d of %s is executed", first, leavingID))
	}
	// The server ends while the orders run.
	end := confirmed.Add(drain + linger)
	time.Sleep(time.Until(end.Add(-100 * time.Millisecond)))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		time.Sleep(time.Until(end))
		s.record.add("server", "-", leavingID+" ends")
		leaving.end()
	}()
	failed := s.sendOrders(prefix, 12)
	<-ended
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for id, after := range reached {
		if failed[id] {
			lost++
		}
		s.record.add("DRAIN", id, fmt.Sprintf("reached %s %.2f s after the store confirmed that it is gone", leavingID, after.Seconds()))
	}
	s.record.add("count", "-", fmt.Sprintf("%d orders reached it later than drain-ms, %d of them had no success; of all %d orders %d had none", len(reached), lost, 12, len(failed)))
	return len(reached)
}

// sendOrders has clients of all gateways send one order each at the same time. It returns which had no success.
func (s *system) sendOrders(prefix string, count int) map[string]bool {
	var done sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]bool{}
	for i := range count {
		c, err := dial(s.record, s.gateways[i%len(s.gateways)])
		if err != nil {
			cannotRun("%v", err)
		}
		done.Add(1)
		go func() {
			defer done.Done()
			defer c.conn.Close()
			if a := c.send(http.MethodPost, prefix+"2f", "one order", 4*time.Second); a.err != nil || a.status != http.StatusOK {
				mu.Lock()
				failed[a.id] = true
				mu.Unlock()
			}
		}()
	}
	done.Wait()
	return failed
}
