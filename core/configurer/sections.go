package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Names of the sections that stand once in a document.
const (
	sectionFormatVersion = "formatVersion"
	sectionEnvironment   = "environment"
	sectionPlacement     = "placement"
	sectionKeys          = "keys"
)

// Kinds of the sections that stand once for each name, as in "callers/workshop-042".
const (
	sectionModels   = "models"
	sectionEngines  = "engines"
	sectionServices = "services"
	sectionClasses  = "classes"
	sectionCallers  = "callers"
)

// Sections holds a document's canonical sections by name. Contents are shared between copies and never written to.
type Sections map[string][]byte

// Sections cuts the document into canonical JSON. Equal documents have equal sections.
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

type sectionWriter struct {
	sections Sections
	err      error
}

func (w *sectionWriter) write(name string, part any) {
	content, err := json.Marshal(part)
	if err != nil && w.err == nil {
		w.err = fmt.Errorf("configurer: write section %q: %w", name, err)
	}
	w.sections[name] = content
}

// Environment returns the environment that the sections are for.
func (s Sections) Environment() identifier.Environment {
	var environment identifier.Environment
	_ = json.Unmarshal(s[sectionEnvironment], &environment)
	return environment
}

// In returns a copy of the sections for another environment; nothing but the environment's name differs.
func (s Sections) In(environment identifier.Environment) Sections {
	content, _ := json.Marshal(environment)
	return s.Apply(Sections{sectionEnvironment: content}, nil)
}

// Apply returns a copy with some sections replaced or added and some removed.
func (s Sections) Apply(changed map[string][]byte, removed []string) Sections {
	result := make(Sections, len(s)+len(changed))
	maps.Copy(result, s)
	for _, name := range removed {
		delete(result, name)
	}
	maps.Copy(result, changed)
	return result
}

// Compile is the inverse of Sections. It checks the document by the rules that its format version pins, so that every
// binary that knows the version reaches the same verdict. It reports every fault at once, as a *FaultList.
func Compile(sections Sections) (*Document, error) {
	document := &Document{}
	var faults []Fault
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		if err := document.readSection(name, sections[name]); err != nil {
			faults = append(faults, sectionFault(name, err.Error()))
		}
	}
	for _, name := range []string{sectionFormatVersion, sectionEnvironment, sectionPlacement, sectionKeys} {
		if _, ok := sections[name]; !ok {
			faults = append(faults, sectionFault(name, "the section is missing"))
		}
	}
	if len(faults) == 0 {
		faults = check(document)
	}
	if len(faults) > 0 {
		return nil, &FaultList{Name: "sections", Faults: faults}
	}
	document.sort()
	return document, nil
}

func sectionFault(name, message string) Fault {
	return Fault{Code: BadSection, Path: name, Message: message}
}

// readSection reads one section and refuses contents that are not canonical, so that one document has one digest.
func (d *Document) readSection(name string, content []byte) error {
	kind, key, _ := strings.Cut(name, "/")
	switch kind {
	case sectionFormatVersion:
		return readCanonical(content, &d.FormatVersion, key, "")
	case sectionEnvironment:
		return readCanonical(content, &d.Environment, key, "")
	case sectionPlacement:
		return readCanonical(content, &d.Placement, key, "")
	case sectionKeys:
		return readCanonical(content, &d.Keys, key, "")
	case sectionModels:
		return readEntry(content, &d.Models, key, func(m Model) string { return string(m.Name) })
	case sectionEngines:
		return readEntry(content, &d.Engines, key, func(e Engine) string { return string(e.ID) })
	case sectionServices:
		return readEntry(content, &d.Services, key, func(s Service) string { return string(s.Name) })
	case sectionClasses:
		return readEntry(content, &d.Classes, key, func(c Class) string { return string(c.Name) })
	case sectionCallers:
		return readEntry(content, &d.Callers, key, func(c Caller) string { return string(c.ID) })
	default:
		return fmt.Errorf("unknown section")
	}
}

// normalizer is a part of a document with derived defaults or lists whose order means nothing.
type normalizer interface{ normalize() }

func readEntry[T any](content []byte, list *[]T, key string, nameOf func(T) string) error {
	var part T
	if err := readCanonical(content, &part, key, key); err != nil {
		return err
	}
	if nameOf(part) != key {
		return fmt.Errorf("the content is about %q", nameOf(part))
	}
	*list = append(*list, part)
	return nil
}

func readCanonical(content []byte, part any, key, wanted string) error {
	if key != wanted {
		return fmt.Errorf("unknown section")
	}
	if err := json.Unmarshal(content, part); err != nil {
		return err
	}
	if n, ok := part.(normalizer); ok {
		n.normalize()
	}
	again, err := json.Marshal(part)
	if err != nil {
		return err
	}
	if !bytes.Equal(content, again) {
		return fmt.Errorf("the content is not canonical")
	}
	return nil
}

// span is a duration that is written with its unit in JSON.
type span time.Duration

// MarshalText writes the duration with its unit.
func (s span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText reads a duration with its unit.
func (s *span) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	*s = span(duration)
	return err
}

type plainClass Class

type classContent struct {
	plainClass
	Deadline span `json:"deadline"`
}

// MarshalJSON writes the class with its deadline's unit.
func (c Class) MarshalJSON() ([]byte, error) {
	return json.Marshal(classContent{plainClass(c), span(c.Deadline)})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (c *Class) UnmarshalJSON(text []byte) error {
	var content classContent
	if err := json.Unmarshal(text, &content); err != nil {
		return err
	}
	*c = Class(content.plainClass)
	c.Deadline = time.Duration(content.Deadline)
	return nil
}

type placementContent struct {
	FixedRoles   bool `json:"fixedRoles"`
	MinimumDwell span `json:"minimumDwell"`
}

// MarshalJSON writes the bounds with their units.
func (p Placement) MarshalJSON() ([]byte, error) {
	return json.Marshal(placementContent{p.FixedRoles, span(p.MinimumDwell)})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (p *Placement) UnmarshalJSON(text []byte) error {
	var content placementContent
	err := json.Unmarshal(text, &content)
	*p = Placement{FixedRoles: content.FixedRoles, MinimumDwell: time.Duration(content.MinimumDwell)}
	return err
}

type keysContent struct {
	Window span `json:"window"`
}

// MarshalJSON writes the window with its unit.
func (k Keys) MarshalJSON() ([]byte, error) {
	return json.Marshal(keysContent{span(k.Window)})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (k *Keys) UnmarshalJSON(text []byte) error {
	var content keysContent
	err := json.Unmarshal(text, &content)
	*k = Keys{Window: time.Duration(content.Window)}
	return err
}
