// Package identifier defines the id types and units that all packages share.
package identifier

import "time"

// InstanceID identifies one process of the system.
type InstanceID string

// DataCentre identifies a zone in which instances and upstreams run.
type DataCentre string

// CallerID identifies a customer that sends requests.
type CallerID string

// DefaultCaller is the configured caller whose limits apply to callers without an entry.
const DefaultCaller CallerID = "default"

// UpstreamID identifies a back end: a model engine or one server of a plain service.
type UpstreamID string

// ServiceName identifies a service, a group of interchangeable upstreams: plain servers or model engines.
type ServiceName string

// ModelName identifies a language model.
type ModelName string

// ModelVersion identifies one version of a model's weights.
type ModelVersion string

// SoftwareVersion identifies the version of an upstream's own software.
type SoftwareVersion string

// UnknownVersion is the version of an upstream whose process may be another one than the listed one. No name is equal to it:
// names contain no control characters.
const UnknownVersion SoftwareVersion = "\x00"

// String returns the version as written in logs.
func (v SoftwareVersion) String() string {
	if v == UnknownVersion {
		return "unknown"
	}
	return string(v)
}

// ClassName identifies a work class of the configuration.
type ClassName string

// RequestID identifies one request of a caller.
type RequestID string

// AttemptID identifies one dispatch of a request to an upstream; a request may have several.
type AttemptID string

// OrderID identifies one order to an engine, such as a role change.
type OrderID string

// RecordID identifies one record of the log.
type RecordID string

// OperatorID identifies the person or program that changes the configuration.
type OperatorID string

// Environment identifies a configuration document, such as trial or production.
type Environment string

// IdempotencyKey identifies non-idempotent work of one caller, so that it runs at most once.
type IdempotencyKey string

// Scope identifies what a lease covers: the fleet of one model in one data centre.
type Scope string

// Offset is a position in a log stream; the first record has offset 1.
type Offset uint64

// Era counts how often the platform's store has returned from an older copy. Offsets of different eras are unrelated.
type Era uint64

// Token is a fencing token: the offset of the granted lease claim.
type Token uint64

// Revision identifies a version of a configuration; it is the log offset of the accepted change that produced it.
type Revision uint64

// Tokens is a number of language-model tokens.
type Tokens int

// Bytes is an amount of memory.
type Bytes int64

// BytesPerKiB and BytesPerMB convert other units to Bytes.
const (
	BytesPerKiB Bytes = 1 << 10
	BytesPerMB  Bytes = 1_000_000
)

// Priority orders work classes; a higher number is more urgent.
type Priority int

// PrefixHash identifies a prompt prefix that ends at a block boundary.
type PrefixHash uint64

// BlockTokens is the length of a block, the unit in which engines cache prompt prefixes.
const BlockTokens Tokens = 2048

// Role defines which phases of generation an engine runs: prefill, decode or both.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Milliseconds converts a duration to whole milliseconds, the unit of the wire formats. Negative durations become zero.
func Milliseconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(d / time.Millisecond)
}
