package main

import (
	"sync"
	"time"
)

// startGateways starts gateways and waits until they are ready.
func startGateways(s setting, store *Store, count int, zones []string) ([]*Gateway, []*Client, error) {
	var gateways []*Gateway
	var clients []*Client
	for i := range count {
		g, err := NewGateway(s.directory, s.network, i+1, zones[i%len(zones)], store.address, true)
		if err != nil {
			return gateways, clients, err
		}
		if err := g.Start(); err != nil {
			return gateways, clients, err
		}
		gateways = append(gateways, g)
		clients = append(clients, NewClient(g, s.log))
	}
	return gateways, clients, AwaitReady(gateways, 10*time.Second)
}

// traffic sends requests to the gateways in turn.
type traffic struct {
	clients []*Client
	one     func(c *Client, number int)
	sent    int
	// before is how many were sent before the latest call of send.
	before int
	group  sync.WaitGroup
}

func newTraffic(clients []*Client, one func(*Client, int)) *traffic {
	return &traffic{clients: clients, one: one}
}

// send sends requests for a time, with a pause between two of them.
func (t *traffic) send(length, pause time.Duration) {
	t.before = t.sent
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		c, number := t.clients[t.sent%len(t.clients)], t.sent
		t.sent++
		t.group.Go(func() { t.one(c, number) })
	}
}

// wait waits until all requests have ended.
func (t *traffic) wait() { t.group.Wait() }
