package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

var errUnknownSection = errors.New("unknown section")

// Compile decodes a document from its sections; it is the inverse of Document.Sections. The format version selects the
// rules, so that every binary that supports the version accepts the same documents. It returns all faults at once, as a
// *FaultList.
func Compile(sections Sections) (*Document, error) {
	return compileChange(&Document{}, sections, nil)
}

// compileChange applies a change to a valid document at a cost proportional to the change: it decodes only the changed
// sections and checks only the changed callers. The old document is not modified and shares unchanged lists with the
// new one.
func compileChange(old *Document, changed Sections, removed []string) (*Document, error) {
	delta := &Document{}
	faults := readChanged(old, delta, changed)
	removedByKind, more := groupRemoved(removed)
	faults = append(faults, more...)
	if len(faults) > 0 {
		return nil, &FaultList{Name: "sections", Faults: faults}
	}
	delta.sort()
	document := merge(old, delta, changed, removedByKind)
	if faults := checkChange(old, document, delta, removedByKind); len(faults) > 0 {
		return nil, &FaultList{Name: "sections", Faults: faults}
	}
	return document, nil
}

// readChanged decodes the changed sections into a separate document. A first document must have every singleton
// section.
func readChanged(old, delta *Document, changed Sections) []Fault {
	var faults []Fault
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if err := delta.readSection(name, changed[name]); err != nil {
			faults = append(faults, sectionFault(name, err.Error()))
		}
	}
	if old.FormatVersion != 0 {
		return faults
	}
	for _, name := range singletonSections {
		if _, ok := changed[name]; !ok {
			faults = append(faults, sectionFault(name, "the section is missing"))
		}
	}
	return faults
}

// groupRemoved groups the names of removed sections by kind. Singleton sections cannot be removed.
func groupRemoved(removed []string) (map[string]map[string]bool, []Fault) {
	byKind := map[string]map[string]bool{}
	var faults []Fault
	for _, name := range removed {
		kind, key, ok := strings.Cut(name, "/")
		if !ok || key == "" {
			faults = append(faults, sectionFault(name, "the section can not be removed"))
			continue
		}
		if byKind[kind] == nil {
			byKind[kind] = map[string]bool{}
		}
		byKind[kind][key] = true
	}
	return byKind, faults
}

func merge(old, delta *Document, changed Sections, removedByKind map[string]map[string]bool) *Document {
	document := *old
	if _, ok := changed[sectionFormatVersion]; ok {
		document.FormatVersion = delta.FormatVersion
	}
	if _, ok := changed[sectionEnvironment]; ok {
		document.Environment = delta.Environment
	}
	if _, ok := changed[sectionPlacement]; ok {
		document.Placement = delta.Placement
	}
	if _, ok := changed[sectionKeys]; ok {
		document.Keys = delta.Keys
	}
	document.Models = mergeLists(old.Models, delta.Models, removedByKind[sectionModels], modelName)
	document.Engines = mergeLists(old.Engines, delta.Engines, removedByKind[sectionEngines], engineName)
	document.Services = mergeLists(old.Services, delta.Services, removedByKind[sectionServices], serviceName)
	document.Classes = mergeLists(old.Classes, delta.Classes, removedByKind[sectionClasses], className)
	document.Callers = mergeLists(old.Callers, delta.Callers, removedByKind[sectionCallers], callerName)
	return &document
}

// mergeLists merges two lists that are sorted by name; an entry of the second replaces the one of the same name in the
// first. Ranges between two edits are copied in one append.
func mergeLists[T any](old, delta []T, removed map[string]bool, nameOf func(T) string) []T {
	if len(delta) == 0 && len(removed) == 0 {
		return old
	}
	edits := make(map[string]*T, len(delta)+len(removed))
	for name := range removed {
		edits[name] = nil
	}
	for i := range delta {
		edits[nameOf(delta[i])] = &delta[i]
	}
	merged := make([]T, 0, len(old)+len(delta))
	for _, name := range slices.Sorted(maps.Keys(edits)) {
		i, found := slices.BinarySearchFunc(old, name, func(t T, n string) int { return strings.Compare(nameOf(t), n) })
		merged = append(merged, old[:i]...)
		if entry := edits[name]; entry != nil {
			merged = append(merged, *entry)
		}
		if found {
			i++
		}
		old = old[i:]
	}
	merged = append(merged, old...)
	if len(merged) == 0 {
		return nil
	}
	return merged
}

// checkChange checks a changed document. Callers refer to no other section, so unchanged ones are not checked again
// unless the format version differs.
func checkChange(old, document, delta *Document, removedByKind map[string]map[string]bool) []Fault {
	sameVersion := old.FormatVersion == document.FormatVersion
	rest := *document
	if sameVersion {
		rest.Callers = delta.Callers
	}
	if sameVersion && onlyCallersDiffer(old, document, removedByKind) {
		return checkCallersOnly(document, delta.Callers)
	}
	faults := check(&rest)
	if len(document.Callers) > maxCallers && len(faults) == 0 {
		return checkCallersOnly(document, nil)
	}
	return faults
}

// onlyCallersDiffer reports whether two documents share everything except their callers.
func onlyCallersDiffer(old, document *Document, removedByKind map[string]map[string]bool) bool {
	for kind := range removedByKind {
		if kind != sectionCallers {
			return false
		}
	}
	return old.Environment == document.Environment && old.Placement == document.Placement && old.Keys == document.Keys &&
		sameList(old.Models, document.Models) && sameList(old.Engines, document.Engines) &&
		sameList(old.Services, document.Services) && sameList(old.Classes, document.Classes)
}

// sameList reports whether two slices share the same memory, without comparing their elements.
func sameList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func sectionFault(name, message string) Fault {
	return Fault{Code: BadSection, Path: name, Message: message}
}

// readSection decodes one section into the document. It rejects content that is not canonical, so that a document has
// exactly one digest.
func (d *Document) readSection(name string, content []byte) error {
	kind, key, _ := strings.Cut(name, "/")
	switch kind {
	case sectionFormatVersion:
		return readSingleton(content, &d.FormatVersion, name, kind)
	case sectionEnvironment:
		return readSingleton(content, &d.Environment, name, kind)
	case sectionPlacement:
		return readSingleton(content, &d.Placement, name, kind)
	case sectionKeys:
		return readSingleton(content, &d.Keys, name, kind)
	case sectionModels:
		return readEntry(content, &d.Models, key, modelName)
	case sectionEngines:
		return readEntry(content, &d.Engines, key, engineName)
	case sectionServices:
		return readEntry(content, &d.Services, key, serviceName)
	case sectionClasses:
		return readEntry(content, &d.Classes, key, className)
	case sectionCallers:
		return readEntry(content, &d.Callers, key, callerName)
	default:
		return errUnknownSection
	}
}

func readSingleton(content []byte, value any, name, kind string) error {
	if name != kind {
		return errUnknownSection
	}
	return readCanonical(content, value)
}

func readEntry[T any](content []byte, list *[]T, key string, nameOf func(T) string) error {
	var value T
	if err := readCanonical(content, &value); err != nil {
		return err
	}
	if nameOf(value) != key {
		return fmt.Errorf("the content is about %q", nameOf(value))
	}
	*list = append(*list, value)
	return nil
}

// normalizer is a value with derived defaults or with lists whose order is not significant.
type normalizer interface{ normalize() }

// readCanonical decodes JSON and rejects any that differs from the encoding of the decoded value. Decoding errors name
// Go types and become part of stored refusal reasons.
func readCanonical(content []byte, value any) error {
	if err := json.Unmarshal(content, value); err != nil {
		return err
	}
	if n, ok := value.(normalizer); ok {
		n.normalize()
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if !bytes.Equal(content, encoded) {
		return errors.New("the content is not canonical")
	}
	return nil
}

func modelName(m Model) string     { return string(m.Name) }
func engineName(e Engine) string   { return string(e.ID) }
func serviceName(s Service) string { return string(s.Name) }
func className(c Class) string     { return string(c.Name) }
func callerName(c Caller) string   { return string(c.ID) }
