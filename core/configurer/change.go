package configurer

import (
	"bytes"
	"maps"
	"slices"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Difference lists the names of the sections that differ between two documents, each list sorted.
type Difference struct {
	Changed []string
	Added   []string
	Removed []string
}

// Compare returns the differences of the next sections from the old ones.
func Compare(old, next Sections) Difference {
	var difference Difference
	for _, name := range slices.Sorted(maps.Keys(next)) {
		before, ok := old[name]
		switch {
		case !ok:
			difference.Added = append(difference.Added, name)
		case !bytes.Equal(before, next[name]):
			difference.Changed = append(difference.Changed, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := next[name]; !ok {
			difference.Removed = append(difference.Removed, name)
		}
	}
	return difference
}

// IsEmpty reports whether there is no difference.
func (d Difference) IsEmpty() bool {
	return len(d.Changed) == 0 && len(d.Added) == 0 && len(d.Removed) == 0
}

// Author describes who makes a change and why.
type Author struct {
	Operator identifier.OperatorID
	Message  string
	// Accepted lists the names of the dangers that the operator accepted.
	Accepted []string
}

// NewChange returns the change record that turns the sections of the base revision into the next ones. For the first
// document of an environment the base is revision zero without sections.
func NewChange(base identifier.Revision, old, next Sections, author Author) *messenger.ConfigChange {
	difference := Compare(old, next)
	change := &messenger.ConfigChange{
		BaseRevision:    uint64(base),
		Removed:         difference.Removed,
		Digest:          next.Digest(),
		Operator:        string(author.Operator),
		Message:         author.Message,
		AcceptedDangers: author.Accepted,
	}
	names := slices.Sorted(slices.Values(slices.Concat(difference.Changed, difference.Added)))
	for _, name := range names {
		change.Changed = append(change.Changed, &messenger.ConfigSection{Name: name, Content: next[name]})
	}
	return change
}

// PromotionSource is the accepted revision of another environment that is promoted.
type PromotionSource struct {
	Environment identifier.Environment
	Revision    identifier.Revision
	Sections    Sections
}

// NewPromotion returns the change record that copies all sections of another environment's revision to the target,
// except for the environment's name. The digest equals that of the source.
func NewPromotion(
	base identifier.Revision, old Sections, target identifier.Environment, source PromotionSource, author Author,
) *messenger.ConfigChange {
	change := NewChange(base, old, source.Sections.ForEnvironment(target), author)
	change.PromotedFrom = string(source.Environment)
	change.PromotedRevision = uint64(source.Revision)
	return change
}
