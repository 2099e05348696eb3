// Package inspector asks engines for the size of their memory, once for each start of an engine and only where this
// instance arbitrates their service.
package inspector

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"rosemaryspool.example/adaptor/bounder"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/rosemaryspool/repeater"
)

const (
	// interval is the time between two looks for engines with unknown memory.
	interval = 500 * time.Millisecond
	// retryAfter is the time after which an engine that didn't answer is asked again.
	retryAfter = 5 * time.Second
	// callTimeout bounds one call; a report needs no slot.
	callTimeout = 300 * time.Millisecond
	// maxReportBytes bounds a report, which lists an engine's runs.
	maxReportBytes = 256 << 10
)

// Inspector asks engines for their memory.
type Inspector struct {
	governor  *governor.Governor
	connector *connector.Connector
	log       zerolog.Logger
	done      chan struct{}
	askedAt   map[identifier.UpstreamID]time.Time
}

// NewInspector returns an inspector that reports to g.
func NewInspector(g *governor.Governor, c *connector.Connector, log zerolog.Logger) *Inspector {
	return &Inspector{
		governor: g, connector: c, log: log, done: make(chan struct{}), askedAt: map[identifier.UpstreamID]time.Time{},
	}
}

// Done is closed when Run has returned.
func (i *Inspector) Done() <-chan struct{} { return i.done }

// Run asks until ctx ends.
func (i *Inspector) Run(ctx context.Context) {
	defer close(i.done)
	repeater.Every(ctx, interval, func() {
		for _, e := range i.governor.ArbitratedEngines(time.Now()) {
			i.inspect(ctx, e)
		}
	})
}

// inspect asks one engine unless it was asked recently.
func (i *Inspector) inspect(ctx context.Context, e tracker.Entry) {
	now := time.Now()
	if now.Sub(i.askedAt[e.Upstream]) < retryAfter {
		return
	}
	i.askedAt[e.Upstream] = now
	tokens, err := i.memory(ctx, e)
	if err != nil {
		i.log.Warn().Err(err).Str("event", "engineNotInspected").Str("upstream", string(e.Upstream)).
			Msg("Engine did not report its memory; a usual size is assumed")
		return
	}
	i.governor.SetMemory(e, tokens)
	i.log.Info().Str("event", "engineInspected").Str("upstream", string(e.Upstream)).Int("tokens", int(tokens)).
		Msg("Engine has reported its memory")
}

func (i *Inspector) memory(ctx context.Context, e tracker.Entry) (identifier.Tokens, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := i.connector.Exchange(ctx, connector.Request{
		Upstream: e, Method: http.MethodGet, URI: platform.ReportPath, Host: e.Address,
		Header: platform.EncodeReportHeaders(e.Upstream), Limit: i.governor.ConnectionLimit(e.Service),
	})
	if err != nil {
		return 0, err
	}
	body, err := bounder.ReadAll(response.Body, maxReportBytes)
	response.Close(false)
	if err != nil {
		return 0, eris.Wrap(err, "inspector: read report")
	}
	if response.Status != http.StatusOK {
		return 0, eris.Errorf("inspector: report has status %d", response.Status)
	}
	return platform.DecodeReport(body)
}
