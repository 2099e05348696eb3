// Package server is the daemon's HTTP API for callers. Its model endpoints have the request and response formats that
// clients of language models already use.
package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"rosemaryspool.example/core/classifier"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/dispatcher"
	"rosemaryspool.example/rosemaryspool/executor"
)

// HTTP headers. The class and the caller are required on every model request and service call, the idempotency key and
// its issue time on non-idempotent calls. HeaderRequest is set on responses.
const (
	HeaderClass    = "X-Rosemaryspool-Class"
	HeaderCaller   = "X-Rosemaryspool-Caller"
	HeaderKey      = "Idempotency-Key"
	HeaderIssuedAt = "X-Rosemaryspool-Key-Issued-At"
	HeaderRequest  = "X-Request-Id"
)

// Settings identifies the instance and limits request bodies.
type Settings struct {
	Instance identifier.InstanceID
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// BodyTimeout limits the time in which a body must arrive.
	BodyTimeout time.Duration
}

// Server handles requests from callers: it classifies them and passes model requests to the dispatcher and service
// calls to the executor.
type Server struct {
	settings      Settings
	dispatcher    *dispatcher.Dispatcher
	executor      *executor.Executor
	log           zerolog.Logger
	registry      metrics.Registry
	sequence      atomic.Uint64
	configuration atomic.Pointer[classifier.Classifier]
	shuttingDown  atomic.Bool
	// refusesNew is true once requests that arrive are refused.
	refusesNew atomic.Bool
	// stopped ends at the limit of a planned stop.
	stopped     context.Context
	endRequests context.CancelCauseFunc
	started     time.Time
}

// NewServer returns a server without configuration. It refuses all work until SetConfiguration is called.
func NewServer(
	settings Settings, models *dispatcher.Dispatcher, services *executor.Executor, log zerolog.Logger,
	registry metrics.Registry,
) *Server {
	stopped, endRequests := context.WithCancelCause(context.Background())
	return &Server{
		settings: settings, dispatcher: models, executor: services, log: log, registry: registry, started: time.Now(),
		stopped: stopped, endRequests: endRequests,
	}
}

// SetConfiguration replaces the configuration for all later requests.
func (s *Server) SetConfiguration(configuration *classifier.Classifier) {
	s.configuration.Store(configuration)
}

// Configuration returns the configuration in force, or nil if there is none yet.
func (s *Server) Configuration() *classifier.Classifier { return s.configuration.Load() }

// SetShuttingDown makes the readiness check fail, so that the balancer stops sending requests. From now on, each
// response to a request closes its connection.
func (s *Server) SetShuttingDown() { s.shuttingDown.Store(true) }

// ShuttingDown reports whether a planned stop has begun.
func (s *Server) ShuttingDown() bool { return s.shuttingDown.Load() }
