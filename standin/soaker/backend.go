package soaker

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"rosemaryspool.example/standin/emulator"
)

// backend is an upstream behind a proxy.
type backend struct {
	upstream *emulator.Upstream
	service  string
	proxy    *proxy
	// draining is true once the upstream was published as draining.
	draining bool
	crashed  atomic.Bool
	// started is when it was listed, ended when it crashed or began to drain; the soaker's mutex guards ended.
	started time.Time
	ended   time.Time
}

// listBackends returns all upstreams of the run.
func (s *Soaker) listBackends() []*backend {
	s.backendsMu.Lock()
	defer s.backendsMu.Unlock()
	return slices.Clone(s.backends)
}

func (s *Soaker) addBackend(id, service, stage string) error {
	events := 0
	if service == modelService {
		events = streamEvents
	}
	u, err := emulator.NewUpstreamAt(s.settings.upstreamIP(), id, stage, events)
	if err != nil {
		return err
	}
	u.SetDelay(responseDelay)
	u.SetPause(s.settings.EventPause)
	if s.settings.MixedVersions {
		s.backendsMu.Lock()
		u.Version = fmt.Sprint("v", 1+len(s.backends)%2)
		s.backendsMu.Unlock()
	}
	p, err := newProxy(s.settings.upstreamIP(), u.Address())
	if err != nil {
		u.Close()
		return err
	}
	b := &backend{upstream: u, service: service, proxy: p, started: time.Now()}
	s.backendsMu.Lock()
	s.backends = append(s.backends, b)
	s.backendsMu.Unlock()
	if s.settings.FatalRequests {
		s.watchCrash(b)
	}
	s.publish(b, "ready")
	return nil
}

func (s *Soaker) publish(b *backend, state string) {
	s.store.Put(emulator.TopicServers, b.upstream.ID, b.upstream.EntryAt(b.proxy.address(), b.service, state))
}

func (s *Soaker) markEnded(b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.ended.IsZero() {
		b.ended = time.Now()
	}
}

// pickServing chooses a random upstream among those that get requests while the plain routes lead to the given service.
func (s *Soaker) pickServing(service string) *backend {
	var serving []*backend
	for _, b := range s.listBackends() {
		if !b.draining && (b.service == service || b.service == modelService) {
			serving = append(serving, b)
		}
	}
	return serving[s.random.IntN(len(serving))]
}
