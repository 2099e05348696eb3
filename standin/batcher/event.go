package batcher

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Event is something that the engine tells its driver.
type Event interface {
	event()
	// When returns the time of the event.
	When() time.Time
}

// TokensProduced tells how many tokens an attempt has produced since it was submitted.
type TokensProduced struct {
	At      time.Time
	Attempt identifier.AttemptID
	Output  identifier.Tokens
}

// PrefillExported tells that the prefill ended with the first token and that the KV cache waits for its import.
type PrefillExported struct {
	At           time.Time
	Attempt      identifier.AttemptID
	Output       identifier.Tokens
	CachedPrompt identifier.Tokens
}

// Finished tells that the answer is whole.
type Finished struct {
	At      time.Time
	Attempt identifier.AttemptID
	// Output counts the tokens produced since the attempt was submitted.
	Output       identifier.Tokens
	CachedPrompt identifier.Tokens
}

// Cause tells why an engine dropped a sequence.
type Cause int

// Causes of a drop.
const (
	// CauseCrash means that the engine's process died.
	CauseCrash Cause = iota + 1
	// CauseRoleChange means that a role change began while the sequence ran.
	CauseRoleChange
)

// Dropped tells that the engine ended an attempt without its end mark.
type Dropped struct {
	At      time.Time
	Attempt identifier.AttemptID
	Output  identifier.Tokens
	Cause   Cause
}

// RoleChanged tells that the engine serves again in its new role.
type RoleChanged struct {
	At   time.Time
	Role identifier.Role
}

// CacheEvent tells what the prefix cache stored and evicted in one step.
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
