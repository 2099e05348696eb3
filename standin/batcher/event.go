package batcher

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Event is a state change of the simulated engine, as returned by Engine.Advance.
type Event interface {
	event()
	// When returns the time of the event.
	When() time.Time
}

// TokensProduced reports the progress of an attempt; Output counts the tokens produced since it was submitted.
type TokensProduced struct {
	At      time.Time
	Attempt identifier.AttemptID
	Output  identifier.Tokens
}

// PrefillExported reports that an attempt ended after prefill and its first token, and that its KV cache can
// be imported.
type PrefillExported struct {
	At           time.Time
	Attempt      identifier.AttemptID
	Output       identifier.Tokens
	CachedPrompt identifier.Tokens
}

// Finished reports that the response of an attempt is complete.
type Finished struct {
	At      time.Time
	Attempt identifier.AttemptID
	// Output counts the tokens produced since the attempt was submitted.
	Output       identifier.Tokens
	CachedPrompt identifier.Tokens
}

// Cause is the reason why an engine dropped a sequence.
type Cause int

// Causes of a Dropped event.
const (
	// CauseCrash means that the engine crashed.
	CauseCrash Cause = iota + 1
	// CauseRoleChange means that the engine still held the sequence, queued or running, when the grace period of a role
	// change ended.
	CauseRoleChange
)

// Dropped reports that the engine ended an attempt without an end mark.
type Dropped struct {
	At      time.Time
	Attempt identifier.AttemptID
	Output  identifier.Tokens
	Cause   Cause
}

// RoleChanged reports that the engine serves again, in its new role.
type RoleChanged struct {
	At   time.Time
	Role identifier.Role
}

// CacheEvent lists the blocks that the prefix cache stored and evicted in one step, or reports that it was cleared.
// Sequence numbers are consecutive, so that a reader notices a lost event.
type CacheEvent struct {
	Sequence uint64
	Stored   []identifier.PrefixHash
	Evicted  []identifier.PrefixHash
	Cleared  bool
}

func (TokensProduced) event()  {}
func (PrefillExported) event() {}
func (Finished) event()        {}
func (Dropped) event()         {}
func (RoleChanged) event()     {}

// When returns the time of the event.
func (e TokensProduced) When() time.Time { return e.At }

// When returns the time of the event.
func (e PrefillExported) When() time.Time { return e.At }

// When returns the time of the event.
func (e Finished) When() time.Time { return e.At }

// When returns the time of the event.
func (e Dropped) When() time.Time { return e.At }

// When returns the time of the event.
func (e RoleChanged) When() time.Time { return e.At }
