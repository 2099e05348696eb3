package generator

import (
	"context"
	"net/http"
	"net/url"
	"sync"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/core/identifier"
)

// exportClients caches an HTTP client for each engine address that this engine imports from.
type exportClients struct {
	mutex   sync.Mutex
	clients map[string]*requester.Client
}

// client returns the client for an address and creates it on first use.
func (x *exportClients) client(address string) *requester.Client {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.clients == nil {
		x.clients = map[string]*requester.Client{}
	}
	client, ok := x.clients[address]
	if !ok {
		client = requester.NewClient(address)
		x.clients[address] = client
	}
	return client
}

// importKV imports an exported KV cache from another engine; the simulator accounts for the transfer time.
func (e *Engine) importKV(ctx context.Context, source completer.KVSource) error {
	if e.settings.TakeExport != nil {
		return e.settings.TakeExport(ctx, source)
	}
	path := "/v1/exports/" + url.PathEscape(string(source.Attempt))
	err := e.exportClients.client(source.Address).Call(ctx, http.MethodDelete, path, nil, nil)
	return eris.Wrap(err, "generator: import KV cache")
}

// ReleaseExport removes the exported KV cache of an attempt, which an importing engine takes over.
func (e *Engine) ReleaseExport(attempt identifier.AttemptID) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.simulator.TakeExport(e.now(), attempt)
}
