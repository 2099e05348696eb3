package replayer

import (
	"fmt"
	"slices"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// MaxHistory is the number of accepted changes, and separately of refused changes, that the state keeps.
const MaxHistory = 32

// Revision describes one accepted configuration change.
type Revision struct {
	Revision         identifier.Revision
	Base             identifier.Revision
	Digest           string
	Operator         identifier.OperatorID
	Message          string
	PromotedFrom     identifier.Environment
	PromotedRevision identifier.Revision
	Changed, Removed []string
}

// ConfigRefusal describes one refused configuration change and the change that it conflicted with.
type ConfigRefusal struct {
	Record   identifier.RecordID
	Offset   identifier.Offset
	Base     identifier.Revision
	Digest   string
	Operator identifier.OperatorID
	Reason   string
	// BeatenBy is the revision that was accepted on the same base, by BeatenByOperator; zero if there is none. If the
	// history no longer holds that revision, it is the one in force.
	BeatenBy         identifier.Revision
	BeatenByOperator identifier.OperatorID
}

// configState is the configuration in force with the latest accepted and refused changes.
type configState struct {
	revision identifier.Revision
	current  *configurer.Configuration
	history  []Revision
	refused  []ConfigRefusal
}

// Revision returns the revision in force; zero if there is none.
func (s *State) Revision() identifier.Revision { return s.config.revision }

// Digest returns the digest of the document in force.
func (s *State) Digest() string { return s.config.current.Digest() }

// Document returns the document in force; nil if there is none.
func (s *State) Document() *configurer.Document { return s.config.current.Document() }

// Sections returns a copy of the sections in force.
func (s *State) Sections() configurer.Sections { return s.config.current.Sections() }

// History returns the latest accepted changes, oldest first.
func (s *State) History() []Revision { return slices.Clone(s.config.history) }

// ConfigRefusals returns the latest refused changes, oldest first.
func (s *State) ConfigRefusals() []ConfigRefusal { return slices.Clone(s.config.refused) }

// applyConfig accepts a change if its base is the revision in force, the result is valid and it belongs to this
// environment. A change takes effect completely or not at all.
func (s *State) applyConfig(offset identifier.Offset, record *messenger.Record, change *messenger.ConfigChange) Effect {
	if identifier.Revision(change.GetBaseRevision()) != s.config.revision {
		return s.refuseConfig(offset, record, change, fmt.Sprintf("base revision %d is not in force", change.GetBaseRevision()))
	}
	next, err := s.config.current.ApplyChange(change)
	if err != nil {
		return s.refuseConfig(offset, record, change, err.Error())
	}
	if environment := next.Document().Environment; environment != "" && environment != s.environment {
		return s.refuseConfig(offset, record, change, fmt.Sprintf("document is for environment %q", environment))
	}
	revision := newRevision(offset, change)
	s.config.revision = revision.Revision
	s.config.current = next
	s.config.history = appendBounded(s.config.history, revision)
	return ConfigAccepted{Revision: revision}
}

func newRevision(offset identifier.Offset, change *messenger.ConfigChange) Revision {
	revision := Revision{
		Revision:         identifier.Revision(offset),
		Base:             identifier.Revision(change.GetBaseRevision()),
		Digest:           change.GetDigest(),
		Operator:         identifier.OperatorID(change.GetOperator()),
		Message:          change.GetMessage(),
		PromotedFrom:     identifier.Environment(change.GetPromotedFrom()),
		PromotedRevision: identifier.Revision(change.GetPromotedRevision()),
		Removed:          change.GetRemoved(),
	}
	for _, c := range change.GetChanged() {
		revision.Changed = append(revision.Changed, c.GetName())
	}
	return revision
}

// refuseConfig records the refusal of a change. The reason becomes part of the encoded state.
func (s *State) refuseConfig(offset identifier.Offset, record *messenger.Record, change *messenger.ConfigChange, reason string) Effect {
	refusal := ConfigRefusal{
		Record:   identifier.RecordID(record.GetId()),
		Offset:   offset,
		Base:     identifier.Revision(change.GetBaseRevision()),
		Digest:   change.GetDigest(),
		Operator: identifier.OperatorID(change.GetOperator()),
		Reason:   reason,
	}
	if winner, ok := s.findWinner(refusal.Base); ok {
		refusal.BeatenBy = winner.Revision
		refusal.BeatenByOperator = winner.Operator
	}
	s.config.refused = appendBounded(s.config.refused, refusal)
	return ConfigRefused{Refusal: refusal}
}

// findWinner returns the change that was accepted on a base, or the one in force if the history no longer holds that
// change.
func (s *State) findWinner(base identifier.Revision) (Revision, bool) {
	if base == s.config.revision || len(s.config.history) == 0 {
		return Revision{}, false
	}
	for _, r := range s.config.history {
		if r.Base == base {
			return r, true
		}
	}
	return s.config.history[len(s.config.history)-1], true
}

func appendBounded[T any](list []T, item T) []T {
	if len(list) == MaxHistory {
		list = slices.Clone(list[1:])
	}
	return append(list, item)
}
