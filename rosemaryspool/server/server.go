// Package server is the callers' side of the daemon: HTTP in the form that clients of language models already use.
package server

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"rosemaryspool.example/core/classifier"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/dispatcher"
	"rosemaryspool.example/rosemaryspool/executor"
)

// Request headers. The class and the caller are required on all work; the key and its issue time on non-idempotent work.
const (
	HeaderClass    = "X-Rosemaryspool-Class"
	HeaderCaller   = "X-Rosemaryspool-Caller"
	HeaderKey      = "Idempotency-Key"
	HeaderIssuedAt = "X-Rosemaryspool-Key-Issued-At"
	HeaderRequest  = "X-Request-Id"
)

// Settings bounds what callers may send.
type Settings struct {
	Instance identifier.InstanceID
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// BodyTimeout bounds the time in which a body must arrive.
	BodyTimeout time.Duration
}

// Server answers callers.
type Server struct {
	settings   Settings
	dispatcher *dispatcher.Dispatcher
	executor   *executor.Executor
	log        zerolog.Logger
	registry   metrics.Registry
	sequence   atomic.Uint64
	configuration    atomic.Pointer[classifier.Classifier]
	shuttingDown    atomic.Bool
	started    time.Time
}

// NewServer returns a server without configuration: it refuses work until SetConfiguration is called.
func NewServer(
	settings Settings, work *dispatcher.Dispatcher, services *executor.Executor, log zerolog.Logger, registry metrics.Registry,
) *Server {
	return &Server{
		settings: settings, dispatcher: work, executor: services, log: log, registry: registry, started: time.Now(),
	}
}

// SetConfiguration puts a configuration in force for all later requests.
func (s *Server) SetConfiguration(configuration *classifier.Classifier) {
	s.configuration.Store(configuration)
}

// Configuration returns the configuration in force; nil when there is none yet.
func (s *Server) Configuration() *classifier.Classifier { return s.configuration.Load() }

// SetLeaving turns readiness off ahead of a planned stop.
func (s *Server) SetShuttingDown() { s.shuttingDown.Store(true) }

// Leaving tells whether the instance is in a planned stop.
func (s *Server) ShuttingDown() bool { return s.shuttingDown.Load() }
