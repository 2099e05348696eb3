package assembler

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings is the validated configuration of one daemon process.
type Settings struct {
	Instance    identifier.InstanceID
	DataCentre  identifier.DataCentre
	Environment identifier.Environment
	// Listen and PeerListen are IP:PORT. The system chooses a free port for port 0.
	Listen     string
	PeerListen string
	LogURL     string
	ListURL    string
	StoreURL   string
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int64
	// BodyTimeout bounds the time in which a request body must arrive.
	BodyTimeout time.Duration
	// ShutdownDelay is the time between turning readiness off and closing the callers' listener.
	ShutdownDelay time.Duration
	// ShutdownTimeout bounds the wait for requests in flight.
	ShutdownTimeout time.Duration
}
