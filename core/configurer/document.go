// Package configurer reads, checks, compares and applies configuration documents.
package configurer

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// FormatVersion pins the rules by which a document is valid; a newer binary keeps the old rules for an old version.
const FormatVersion = 1

// Document is one environment's whole configuration. In YAML its keys are in camel case.
type Document struct {
	FormatVersion int                    `yaml:"formatVersion"`
	Environment   identifier.Environment `yaml:"environment"`
	Models        []Model                `yaml:"models"`
	Engines       []Engine               `yaml:"engines"`
	Services      []Service              `yaml:"services"`
	Classes       []Class                `yaml:"classes"`
	Callers       []Caller               `yaml:"callers"`
	Placement     Placement              `yaml:"placement"`
	Keys          Keys                   `yaml:"keys"`
}

// Model names a model with the version and adapters that should run.
type Model struct {
	Name     identifier.ModelName    `yaml:"name"`
	Version  identifier.ModelVersion `yaml:"version"`
	Adapters []string                `yaml:"adapters"`
}

// Engine is an expected model engine.
type Engine struct {
	ID         identifier.UpstreamID `yaml:"id"`
	DataCentre identifier.DataCentre `yaml:"dataCentre"`
	Model      identifier.ModelName  `yaml:"model"`
	// Role is the role at first installation; the placer may change it later unless placement is fixed.
	Role identifier.Role `yaml:"role"`
	// ChecksTokens is true when the engine refuses an order with an old fencing token.
	ChecksTokens bool `yaml:"checksTokens"`
}

// Service is a plain service with its upstreams.
type Service struct {
	Name      identifier.ServiceName  `yaml:"name"`
	Upstreams []identifier.UpstreamID `yaml:"upstreams"`
	// NotRunStatuses lists HTTP statuses that by the service's contract mean that the call was not run.
	NotRunStatuses []int `yaml:"notRunStatuses"`
}

// Class is one kind of work. It names either a model or a service.
type Class struct {
	Name     identifier.ClassName   `yaml:"name"`
	Model    identifier.ModelName   `yaml:"model"`
	Service  identifier.ServiceName `yaml:"service"`
	Priority identifier.Priority    `yaml:"priority"`
	Urgent   bool                   `yaml:"urgent"`
	Deadline time.Duration          `yaml:"deadline"`
	// Idempotent is false for work that must run at most once.
	Idempotent bool `yaml:"idempotent"`
	// ExpectedOutput is the usual answer length in tokens.
	ExpectedOutput identifier.Tokens `yaml:"expectedOutput"`
	MaxOutput      identifier.Tokens `yaml:"maxOutput"`
}

// Caller is a customer with its limits.
type Caller struct {
	ID identifier.CallerID `yaml:"id"`
	// RequestsPerSecond is the sustained rate; zero means no limit.
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
	Burst             int     `yaml:"burst"`
}

// Placement bounds what the placer may do by itself.
type Placement struct {
	// FixedRoles forbids role changes.
	FixedRoles bool `yaml:"fixedRoles"`
	// MinimumDwell is the shortest time between two role changes of one engine.
	MinimumDwell time.Duration `yaml:"minimumDwell"`
}

// Keys bounds the memory of non-idempotent work.
type Keys struct {
	// Window is how long a key is remembered from its issue time.
	Window time.Duration `yaml:"window"`
}
