package configurer

import (
	"fmt"

	"rosemaryspool.example/wire/messenger"
)

// Configuration is a valid document with its sections and digest. It is immutable; Apply returns a new one that shares
// unchanged data. The zero value holds no document.
type Configuration struct {
	// compile replaces the rules of the format version; nil selects them.
	compile  func(Sections) (*Document, error)
	document *Document
	buckets  bucketSet
	digest   string
}

// NewEmpty returns a configuration without a document. Each change compiles the complete document with the given
// function; nil selects the rules of the format version, which compile only the change.
func NewEmpty(compile func(Sections) (*Document, error)) *Configuration {
	return &Configuration{compile: compile}
}

// NewConfiguration returns the configuration of a complete document after checking it.
func NewConfiguration(sections Sections) (*Configuration, error) {
	return (&Configuration{}).Apply(sections, nil)
}

// Document returns the document; nil if nothing is configured.
func (c *Configuration) Document() *Document {
	return c.document
}

// Digest returns the digest of the sections; empty if nothing is configured.
func (c *Configuration) Digest() string {
	return c.digest
}

// Section returns the content of one section.
func (c *Configuration) Section(name string) ([]byte, bool) {
	b := c.buckets[bucketOf(name)]
	if b == nil {
		return nil, false
	}
	found, ok := find(b.sections, name, func(s section) string { return s.name })
	return found.content, ok
}

// Sections returns all sections; an empty map if nothing is configured.
func (c *Configuration) Sections() Sections {
	sections := Sections{}
	for _, b := range c.buckets {
		if b == nil {
			continue
		}
		for _, s := range b.sections {
			sections[s.name] = s.content
		}
	}
	return sections
}

// Apply returns the configuration after a change, at a cost that depends on the size of the change and not of the
// document. It returns a *FaultList if the result is not valid or a removed section does not exist.
func (c *Configuration) Apply(changed Sections, removed []string) (*Configuration, error) {
	if faults := c.checkRemoved(changed, removed); len(faults) > 0 {
		return nil, &FaultList{Name: "sections", Faults: faults}
	}
	document, err := c.compileChange(changed, removed)
	if err != nil {
		return nil, err
	}
	if c.document != nil && document.Environment != c.document.Environment {
		message := fmt.Sprintf("a document of environment %q can not replace one of %q", document.Environment, c.document.Environment)
		return nil, &FaultList{Name: "sections", Faults: []Fault{{Code: WrongEnvironment, Path: sectionEnvironment, Message: message}}}
	}
	next := &Configuration{compile: c.compile, document: document, buckets: c.buckets}
	next.buckets.apply(changed, removed)
	next.digest = next.buckets.digest()
	return next, nil
}

// checkRemoved checks that each removed section exists, is listed once and is not changed as well.
func (c *Configuration) checkRemoved(changed Sections, removed []string) []Fault {
	var faults []Fault
	seen := map[string]bool{}
	for _, name := range removed {
		_, exists := c.Section(name)
		_, alsoChanged := changed[name]
		switch {
		case !exists:
			faults = append(faults, sectionFault(name, "the removed section does not exist"))
		case alsoChanged || seen[name]:
			faults = append(faults, sectionFault(name, "the section is changed and removed, or removed twice"))
		}
		seen[name] = true
	}
	return faults
}

func (c *Configuration) compileChange(changed Sections, removed []string) (*Document, error) {
	if c.compile != nil {
		return c.compile(c.Sections().Apply(changed, removed))
	}
	if c.document == nil {
		return compileChange(&Document{}, changed, removed)
	}
	return compileChange(c.document, changed, removed)
}

// ApplyChange returns the configuration after a change record, whose digest must match the result.
// It does not check the base revision.
func (c *Configuration) ApplyChange(change *messenger.ConfigChange) (*Configuration, error) {
	changed := make(Sections, len(change.GetChanged()))
	for _, s := range change.GetChanged() {
		if _, ok := changed[s.GetName()]; ok {
			return nil, &FaultList{Name: "change", Faults: []Fault{sectionFault(s.GetName(), "the section stands twice")}}
		}
		changed[s.GetName()] = s.GetContent()
	}
	next, err := c.Apply(changed, change.GetRemoved())
	if err != nil {
		return nil, err
	}
	if next.digest != change.GetDigest() {
		message := fmt.Sprintf("the change names digest %q but makes %q", change.GetDigest(), next.digest)
		return nil, &FaultList{Name: "change", Faults: []Fault{{Code: WrongDigest, Message: message}}}
	}
	return next, nil
}
