package configurer

import (
	"fmt"
	"strconv"
	"strings"

	"rosemaryspool.example/core/refuser"
)

// Numbered codes of faults in a document; docs/ERRORS.md lists them.
const (
	BadSyntax            refuser.Code = 5001
	UnknownKey           refuser.Code = 5002
	DuplicateKey           refuser.Code = 5003
	MissingValue         refuser.Code = 5004
	BadValue             refuser.Code = 5005
	BadDuration          refuser.Code = 5006
	OutOfRange           refuser.Code = 5007
	BadName              refuser.Code = 5008
	DuplicateName          refuser.Code = 5009
	UnknownReference     refuser.Code = 5010
	UnknownFormatVersion refuser.Code = 5011
	NotServed        refuser.Code = 5012
	Contradiction        refuser.Code = 5013
	TooLarge             refuser.Code = 5014
	BadSection           refuser.Code = 5015
	WrongDigest          refuser.Code = 5016
	WrongEnvironment     refuser.Code = 5017
)

// Fault is one mistake in a document.
type Fault struct {
	Code refuser.Code
	// Line and Column count from 1; both are zero when the fault has no place in a text.
	Line   int
	Column int
	// Path names the faulty value, such as "classes[fittingVerdict].deadline".
	Path    string
	Message string
	// Suggestion says what to write or do; empty when there is no good guess.
	Suggestion string

	location location
	// about names the list that the value refers to; empty when it refers to none.
	refersTo string
}

// place locates a value in a document: a key of the top, or a field of one entry of a list.
type location struct {
	list  string
	index int
	field string
}

// wholeList is the index of a place that is a key of the top.
const noIndex = -1

func (p location) String() string {
	if p.index == noIndex {
		return joinPath(p.list, p.field)
	}
	return joinPath(p.list+"["+strconv.Itoa(p.index)+"]", p.field)
}

func joinPath(head, tail string) string {
	if head == "" || tail == "" {
		return head + tail
	}
	return head + "." + tail
}

// Error returns the fault as one line: place, path, message, what to do, code.
func (f Fault) Error() string {
	var line strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&line, "%d:%d: ", f.Line, f.Column)
	}
	if f.Path != "" {
		line.WriteString(f.Path + ": ")
	}
	line.WriteString(f.Message)
	if f.Suggestion != "" {
		line.WriteString("; " + f.Suggestion)
	}
	fmt.Fprintf(&line, " (code %d)", f.Code)
	return line.String()
}

// FaultList is every mistake of one document, in the order of its text.
type FaultList struct {
	// Name says which document it is, such as the name of its file.
	Name   string
	Faults []Fault
}

// Error returns one line for each fault.
func (l *FaultList) Error() string {
	lines := make([]string, 0, len(l.Faults))
	for _, f := range l.Faults {
		separator := ": "
		if f.Line > 0 {
			separator = ":"
		}
		lines = append(lines, l.Name+separator+f.Error())
	}
	return strings.Join(lines, "\n")
}
