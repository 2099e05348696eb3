// Package steward holds the leases under which one instance at a time makes calls to the platform, and reports usage.
package steward

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
)

// Scopes of the duties' leases.
const (
	ScopeUsage identifier.Scope = "usage"
	ScopeScale identifier.Scope = "scale"
)

// Steward holds the duties' leases of one instance. It is safe for concurrent use.
type Steward struct{}

// Lease returns the fence of a duty's calls while this instance may make them. A call may be made only if it is certain
// to have been sent, and its time limit to be over, before until.
func (s *Steward) Lease(scope identifier.Scope) (fence platform.Fence, until time.Time, held bool) {
	return platform.Fence{}, time.Time{}, false
}

// Refused records that the platform refused a call for a higher token: no further call is made with this one.
func (s *Steward) Refused(scope identifier.Scope, token identifier.Token) {}
