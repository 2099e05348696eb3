package emulator

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// FleetSettings describes the upstreams of a fleet.
type FleetSettings struct {
	Service string
	Count   int
	Stage   string
	Events  int
	// Delay is how long each run takes before its response, Downtime how long a crashed upstream is away.
	Delay    time.Duration
	Downtime time.Duration
	// IsFatal selects the runs that crash the upstream that begins to answer them.
	IsFatal func(Run) bool
	// Network is where the upstreams listen; nil for the operating system's.
	Network *Network
}

// listen opens a listener for an upstream. A free port at 127.0.0.1 is chosen for port 0.
func (s FleetSettings) listen(address string) net.Listener {
	listen := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	if s.Network != nil {
		listen = s.Network.Listen
	}
	listener, err := listen(address)
	if err != nil {
		panic(fmt.Sprintf("emulator: listen: %v", err))
	}
	return listener
}

// Fleet is a number of upstreams that crash on certain requests. Each crashed one starts again at its address, under a new
// id and without anything that it knew. It is safe for concurrent use.
type Fleet struct {
	settings FleetSettings
	store    *Store

	mu      sync.Mutex
	running map[string]*Upstream
	started int
	closed  bool
	done    chan struct{}
	// replacing counts the goroutines that wait for a crash of an upstream.
	replacing sync.WaitGroup
	fatal     []Run
	crashes   []time.Time
}

// NewFleet starts a fleet whose upstreams register in a store.
func NewFleet(store *Store, settings FleetSettings) *Fleet {
	f := &Fleet{settings: settings, store: store, running: map[string]*Upstream{}, done: make(chan struct{})}
	for range settings.Count {
		f.start(settings.listen("127.0.0.1:0"))
	}
	return f
}

// start starts an upstream and registers it.
func (f *Fleet) start(listener net.Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = listener.Close()
		return
	}
	f.started++
	id := fmt.Sprintf("%s-%d", f.settings.Service, f.started)
	u := newUpstream(id, f.settings.Stage, f.settings.Events)
	u.delay = f.settings.Delay
	crashed := u.CrashOn(f.recordIfFatal)
	u.serve(listener)
	f.running[u.ID] = u
	f.store.Put(TopicServers, u.ID, u.Entry(f.settings.Service, "ready"))
	f.replacing.Add(1)
	go f.replace(u, crashed, listener.Addr().String())
}

// replace waits until an upstream crashes and starts the next one at its address.
func (f *Fleet) replace(u *Upstream, crashed <-chan struct{}, address string) {
	defer f.replacing.Done()
	select {
	case <-crashed:
	case <-f.done:
		return
	}
	f.mu.Lock()
	delete(f.running, u.ID)
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	if !f.pause(f.settings.Downtime / 2) {
		return
	}
	f.store.Put(TopicServers, u.ID, nil)
	if !f.pause(f.settings.Downtime / 2) {
		return
	}
	f.start(f.settings.listen(address))
}

// pause waits, and returns false if the fleet is closed before.
func (f *Fleet) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.done:
		return false
	}
}

// recordIfFatal reports whether a run crashes its upstream, and records it if so.
func (f *Fleet) recordIfFatal(r Run) bool {
	if !f.settings.IsFatal(r) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fatal = append(f.fatal, r)
	return true
}

// Fatal returns the requests that reached an upstream and crash it, prefills included.
func (f *Fleet) Fatal() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.fatal...)
}

// Crashes returns the times at which upstreams crashed.
func (f *Fleet) Crashes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes...)
}

// Close stops all upstreams.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	running := slices.Collect(maps.Values(f.running))
	f.mu.Unlock()
	close(f.done)
	f.replacing.Wait()
	for _, u := range running {
		u.Close()
	}
}
