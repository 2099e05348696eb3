// Package differ lists the sections and keys in which two configuration documents differ.
package differ

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"rosemaryspool.example/core/configurer"
)

// Kind is the kind of a change.
type Kind string

// Kinds of changes.
const (
	KindAdded   Kind = "added"
	KindRemoved Kind = "removed"
	KindChanged Kind = "changed"
)

// Change is a section that differs between two documents.
type Change struct {
	Section string `json:"section"`
	Kind    Kind   `json:"kind"`
	Keys    []Key  `json:"keys"`
}

// Key is a key of a section whose values differ. Old or New is empty where the key is absent.
type Key struct {
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Compare returns the changes from old to next, sorted by section.
func Compare(old, next configurer.Sections) []Change {
	difference := configurer.Compare(old, next)
	changes := []Change{}
	for _, s := range difference.Added {
		changes = append(changes, Change{s, KindAdded, compareKeys(nil, next[s])})
	}
	for _, s := range difference.Changed {
		changes = append(changes, Change{s, KindChanged, compareKeys(old[s], next[s])})
	}
	for _, s := range difference.Removed {
		changes = append(changes, Change{s, KindRemoved, compareKeys(old[s], nil)})
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Section, b.Section) })
	return changes
}

// compareKeys returns the keys whose values differ, sorted by name.
func compareKeys(old, next []byte) []Key {
	before, after := readKeys(old), readKeys(next)
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var keys []Key
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			keys = append(keys, Key{Name: name, Old: before[name], New: after[name]})
		}
	}
	return keys
}

// readKeys returns the values of a section by key. A section that is a single value gets the key "value".
func readKeys(content []byte) map[string]string {
	if content == nil {
		return nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(content, &fields) != nil {
		return map[string]string{"value": string(content)}
	}
	values := make(map[string]string, len(fields))
	for name, value := range fields {
		values[name] = string(value)
	}
	return values
}

// signs are the line prefixes of the kinds, as in a diff.
var signs = map[Kind]string{KindAdded: "+", KindRemoved: "-", KindChanged: "~"}

// Write writes the changes as text. It lists the keys of changed sections, but not of added or removed ones.
func Write(w io.Writer, changes []Change) {
	for _, c := range changes {
		_, _ = fmt.Fprintf(w, "%s %s\n", signs[c.Kind], c.Section)
		if c.Kind != KindChanged {
			continue
		}
		for _, k := range c.Keys {
			_, _ = fmt.Fprintf(w, "    %s: %s -> %s\n", k.Name, orNone(k.Old), orNone(k.New))
		}
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
