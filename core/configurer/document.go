// Package configurer reads, checks, compares and applies configuration documents.
package configurer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// FormatVersion is the newest supported version of the validation rules. A newer binary keeps the old rules for
// documents of an old version.
const FormatVersion = 1

// DefaultCaller is the id of the entry whose limits apply to every caller without an entry of its own.
const DefaultCaller identifier.CallerID = "default"

// Defaults of optional keys.
const (
	// DefaultMinimumDwell keeps an engine in a role for longer than several role changes take.
	DefaultMinimumDwell = time.Minute
	// DefaultKeyWindow is the time within which callers repeat non-idempotent requests of unknown outcome.
	DefaultKeyWindow = time.Hour
	// DefaultMaxOutput bounds the output of a class without maxOutput.
	DefaultMaxOutput identifier.Tokens = 1024
)

// Document is the complete configuration of one environment. Parse and Compile return it with each list sorted by name.
type Document struct {
	FormatVersion int                    `yaml:"formatVersion" rule:"required"`
	Environment   identifier.Environment `yaml:"environment" rule:"required"`
	Models        []Model                `yaml:"models"`
	Engines       []Engine               `yaml:"engines"`
	Services      []Service              `yaml:"services"`
	Classes       []Class                `yaml:"classes" rule:"required"`
	Callers       []Caller               `yaml:"callers"`
	Placement     Placement              `yaml:"placement"`
	Keys          Keys                   `yaml:"keys"`
}

// Model is a model with the version and the adapters that its engines should run.
type Model struct {
	Name     identifier.ModelName    `yaml:"name" json:"name" rule:"required"`
	Version  identifier.ModelVersion `yaml:"version" json:"version" rule:"required"`
	Adapters []string                `yaml:"adapters" json:"adapters,omitempty"`
}

// Engine is a model engine that is expected to run.
type Engine struct {
	ID         identifier.UpstreamID `yaml:"id" json:"id" rule:"required"`
	DataCentre identifier.DataCentre `yaml:"dataCentre" json:"dataCentre" rule:"required"`
	Model      identifier.ModelName  `yaml:"model" json:"model" rule:"required"`
	// Role is the initial role; the placer may change it later unless Placement.FixedRoles is set.
	Role identifier.Role `yaml:"role" json:"role"`
	// ChecksTokens reports whether the engine refuses orders with an old fencing token.
	ChecksTokens bool `yaml:"checksTokens" json:"checksTokens"`
}

// Service is a plain service, not a model, with its upstreams.
type Service struct {
	Name      identifier.ServiceName  `yaml:"name" json:"name" rule:"required"`
	Upstreams []identifier.UpstreamID `yaml:"upstreams" json:"upstreams" rule:"required"`
	// NotRunStatuses lists the HTTP statuses that, by the service's contract, mean that the request was not executed.
	NotRunStatuses []int `yaml:"notRunStatuses" json:"notRunStatuses,omitempty"`
}

// Class is a class of requests with its priority and deadline. It names either a model or a service.
type Class struct {
	Name     identifier.ClassName   `yaml:"name" json:"name" rule:"required"`
	Model    identifier.ModelName   `yaml:"model" json:"model,omitempty"`
	Service  identifier.ServiceName `yaml:"service" json:"service,omitempty"`
	Priority identifier.Priority    `yaml:"priority" json:"priority" rule:"required"`
	Urgent   bool                   `yaml:"urgent" json:"urgent"`
	Deadline time.Duration          `yaml:"deadline" json:"deadline" rule:"required"`
	// Idempotent is false for requests that must be executed at most once.
	Idempotent bool `yaml:"idempotent" json:"idempotent" rule:"required"`
	// ExpectedOutput is the typical output length in tokens, MaxOutput its upper bound.
	ExpectedOutput identifier.Tokens `yaml:"expectedOutput" json:"expectedOutput,omitempty"`
	MaxOutput      identifier.Tokens `yaml:"maxOutput" json:"maxOutput,omitempty"`
}

// Caller is a customer with its rate limit.
type Caller struct {
	ID identifier.CallerID `yaml:"id" json:"id" rule:"required"`
	// RequestsPerSecond is the sustained rate; zero means unlimited.
	RequestsPerSecond float64 `yaml:"requestsPerSecond" json:"requestsPerSecond" rule:"required"`
	// Burst is the number of requests that may arrive at once; it defaults to the requests of one second.
	Burst int `yaml:"burst" json:"burst"`
}

// Placement limits the automatic role changes of the placer.
type Placement struct {
	// FixedRoles disables role changes.
	FixedRoles bool `yaml:"fixedRoles" json:"fixedRoles"`
	// MinimumDwell is the shortest time between two role changes of one engine.
	MinimumDwell time.Duration `yaml:"minimumDwell" json:"minimumDwell"`
}

// Keys configures how long idempotency keys are remembered.
type Keys struct {
	// Window is how long a key is remembered, counted from its issue time.
	Window time.Duration `yaml:"window" json:"window"`
}

// Model returns the model of a name.
func (d *Document) Model(name identifier.ModelName) (Model, bool) {
	return find(d.Models, string(name), modelName)
}

// Engine returns the engine of an id.
func (d *Document) Engine(id identifier.UpstreamID) (Engine, bool) {
	return find(d.Engines, string(id), engineName)
}

// Service returns the service of a name.
func (d *Document) Service(name identifier.ServiceName) (Service, bool) {
	return find(d.Services, string(name), serviceName)
}

// Class returns the work class of a name.
func (d *Document) Class(name identifier.ClassName) (Class, bool) {
	return find(d.Classes, string(name), className)
}

// Caller returns the limits of a caller: its own entry, or else the default entry with the caller's id.
// It returns false if neither exists; requests of such a caller are refused.
func (d *Document) Caller(id identifier.CallerID) (Caller, bool) {
	if caller, ok := find(d.Callers, string(id), callerName); ok {
		return caller, true
	}
	caller, ok := find(d.Callers, string(DefaultCaller), callerName)
	caller.ID = id
	return caller, ok
}

// find returns the entry of a name from a list that is sorted by name.
func find[T any](list []T, name string, nameOf func(T) string) (T, bool) {
	i, ok := slices.BinarySearchFunc(list, name, func(t T, n string) int { return cmp.Compare(nameOf(t), n) })
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}

// normalize fills in derived defaults and sorts every list, so that equivalent documents are deeply equal.
func (d *Document) normalize() {
	for i := range d.Models {
		d.Models[i].normalize()
	}
	for i := range d.Services {
		d.Services[i].normalize()
	}
	for i := range d.Classes {
		d.Classes[i].normalize()
	}
	for i := range d.Callers {
		d.Callers[i].normalize()
	}
	d.sort()
}

func (m *Model) normalize() {
	m.Adapters = sortedOrNil(m.Adapters)
}

func (s *Service) normalize() {
	s.Upstreams = sortedOrNil(s.Upstreams)
	s.NotRunStatuses = sortedOrNil(s.NotRunStatuses)
}

func (c *Class) normalize() {
	if c.Model != "" && c.MaxOutput == 0 {
		c.MaxOutput = max(DefaultMaxOutput, c.ExpectedOutput)
	}
}

func (c *Caller) normalize() {
	if c.Burst == 0 {
		c.Burst = int(math.Ceil(c.RequestsPerSecond))
	}
}

func (d *Document) sort() {
	sortByName(d.Models, modelName)
	sortByName(d.Engines, engineName)
	sortByName(d.Services, serviceName)
	sortByName(d.Classes, className)
	sortByName(d.Callers, callerName)
}

func sortByName[T any](list []T, nameOf func(T) string) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(nameOf(a), nameOf(b)) })
}

// sortedOrNil sorts a list in place; an empty list becomes nil, so that deep equality ignores the difference.
func sortedOrNil[T cmp.Ordered](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	return list
}

// setDefaults sets the defaults before the text is decoded into the document.
func (d *Document) setDefaults() {
	d.Placement.MinimumDwell = DefaultMinimumDwell
	d.Keys.Window = DefaultKeyWindow
}

// setDefaults sets the defaults before the text is decoded into the engine.
func (e *Engine) setDefaults() {
	e.Role = identifier.RoleMixed
}
