package configurer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/suggester"
)

// Bounds of format version 1. They never change; a different bound requires a new format version.
const (
	maxNameBytes         = 128
	maxModels            = 1000
	maxEngines           = 10_000
	maxServices          = 1000
	maxUpstreams         = 1000
	maxClasses           = 1000
	maxCallers           = 200_000
	maxAdapters          = 256
	maxPriority          = 100
	maxOutput            = 1_000_000
	minDeadline          = 10 * time.Millisecond
	maxDeadline          = time.Hour
	maxDwell             = 24 * time.Hour
	minKeyWindow         = time.Minute
	maxKeyWindow         = 24 * time.Hour
	maxRequestsPerSecond = 1_000_000
	minNotRunStatus      = 400
	maxNotRunStatus      = 599
)

const (
	// maxListedNames is how many defined names a fault lists if none is similar.
	maxListedNames = 20
	// maxSuggestions is how many unknown names of one document get a suggestion.
	maxSuggestions = 100
)

// check returns every semantic fault by the rules of the document's format version.
func check(document *Document) []Fault {
	switch document.FormatVersion {
	case 1:
		return checkVersion1(document)
	default:
		return []Fault{{
			Code: UnknownFormatVersion, Path: "formatVersion", location: atKey("formatVersion"),
			Message:    fmt.Sprintf("format version %d is not known to this program", document.FormatVersion),
			Suggestion: fmt.Sprintf("write %d, or use a newer program", FormatVersion),
		}}
	}
}

// checker collects the semantic faults of one document.
type checker struct {
	document *Document
	models   map[string]bool
	services map[string]bool
	faults   []Fault
	// suggested counts the names for which a similar name was searched.
	suggested int
}

func checkVersion1(document *Document) []Fault {
	c := &checker{document: document, models: map[string]bool{}, services: map[string]bool{}}
	c.checkName(atKey("environment"), string(document.Environment))
	c.checkModels()
	c.checkServices()
	c.checkEngines()
	c.checkUpstreamNames()
	c.checkClasses()
	c.checkCallers()
	c.checkDuration(atKey("placement", "minimumDwell"), document.Placement.MinimumDwell, 0, maxDwell)
	c.checkDuration(atKey("keys", "window"), document.Keys.Window, minKeyWindow, maxKeyWindow)
	return c.faults
}

func (c *checker) checkModels() {
	c.checkSize(atKey("models"), len(c.document.Models), maxModels)
	for i, m := range c.document.Models {
		c.checkUnique(atEntry("models", i, "name"), string(m.Name), c.models)
		c.checkName(atEntry("models", i, "version"), string(m.Version))
		c.checkSize(atEntry("models", i, "adapters"), len(m.Adapters), maxAdapters)
		adapters := map[string]bool{}
		for _, a := range m.Adapters {
			c.checkUnique(atEntry("models", i, "adapters"), a, adapters)
		}
	}
}

func (c *checker) checkServices() {
	c.checkSize(atKey("services"), len(c.document.Services), maxServices)
	for i, s := range c.document.Services {
		c.checkUnique(atEntry("services", i, "name"), string(s.Name), c.services)
		c.checkSize(atEntry("services", i, "upstreams"), len(s.Upstreams), maxUpstreams)
		if len(s.Upstreams) == 0 {
			c.add(atEntry("services", i, "upstreams"), NotServed, fmt.Sprintf("service %q has no upstream", s.Name), "")
		}
		statuses := map[string]bool{}
		for _, number := range s.NotRunStatuses {
			c.checkRange(atEntry("services", i, "notRunStatuses"), float64(number), minNotRunStatus, maxNotRunStatus)
			c.checkUnique(atEntry("services", i, "notRunStatuses"), fmt.Sprint(number), statuses)
		}
	}
}

func (c *checker) checkEngines() {
	c.checkSize(atKey("engines"), len(c.document.Engines), maxEngines)
	for i, e := range c.document.Engines {
		c.checkName(atEntry("engines", i, "dataCentre"), string(e.DataCentre))
		c.checkReference(atEntry("engines", i, "model"), "model", string(e.Model), c.models, "models")
		switch e.Role {
		case identifier.RoleMixed, identifier.RolePrefill, identifier.RoleDecode:
		default:
			roles := []string{string(identifier.RoleMixed), string(identifier.RolePrefill), string(identifier.RoleDecode)}
			c.add(atEntry("engines", i, "role"), UnknownReference, fmt.Sprintf("unknown role %q", e.Role),
				suggest(string(e.Role), roles))
		}
	}
}

// checkUpstreamNames checks that all engines and all upstreams of services have distinct ids.
func (c *checker) checkUpstreamNames() {
	seen := map[string]bool{}
	for i, e := range c.document.Engines {
		c.checkUnique(atEntry("engines", i, "id"), string(e.ID), seen)
	}
	for i, s := range c.document.Services {
		for _, u := range s.Upstreams {
			c.checkUnique(atEntry("services", i, "upstreams"), string(u), seen)
		}
	}
}

func (c *checker) checkClasses() {
	c.checkSize(atKey("classes"), len(c.document.Classes), maxClasses)
	if len(c.document.Classes) == 0 {
		c.add(atKey("classes"), MissingValue, "the document has no work class, so nothing would be served", "")
	}
	seen, served := map[string]bool{}, c.servedModels()
	for i, class := range c.document.Classes {
		c.checkUnique(atEntry("classes", i, "name"), string(class.Name), seen)
		c.checkRange(atEntry("classes", i, "priority"), float64(class.Priority), 0, maxPriority)
		c.checkDuration(atEntry("classes", i, "deadline"), class.Deadline, minDeadline, maxDeadline)
		switch {
		case class.Model != "" && class.Service != "":
			c.add(atEntry("classes", i, "service"), Contradiction,
				fmt.Sprintf("class %q names a model and a service", class.Name), "keep one of them")
		case class.Model == "" && class.Service == "":
			c.add(atEntry("classes", i, ""), MissingValue,
				fmt.Sprintf("class %q names neither a model nor a service", class.Name), "")
		case class.Model != "":
			c.checkModelClass(i, class, served)
		default:
			c.checkServiceClass(i, class)
		}
	}
}

func (c *checker) checkModelClass(i int, class Class, served map[identifier.ModelName]bool) {
	where := atEntry("classes", i, "model")
	known := c.checkReference(where, "model", string(class.Model), c.models, "models")
	if known && !served[class.Model] {
		c.addReferring(where, NotServed, "engines", fmt.Sprintf("no engine serves model %q", class.Model),
			"give it a mixed engine, or a prefill and a decode engine")
	}
	if !class.Idempotent {
		c.add(atEntry("classes", i, "idempotent"), Contradiction,
			fmt.Sprintf("class %q is not idempotent but names a model", class.Name),
			"a class that is not idempotent names a service")
	}
	c.checkRange(atEntry("classes", i, "expectedOutput"), float64(class.ExpectedOutput), 0, maxOutput)
	c.checkRange(atEntry("classes", i, "maxOutput"), float64(class.MaxOutput), 0, maxOutput)
	if class.MaxOutput > 0 && class.ExpectedOutput > class.MaxOutput {
		c.add(atEntry("classes", i, "expectedOutput"), Contradiction,
			fmt.Sprintf("expectedOutput %d is over maxOutput %d", class.ExpectedOutput, class.MaxOutput), "")
	}
}

func (c *checker) checkServiceClass(i int, class Class) {
	c.checkReference(atEntry("classes", i, "service"), "service", string(class.Service), c.services, "services")
	if class.ExpectedOutput != 0 || class.MaxOutput != 0 {
		c.add(atEntry("classes", i, ""), Contradiction, fmt.Sprintf("class %q of a service bounds output tokens", class.Name),
			"leave out expectedOutput and maxOutput")
	}
}

// servedModels returns the models that have engines for both prefill and decode; a mixed engine does both.
func (c *checker) servedModels() map[identifier.ModelName]bool {
	prefill, decode := map[identifier.ModelName]bool{}, map[identifier.ModelName]bool{}
	for _, e := range c.document.Engines {
		prefill[e.Model] = prefill[e.Model] || e.Role != identifier.RoleDecode
		decode[e.Model] = decode[e.Model] || e.Role != identifier.RolePrefill
	}
	served := map[identifier.ModelName]bool{}
	for model := range prefill {
		served[model] = prefill[model] && decode[model]
	}
	return served
}

// checkCallersOnly checks a document that differs from a valid one only in the changed callers.
func checkCallersOnly(document *Document, changed []Caller) []Fault {
	c := &checker{document: &Document{Callers: changed}}
	c.checkSize(atKey("callers"), len(document.Callers), maxCallers)
	c.checkCallers()
	return c.faults
}

func (c *checker) checkCallers() {
	c.checkSize(atKey("callers"), len(c.document.Callers), maxCallers)
	seen := make(map[string]bool, len(c.document.Callers))
	for i, caller := range c.document.Callers {
		c.checkUnique(atEntry("callers", i, "id"), string(caller.ID), seen)
		c.checkCaller(i, caller)
	}
}

func (c *checker) checkCaller(i int, caller Caller) {
	c.checkRange(atEntry("callers", i, "requestsPerSecond"), caller.RequestsPerSecond, 0, maxRequestsPerSecond)
	c.checkRange(atEntry("callers", i, "burst"), float64(caller.Burst), 0, maxRequestsPerSecond)
}

func (c *checker) checkUnique(where location, name string, seen map[string]bool) {
	c.checkName(where, name)
	if seen[name] {
		c.add(where, DuplicateName, fmt.Sprintf("%q stands twice", name), "keep one of them or rename one")
	}
	seen[name] = true
}

func (c *checker) checkName(where location, name string) {
	switch {
	case name == "":
		c.add(where, BadName, "a name is empty", "")
	case len(name) > maxNameBytes:
		c.add(where, BadName, fmt.Sprintf("a name has %d bytes, more than %d", len(name), maxNameBytes), "")
	case strings.IndexFunc(name, isForbidden) >= 0:
		c.add(where, BadName, fmt.Sprintf("name %q has a letter that names may not have", name), "use letters, digits, and - _ . : @ +")
	}
}

// isForbidden reports whether a character is not allowed in a name. The slash separates a section's kind from its name.
func isForbidden(char rune) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return false
	default:
		return !strings.ContainsRune("-_.:@+", char)
	}
}

// checkReference reports whether a name is defined in the document and adds a fault if it is not.
func (c *checker) checkReference(where location, kind, name string, known map[string]bool, list string) bool {
	if known[name] {
		return true
	}
	c.addReferring(where, UnknownReference, list, fmt.Sprintf("unknown %s %q", kind, name), c.suggestName(name, known))
	return false
}

// suggestName suggests a similar name for the first maxSuggestions unknown names only, so that a malicious document
// cannot consume unbounded CPU time.
func (c *checker) suggestName(name string, known map[string]bool) string {
	if c.suggested >= maxSuggestions || len(name) > maxNameBytes {
		return ""
	}
	c.suggested++
	names := make([]string, 0, len(known))
	for n := range known {
		if len(n) <= maxNameBytes {
			names = append(names, n)
		}
	}
	return suggest(name, names)
}

func (c *checker) checkSize(where location, size, limit int) {
	if size > limit {
		c.add(where, TooLarge, fmt.Sprintf("%d entries, more than %d", size, limit), "")
	}
}

func (c *checker) checkRange(where location, number, low, high float64) {
	if number >= low && number <= high && !math.IsNaN(number) {
		return
	}
	c.add(where, OutOfRange, fmt.Sprintf("%g is out of range", number), fmt.Sprintf("write a number from %.0f to %.0f", low, high))
}

func (c *checker) checkDuration(where location, duration, low, high time.Duration) {
	if duration >= low && duration <= high {
		return
	}
	c.add(where, OutOfRange, duration.String()+" is out of range", "write a duration from "+low.String()+" to "+high.String())
}

func (c *checker) add(where location, code refuser.Code, message, suggestion string) {
	c.addReferring(where, code, "", message, suggestion)
}

func (c *checker) addReferring(where location, code refuser.Code, refersTo, message, suggestion string) {
	c.faults = append(c.faults, Fault{
		Code: code, Path: where.String(), Message: message, Suggestion: suggestion, location: where, refersTo: refersTo,
	})
}

func atEntry(list string, index int, field string) location {
	return location{list: list, index: index, field: field}
}

// atKey returns the location of a top-level key, or of a key of the mapping under it.
func atKey(names ...string) location {
	where := location{list: names[0], index: noIndex}
	if len(names) > 1 {
		where.field = names[1]
	}
	return where
}

func suggest(name string, known []string) string {
	if nearest := suggester.FindNearest(name, known); nearest != "" {
		return fmt.Sprintf("did you mean %q?", nearest)
	}
	if len(known) == 0 {
		return "none is defined"
	}
	if len(known) > maxListedNames {
		return ""
	}
	return "known: " + strings.Join(slices.Sorted(slices.Values(known)), ", ")
}
