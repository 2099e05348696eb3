package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const laddersConfig = `{"version":%d,"routes":[{"name":"r-ladder","host":"fit.example","path-prefix":"/ladder/","kind":"streaming",` +
	`"timeout-ms":15000,"target-latency-ms":100,"priority":1,"service":"lume-llm","max-attempts":2,"sticky":true,"resumable":true,"target-gap-ms":120}],` +
	`"services":[{"name":"lume-llm","health-path":"/healthz","max-connections":120,"protocol":"h1","tls":false,` +
	`"engine":{"slots":6,"kv-capacity-tokens":1776274,"kv-bytes":18432,"link-mbps":960000.0,"migrations":true,"replicas":true,"stride":65,"most":12,` +
	`"kv-retention-s":5.0,"role-switch-s":3.0,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{"name":"m"}]}}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// playReborn has two servers crash and come back under their ids with another software version, while the store is silent.
// When they crash again, the streams that they have begun must not go on at a server of the version that they had before.
func playReborn(s setting) (bool, error) {
	const (
		pause = 32 * time.Millisecond
		// allowed is how many streams may hold events of two versions.
		allowed = 2
	)
	store, err := NewStore(fmt.Sprintf("127.%d.9.1", s.network))
	if err != nil {
		return false, err
	}
	store.Put("keyed.op", "config", fmt.Appendf(nil, laddersConfig, 7))
	var servers []*Server
	defer func() {
		for _, v := range servers {
			v.Exit()
		}
	}()
	start := func(i int, port, version string) (*Server, error) {
		v := &Server{
			ID: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), Service: "lume-llm", Zone: siteZones[i%3], Stage: "decode", Slots: 6,
			Events: 40, Pause: 30 * time.Millisecond, Version: version, log: s.log,
		}
		if err := v.Start(fmt.Sprintf("127.%d.8.%d", s.network, i+1), port); err != nil {
			return nil, err
		}
		servers = append(servers, v)
		v.Beat(store)
		return v, nil
	}
	const count = 8
	for i := range count {
		if _, err := start(i, "0", "v1"); err != nil {
			return false, err
		}
	}
	gateways, clients, err := startGateways(s, store, 3, siteZones)
	defer func() {
		for _, g := range gateways {
			g.Kill()
		}
	}()
	if err != nil {
		return false, err
	}
	t := newTraffic(clients, func(c *Client, number int) {
		c.Send("/ladder/2f", 15*time.Second, "Rosemaryspool-Model", "m", "Rosemaryspool-Token-Count", "220,90",
			"Rosemaryspool-Prompt-Prefix", fmt.Sprintf("%08x:80,%08x:140", 0x5c00+number%12, 0x100000+number))
	})
	t.send(5*time.Second, pause)
	for _, first := range []int{1, 4} {
		if err := s.rebornRound(store, t, servers[first:first+2:first+2], start, first); err != nil {
			return false, err
		}
		t.send(3*time.Second, pause)
	}
	t.wait()
	mixed, whole := 0, 0
	for _, c := range clients {
		for _, a := range c.Answers() {
			if a.Complete && a.Status == 200 {
				whole++
			}
			one, two := strings.Count(a.Body, "by v1\n"), strings.Count(a.Body, "by v2\n")
			if one > 0 && two > 0 {
				mixed++
				s.log.Line("broken", "ORDER: the stream of request=%s has %d events of v1 and %d of v2: status=%d complete=%v",
					a.ID, one, two, a.Status, a.Complete)
			}
		}
	}
	s.log.Say("%d streams asked for, %d complete; %d hold events of two versions, %d allowed", t.sent, whole, mixed, allowed)
	return mixed <= allowed, nil
}

// rebornRound has two servers, those from a number on, crash three times during a silence of the store. They come back under
// their ids with software version v2.
func (s setting) rebornRound(
	store *Store, t *traffic, pair []*Server, start func(i int, port, version string) (*Server, error), first int,
) error {
	const (
		outage = 8 * time.Second
		away   = 900 * time.Millisecond
		pause  = 32 * time.Millisecond
	)
	began := time.Now()
	until := func(after time.Duration) { t.send(time.Until(began.Add(after)), pause) }
	if !s.trouble {
		until(outage + away)
		return nil
	}
	crash := func() {
		for _, v := range pair {
			v.Exit()
			s.log.Say("server %s, version %s: crashes; it has begun %d streams", v.ID, v.Version, len(v.Runs()))
		}
	}
	rise := func() error {
		next := make([]*Server, 0, len(pair))
		for i, v := range pair {
			_, port, err := net.SplitHostPort(v.address)
			if err != nil {
				return err
			}
			risen, err := start(first+i, port, "v2")
			if err != nil {
				return err
			}
			next = append(next, risen)
		}
		pair = next
		s.log.Say("the two servers: back under their ids, with software version v2")
		return nil
	}
	store.SetSilent(true)
	s.log.Say("store: silent")
	for _, at := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		until(at)
		crash()
		until(at + away)
		if err := rise(); err != nil {
			return err
		}
	}
	until(outage)
	crash()
	store.SetSilent(false)
	s.log.Say("store: answers again")
	until(outage + away)
	return rise()
}
