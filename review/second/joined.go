package main

import (
	"fmt"
	"strings"
	"time"
)

const movedConfig = `{"version":%d,"routes":[{"name":"r-order","host":"fit.example","path-prefix":"/order/","kind":"non_idempotent",` +
	`"timeout-ms":2000,"target-latency-ms":300,"priority":2,"service":%q,"max-attempts":1,"sticky":false,"resumable":false}],` +
	`"services":[{"name":"atolye-old","health-path":"/healthz","max-connections":100,"protocol":"h1","tls":false},` +
	`{"name":"atolye-new","health-path":"/healthz","max-connections":100,"protocol":"h1","tls":false}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// playJoined has the store return from a copy that is older than the latest configuration, and adds a machine. The machine
// must not handle requests by the older configuration once it is in touch, as all others have the later one.
func playJoined(s setting) (bool, error) {
	const (
		apply   = 2 * time.Second
		contact = 3 * time.Second
		// rewrite is how long after the store's return the operator writes the configuration again.
		rewrite = 5 * time.Second
	)
	store, err := NewStore(fmt.Sprintf("127.%d.9.1", s.network))
	if err != nil {
		return false, err
	}
	put := func(version int, service string) {
		store.Put("keyed.op", "config", fmt.Appendf(nil, movedConfig, version, service))
	}
	put(7, "atolye-old")
	var old []*Server
	for i := range 6 {
		v := &Server{
			ID: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), Service: "atolye-old", Zone: siteZones[i%3], Slots: 6,
			Work: 60 * time.Millisecond, log: s.log,
		}
		if i >= 3 {
			v.Service = "atolye-new"
		} else {
			old = append(old, v)
		}
		if err := v.Start(fmt.Sprintf("127.%d.8.%d", s.network, i+1), "0"); err != nil {
			return false, err
		}
		defer v.Exit()
		v.Beat(store)
	}
	// The seven machines of the site; edge-marmara-b-3 is the spare one of its zone.
	var gateways []*Gateway
	var clients []*Client
	defer func() {
		for _, g := range gateways {
			g.Kill()
		}
	}()
	start := func(name string, first bool) (*Client, error) {
		g, err := NewNamedGateway(s.directory, s.network, len(gateways)+1, name, store.address, first)
		if err != nil {
			return nil, err
		}
		if err := g.Start(); err != nil {
			return nil, err
		}
		gateways = append(gateways, g)
		return NewClient(g, s.log), nil
	}
	for _, name := range []string{"a-1", "a-2", "a-3", "b-1", "b-2", "c-1", "c-2"} {
		c, err := start("edge-marmara-"+name, true)
		if err != nil {
			return false, err
		}
		clients = append(clients, c)
	}
	if err := AwaitReady(gateways, 10*time.Second); err != nil {
		return false, err
	}
	order := func(c *Client, _ int) { c.Send("/order/2f", 4*time.Second) }
	t := newTraffic(clients, order)
	t.send(3*time.Second, 40*time.Millisecond)
	copied, copiedAt := store.Copy(), time.Now()
	s.log.Say("store: the copy is taken")
	t.send(500*time.Millisecond, 40*time.Millisecond)
	put(8, "atolye-new")
	confirmedAt := time.Now()
	s.log.Say("operator: version 8 moves the route from atolye-old to atolye-new; confirmed")
	t.send(3*time.Second, 40*time.Millisecond)
	if s.trouble {
		store.SetDown(true)
		s.log.Say("store: away")
		time.Sleep(500 * time.Millisecond)
		store.Return(copied)
		s.log.Say("store: back from a copy that is %.1f s old, era 1", time.Since(copiedAt).Seconds())
	}
	returnedAt := time.Now()
	t.send(500*time.Millisecond, 40*time.Millisecond)
	added, err := start("edge-marmara-b-3", false)
	if err != nil {
		return false, err
	}
	if err := AwaitReady(gateways[7:], 5*time.Second); err != nil {
		return false, err
	}
	readyAt := time.Now()
	s.log.Say("machine edge-marmara-b-3 is added and ready")
	t.clients = append(t.clients, added)
	t.send(time.Until(returnedAt.Add(rewrite)), 40*time.Millisecond)
	put(8, "atolye-new")
	s.log.Say("operator: version 8 is written again")
	t.send(3*time.Second, 40*time.Millisecond)
	t.wait()
	sent := map[string]Answer{}
	for _, c := range t.clients {
		for _, a := range c.Answers() {
			sent[a.ID] = a
		}
	}
	stale, early, others := 0, 0, 0
	for _, v := range old {
		for _, r := range v.Runs() {
			a := sent[r.ID]
			switch {
			case !a.SentAt.After(confirmedAt.Add(apply)):
			case !strings.HasSuffix(a.Gateway, "b-3"):
				others++
			case !a.SentAt.After(readyAt.Add(contact)):
				early++
			default:
				stale++
				s.log.Line("broken", "CONFIG: request=%s sent to %s %.3f s after the confirmation of version 8 ran at %s of atolye-old: status=%d",
					r.ID, a.Gateway, a.SentAt.Sub(confirmedAt).Seconds(), v.ID, a.Status)
			}
		}
	}
	s.log.Say("%d requests sent; by the older version, later than config-apply-ms: %d at the seven machines, %d at the added one before it is in touch, %d after",
		t.sent, others, early, stale)
	return stale+others == 0, nil
}
