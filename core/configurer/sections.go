package configurer

import (
	"encoding/json"
	"fmt"
	"maps"

	"rosemaryspool.example/core/identifier"
)

// Names of the singleton sections, which occur once in a document.
const (
	sectionFormatVersion = "formatVersion"
	sectionEnvironment   = "environment"
	sectionPlacement     = "placement"
	sectionKeys          = "keys"
)

// singletonSections are the sections that every document must have.
var singletonSections = []string{sectionFormatVersion, sectionEnvironment, sectionPlacement, sectionKeys}

// Kinds of the sections that occur once per entry, as in "callers/workshop-042".
const (
	sectionModels   = "models"
	sectionEngines  = "engines"
	sectionServices = "services"
	sectionClasses  = "classes"
	sectionCallers  = "callers"
)

// Sections maps the names of a document's sections to their canonical JSON. Contents are shared between copies and must
// not be modified.
type Sections map[string][]byte

// Sections encodes the document as sections of canonical JSON. Equal documents have equal sections.
func (d *Document) Sections() (Sections, error) {
	s := make(Sections, 4+len(d.Models)+len(d.Engines)+len(d.Services)+len(d.Classes)+len(d.Callers))
	w := sectionWriter{sections: s}
	w.write(sectionFormatVersion, d.FormatVersion)
	w.write(sectionEnvironment, d.Environment)
	w.write(sectionPlacement, d.Placement)
	w.write(sectionKeys, d.Keys)
	for _, m := range d.Models {
		w.write(sectionModels+"/"+string(m.Name), m)
	}
	for _, e := range d.Engines {
		w.write(sectionEngines+"/"+string(e.ID), e)
	}
	for _, s := range d.Services {
		w.write(sectionServices+"/"+string(s.Name), s)
	}
	for _, c := range d.Classes {
		w.write(sectionClasses+"/"+string(c.Name), c)
	}
	for _, c := range d.Callers {
		w.write(sectionCallers+"/"+string(c.ID), c)
	}
	return s, w.err
}

// sectionWriter encodes sections and keeps the first error.
type sectionWriter struct {
	sections Sections
	err      error
}

func (w *sectionWriter) write(name string, value any) {
	content, err := json.Marshal(value)
	if err != nil && w.err == nil {
		w.err = fmt.Errorf("configurer: encode section %q: %w", name, err)
	}
	w.sections[name] = content
}

// Environment returns the environment of the document; empty if the section is missing or malformed.
func (s Sections) Environment() identifier.Environment {
	var environment identifier.Environment
	_ = json.Unmarshal(s[sectionEnvironment], &environment)
	return environment
}

// ForEnvironment returns a copy of the sections for another environment; only the environment's name differs.
func (s Sections) ForEnvironment(environment identifier.Environment) Sections {
	content, _ := json.Marshal(environment)
	return s.Apply(Sections{sectionEnvironment: content}, nil)
}

// Apply returns a copy with sections replaced or added and others removed, without checking the result.
func (s Sections) Apply(changed map[string][]byte, removed []string) Sections {
	result := make(Sections, len(s)+len(changed))
	maps.Copy(result, s)
	for _, name := range removed {
		delete(result, name)
	}
	maps.Copy(result, changed)
	return result
}
