// Package host runs a complete set of stand-ins for the platform's services in one process.
package host

import (
	"context"
	"net"
	"net/http"
	"sync"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/generator"
	"rosemaryspool.example/standin/provider"
	"rosemaryspool.example/standin/recorder"
	"rosemaryspool.example/standin/registrar"
	"rosemaryspool.example/standin/server"
	"rosemaryspool.example/standin/storekeeper"
)

// Host is a running set of stand-ins: the platform's log, instance list and weight store, the engines and the services.
// Their fault switches can be set through the exported fields.
type Host struct {
	LogURL   string
	ListURL  string
	StoreURL string
	Log      *recorder.Log
	List     *registrar.List
	Store    *storekeeper.Store
	Engines  map[identifier.UpstreamID]*RunningEngine
	Services map[identifier.UpstreamID]*RunningService

	address   string
	servers   []*server.Server
	closeOnce sync.Once
}

// RunningEngine is an engine that serves HTTP at a base URL.
type RunningEngine struct {
	URL string
	*generator.Engine
	server *server.Server
}

// Stop stops the engine's server, as if its process had ended: open connections break and new ones are refused.
func (r *RunningEngine) Stop() { r.server.Close() }

// RunningService is an upstream of a plain service that serves HTTP at a base URL.
type RunningService struct {
	URL string
	*provider.Service
	server *server.Server
}

// Stop stops the service's server, as if its process had ended: open connections break and new ones are refused.
func (r *RunningService) Stop() { r.server.Close() }

// Start starts every stand-in and adds the engines and services to the instance list. Close or the end of ctx stops
// them.
func Start(ctx context.Context, settings Settings) (*Host, error) {
	h := &Host{
		Log:      recorder.NewLog(settings.Log),
		List:     registrar.NewList(settings.List),
		Store:    storekeeper.NewStore(settings.Store),
		Engines:  map[identifier.UpstreamID]*RunningEngine{},
		Services: map[identifier.UpstreamID]*RunningService{},
		address:  settings.Address,
	}
	if h.address == "" {
		h.address = "127.0.0.1"
	}
	if err := h.start(settings); err != nil {
		h.Close()
		return nil, err
	}
	context.AfterFunc(ctx, h.Close)
	return h, nil
}

// Close stops every stand-in. Further calls have no effect.
func (h *Host) Close() {
	h.closeOnce.Do(func() {
		for _, s := range h.servers {
			s.Close()
		}
		for _, e := range h.Engines {
			e.Close()
		}
	})
}

// start starts the platform's services, the engines and the plain services.
func (h *Host) start(settings Settings) error {
	if err := h.startPlatform(); err != nil {
		return err
	}
	for _, e := range settings.Engines {
		if e.Speed == 0 {
			e.Speed = settings.Speed
		}
		if err := h.startEngine(e); err != nil {
			return err
		}
	}
	for _, s := range settings.Services {
		if err := h.startService(s); err != nil {
			return err
		}
	}
	return nil
}

// startPlatform serves the log, the instance list and the weight store.
func (h *Host) startPlatform() error {
	parts := []struct {
		url     *string
		handler http.Handler
	}{
		{&h.LogURL, h.Log.Handler()},
		{&h.ListURL, h.List.Handler()},
		{&h.StoreURL, h.Store.Handler()},
	}
	for _, p := range parts {
		s, err := h.listen(server.Settings{Handler: p.handler})
		if err != nil {
			return err
		}
		*p.url = s.URL()
	}
	return nil
}

// startEngine serves an engine and adds it to the instance list.
func (h *Host) startEngine(settings Engine) error {
	engine := generator.NewEngine(settings.Settings)
	running := &RunningEngine{Engine: engine}
	h.Engines[settings.ID] = running
	s, err := h.listen(server.Settings{Handler: engine.Handler()})
	if err != nil {
		return err
	}
	running.URL, running.server = s.URL(), s
	h.List.Set(lister.Member{
		ID: string(settings.ID), Kind: lister.KindEngine, Address: s.URL(), DataCentre: settings.DataCentre,
	})
	return nil
}

// startService serves an upstream of a plain service and adds it to the instance list.
func (h *Host) startService(settings Service) error {
	service := provider.NewService(settings.Settings)
	s, err := h.listen(server.Settings{Handler: service.Handler(), ConnContext: provider.CountRequests})
	if err != nil {
		return err
	}
	h.Services[settings.ID] = &RunningService{URL: s.URL(), Service: service, server: s}
	h.List.Set(lister.Member{
		ID: string(settings.ID), Kind: lister.KindService, Address: s.URL(), DataCentre: settings.DataCentre,
	})
	return nil
}

// listen starts a server on a free port; Close stops it.
func (h *Host) listen(settings server.Settings) (*server.Server, error) {
	settings.Address = net.JoinHostPort(h.address, "0")
	s, err := server.Start(settings)
	if err != nil {
		return nil, err
	}
	h.servers = append(h.servers, s)
	return s, nil
}
