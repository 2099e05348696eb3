package appender

import (
	"fmt"

	"rosemaryspool.example/core/identifier"
)

// ControlStream returns the name of the stream of an environment's configuration, leases, orders and planned changes.
func ControlStream(environment identifier.Environment) Stream {
	return Stream(environment) + ".control"
}

// ClaimStream returns the name of one shard of an environment's stream of claims on non-idempotent requests.
func ClaimStream(environment identifier.Environment, shard int) Stream {
	return Stream(fmt.Sprintf("%s.claims.%d", environment, shard))
}
