package main

import (
	"fmt"
	"strings"
	"time"
)

const ordersConfig = `{"version":%d,"routes":[{"name":"r-order","host":"fit.example","path-prefix":"/order/","kind":"non_idempotent",` +
	`"timeout-ms":2000,"target-latency-ms":300,"priority":2,"service":"atolye-app","max-attempts":1,"sticky":false,"resumable":false}],` +
	`"services":[{"name":"atolye-app","health-path":"/healthz","max-connections":100,"protocol":"h1","tls":false}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// playReturned removes two servers' entries, and a few seconds later has the store return from a copy that is older than
// the removals. The servers must get no request later than drain-ms after the removals were read.
func playReturned(s setting) (bool, error) {
	const (
		drain = 2 * time.Second
		// linger is how long the servers serve after their removal: drain-ms and a little longer.
		linger = 3950 * time.Millisecond
	)
	store, err := NewStore(fmt.Sprintf("127.%d.9.1", s.network))
	if err != nil {
		return false, err
	}
	store.Put("keyed.op", "config", fmt.Appendf(nil, ordersConfig, 7))
	zones := []string{"marmara-a", "marmara-b", "marmara-c"}
	var servers []*Server
	for i := range 8 {
		v := &Server{
			ID: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), Service: "atolye-app", Zone: zones[i%3], Slots: 6,
			Work: 450 * time.Millisecond, log: s.log,
		}
		if err := v.Start(fmt.Sprintf("127.%d.8.%d", s.network, i+1), "0"); err != nil {
			return false, err
		}
		defer v.Exit()
		v.Beat(store)
		servers = append(servers, v)
	}
	gateways, clients, err := startGateways(s, store, 3, zones)
	defer func() {
		for _, g := range gateways {
			g.Kill()
		}
	}()
	if err != nil {
		return false, err
	}
	t := newTraffic(clients, func(c *Client, _ int) { c.Send("/order/2f", 4*time.Second) })
	t.send(3*time.Second, 60*time.Millisecond)
	copied, copiedAt := store.Copy(), time.Now()
	s.log.Say("store: the copy is taken")
	t.send(time.Second, 60*time.Millisecond)
	leavers := servers[1:3]
	runs := func() int { return len(leavers[0].Runs()) + len(leavers[1].Runs()) }
	before := runs()
	for _, v := range leavers {
		v.Leave(store)
	}
	removedAt := time.Now()
	s.log.Say("servers %s and %s: their entries are removed; they serve on and say that they leave", leavers[0].ID, leavers[1].ID)
	t.send(1200*time.Millisecond, 60*time.Millisecond)
	read := runs()
	t.send(1500*time.Millisecond, 60*time.Millisecond)
	s.log.Say("1.2 to 2.7 s after the removals, %d requests were sent, %d of them reached the two servers", t.sent-t.before, runs()-read)
	acknowledged := runs() == read
	if s.trouble {
		store.SetDown(true)
		s.log.Say("store: away")
		time.Sleep(500 * time.Millisecond)
		store.Return(copied)
		s.log.Say("store: back from a copy that is %.1f s old, era 1", time.Since(copiedAt).Seconds())
		go func() {
			// What the operator and the servers wrote is written again: the live servers' entries with their next reports.
			time.Sleep(500 * time.Millisecond)
			store.Put("keyed.op", "config", fmt.Appendf(nil, ordersConfig, 7))
			time.Sleep(1300 * time.Millisecond)
			for _, v := range leavers {
				store.Put("keyed.servers", v.ID, nil)
			}
			s.log.Line("note", "store: the removals are written again")
		}()
	}
	t.send(time.Until(removedAt.Add(linger)), 60*time.Millisecond)
	for _, v := range leavers {
		v.Exit()
	}
	s.log.Say("the two servers exit, %v after their removal", linger)
	t.send(time.Second, 60*time.Millisecond)
	t.wait()
	sent := map[string]Answer{}
	var told []Answer
	for _, c := range clients {
		for _, a := range c.Answers() {
			sent[a.ID] = a
			if a.Leaving {
				told = append(told, a)
			}
		}
	}
	late, warned, cut := 0, 0, map[string]bool{}
	for _, v := range leavers {
		for _, r := range v.Runs() {
			if r.At.After(removedAt.Add(drain)) {
				late++
				s.log.Line("broken", "DRAIN: request=%s reached %s %.3f s after the removal was confirmed", r.ID, v.ID, r.At.Sub(removedAt).Seconds())
				cut[r.ID] = !r.Done
				for _, a := range told {
					if a.Gateway == sent[r.ID].Gateway && strings.Contains(a.Body, v.ID) && sent[r.ID].SentAt.Sub(a.EndedAt) > drain {
						warned++
						s.log.Line("broken", "DRAIN: %s had passed on %s's answer to %s with Server-Leaving %.3f s before",
							a.Gateway, v.ID, a.ID, sent[r.ID].SentAt.Sub(a.EndedAt).Seconds())
						break
					}
				}
			}
		}
	}
	lost := 0
	for _, c := range clients {
		for _, a := range c.Answers() {
			if cut[a.ID] {
				lost++
				s.log.Line("broken", "request=%s ran, and its answer was lost when its server exited: status=%d complete=%v", a.ID, a.Status, a.Complete)
			}
		}
	}
	s.log.Say("%d requests sent; %d reached one of the two servers later than drain-ms after the removals, %d of them by a gateway that had passed on the server's Server-Leaving; %d of them were lost",
		t.sent, late, warned, lost)
	if before == 0 || !acknowledged {
		return false, fmt.Errorf("the two servers ran %d requests before the removals; the gateways have read these: %v", before, acknowledged)
	}
	return late == 0, nil
}
