// Package identifier names the ids and units that the whole system shares.
package identifier

import "time"

// InstanceID names one of the system's own processes.
type InstanceID string

// DataCentre names a zone of instances and upstreams.
type DataCentre string

// CallerID names a customer that sends requests.
type CallerID string

// DefaultCaller is the configured caller whose limits hold for callers without an entry of their own.
const DefaultCaller CallerID = "default"

// UpstreamID names a back end: a model engine or a plain service.
type UpstreamID string

// ServiceName names a plain service that one or more upstreams serve.
type ServiceName string

// ModelName names a language model.
type ModelName string

// ModelVersion names one version of a model.
type ModelVersion string

// ClassName names a work class of the configuration.
type ClassName string

// RequestID names one request of a caller.
type RequestID string

// AttemptID names one dispatch of a request to an upstream.
type AttemptID string

// OrderID names one order to an engine.
type OrderID string

// RecordID names one record of the log.
type RecordID string

// OperatorID names the person or program that changes the configuration.
type OperatorID string

// Environment names a configuration document, such as trial or production.
type Environment string

// IdempotencyKey names non-idempotent work of one caller.
type IdempotencyKey string

// Scope names what a lease covers: the fleet of one model in one data centre.
type Scope string

// Offset is a position in a log stream; the first record has offset 1.
type Offset uint64

// Token is a fencing token: the offset of the granted lease claim.
type Token uint64

// Revision counts the accepted changes of a configuration; it is the log offset of the accepted change.
type Revision uint64

// Tokens counts language-model tokens.
type Tokens int

// Priority orders work classes; a higher number is more urgent.
type Priority int

// PrefixHash identifies a prompt prefix that ends at a piece border.
type PrefixHash uint64

// PieceTokens is the length of one prefix piece; engines cache prompts in pieces of this size.
const PieceTokens Tokens = 2048

// Role tells which phases of generation an engine runs.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Milliseconds converts a duration to whole milliseconds, the unit of the wire formats.
func Milliseconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(d / time.Millisecond)
}
