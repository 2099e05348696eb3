package assembler

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings is the checked configuration of one daemon process.
type Settings struct {
	Instance    identifier.InstanceID
	DataCentre  identifier.DataCentre
	Environment identifier.Environment
	// Listen and PeerListen are IP:PORT; port 0 lets the system choose.
	Listen     string
	PeerListen string
	LogURL     string
	ListURL    string
	StoreURL   string
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// BodyTimeout bounds the arrival of a request body.
	BodyTimeout time.Duration
	// ShutdownDelay passes between readiness off and the end of accepting.
	ShutdownDelay time.Duration
	// ShutdownTimeout bounds the wait for running work.
	ShutdownTimeout time.Duration
}
