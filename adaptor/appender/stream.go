package appender

import (
	"fmt"

	"rosemaryspool.example/core/identifier"
)

// ControlStream names the stream of an environment's configuration, leases, orders and planned changes.
func ControlStream(environment identifier.Environment) Stream {
	return Stream(environment) + ".control"
}

// ClaimStream names one of the streams of an environment's non-idempotent work.
func ClaimStream(environment identifier.Environment, shard int) Stream {
	return Stream(fmt.Sprintf("%s.claims.%d", environment, shard))
}
