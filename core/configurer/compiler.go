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

// Compile is the inverse of Sections. It checks the document by the rules that its format version pins, so that every
// binary that knows the version reaches the same verdict. It reports every fault at once, as a *FaultList.
func Compile(sections Sections) (*Document, error) {
	return compileChange(&Document{}, sections, nil)
}

// recompile applies a change to a checked document at a cost that follows the change: it reads only the changed
// sections and checks callers one by one. The old document stays as it is and shares untouched lists with the new one.
func compileChange(old *Document, changed Sections, removed []string) (*Document, error) {
	part := &Document{}
	faults := readChanged(old, part, changed)
	gone, more := groupRemoved(removed)
	faults = append(faults, more...)
	if len(faults) > 0 {
		return nil, &FaultList{Name: "sections", Faults: faults}
	}
	part.sort()
	document := merge(old, part, changed, gone)
	if faults := checkChange(old, document, part, gone); len(faults) > 0 {
		return nil, &FaultList{Name: "sections", Faults: faults}
	}
	return document, nil
}

// readParts reads changed sections into a document of their own.
func readChanged(old, part *Document, changed Sections) []Fault {
	var faults []Fault
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if err := part.readSection(name, changed[name]); err != nil {
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

// groupRemoved sorts the names of removed sections by kind.
func groupRemoved(removed []string) (map[string]map[string]bool, []Fault) {
	gone := map[string]map[string]bool{}
	var faults []Fault
	for _, name := range removed {
		kind, key, ok := strings.Cut(name, "/")
		if !ok || key == "" {
			faults = append(faults, sectionFault(name, "the section can not be removed"))
			continue
		}
		if gone[kind] == nil {
			gone[kind] = map[string]bool{}
		}
		gone[kind][key] = true
	}
	return gone, faults
}

func merge(old, part *Document, changed Sections, gone map[string]map[string]bool) *Document {
	document := *old
	if _, ok := changed[sectionFormatVersion]; ok {
		document.FormatVersion = part.FormatVersion
	}
	if _, ok := changed[sectionEnvironment]; ok {
		document.Environment = part.Environment
	}
	if _, ok := changed[sectionPlacement]; ok {
		document.Placement = part.Placement
	}
	if _, ok := changed[sectionKeys]; ok {
		document.Keys = part.Keys
	}
	document.Models = mergeLists(old.Models, part.Models, gone[sectionModels], modelName)
	document.Engines = mergeLists(old.Engines, part.Engines, gone[sectionEngines], engineName)
	document.Services = mergeLists(old.Services, part.Services, gone[sectionServices], serviceName)
	document.Classes = mergeLists(old.Classes, part.Classes, gone[sectionClasses], className)
	document.Callers = mergeLists(old.Callers, part.Callers, gone[sectionCallers], callerName)
	return &document
}

// mergeLists merges two lists that are sorted by name; an entry of the second replaces its namesake in the first.
// What lies between two edits is copied whole.
func mergeLists[T any](old, part []T, gone map[string]bool, nameOf func(T) string) []T {
	if len(part) == 0 && len(gone) == 0 {
		return old
	}
	edits := make(map[string]*T, len(part)+len(gone))
	for name := range gone {
		edits[name] = nil
	}
	for i := range part {
		edits[nameOf(part[i])] = &part[i]
	}
	merged := make([]T, 0, len(old)+len(part))
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

// checkChange checks a changed document. Callers refer to nothing else, so untouched ones need no second check.
func checkChange(old, document, part *Document, gone map[string]map[string]bool) []Fault {
	sameVersion := old.FormatVersion == document.FormatVersion
	rest := *document
	if sameVersion {
		rest.Callers = part.Callers
	}
	if sameVersion && onlyCallersDiffer(old, document, gone) {
		return checkCallersOnly(document, part.Callers)
	}
	faults := check(&rest)
	if len(document.Callers) > maxCallers && len(faults) == 0 {
		return checkCallersOnly(document, nil)
	}
	return faults
}

// onlyCallers tells whether two documents share everything but their callers.
func onlyCallersDiffer(old, document *Document, gone map[string]map[string]bool) bool {
	for kind := range gone {
		if kind != sectionCallers {
			return false
		}
	}
	return old.Environment == document.Environment && old.Placement == document.Placement && old.Keys == document.Keys &&
		sameList(old.Models, document.Models) && sameList(old.Engines, document.Engines) &&
		sameList(old.Services, document.Services) && sameList(old.Classes, document.Classes)
}

// sameList tells whether two slices are one and the same.
func sameList[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func sectionFault(name, message string) Fault {
	return Fault{Code: BadSection, Path: name, Message: message}
}

// readSection reads one section and refuses contents that are not canonical, so that one document has one digest.
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

func readSingleton(content []byte, part any, name, kind string) error {
	if name != kind {
		return errUnknownSection
	}
	return readCanonical(content, part)
}

func readEntry[T any](content []byte, list *[]T, key string, nameOf func(T) string) error {
	var part T
	if err := readCanonical(content, &part); err != nil {
		return err
	}
	if nameOf(part) != key {
		return fmt.Errorf("the content is about %q", nameOf(part))
	}
	*list = append(*list, part)
	return nil
}

// normalizer is a part of a document with derived defaults or lists whose order means nothing.
type normalizer interface{ normalize() }

func readCanonical(content []byte, part any) error {
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
		return errors.New("the content is not canonical")
	}
	return nil
}

func modelName(m Model) string     { return string(m.Name) }
func engineName(e Engine) string   { return string(e.ID) }
func serviceName(s Service) string { return string(s.Name) }
func className(c Class) string     { return string(c.Name) }
func callerName(c Caller) string   { return string(c.ID) }
