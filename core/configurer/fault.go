package configurer

import (
	"fmt"
	"strconv"
	"strings"

	"rosemaryspool.example/core/refuser"
)

// Numbered codes of faults in a document; docs/CONFIGURATION.md lists them.
const (
	BadSyntax            refuser.Code = 5001
	UnknownKey           refuser.Code = 5002
	DuplicateKey         refuser.Code = 5003
	MissingValue         refuser.Code = 5004
	BadValue             refuser.Code = 5005
	BadDuration          refuser.Code = 5006
	OutOfRange           refuser.Code = 5007
	BadName              refuser.Code = 5008
	DuplicateName        refuser.Code = 5009
	UnknownReference     refuser.Code = 5010
	UnknownFormatVersion refuser.Code = 5011
	NotServed            refuser.Code = 5012
	Contradiction        refuser.Code = 5013
	TooLarge             refuser.Code = 5014
	BadSection           refuser.Code = 5015
	WrongDigest          refuser.Code = 5016
	WrongEnvironment     refuser.Code = 5017
)

// Fault is one error in a document. It implements error.
type Fault struct {
	Code refuser.Code
	// Line and Column count from 1; both are zero if the fault has no position in a text.
	Line   int
	Column int
	// Path is the path of the faulty value, such as "classes[fittingVerdict].deadline".
	Path    string
	Message string
	// Suggestion proposes a correction; empty if there is none.
	Suggestion string

	location location
	// refersTo is the list that the value refers to, such as "models"; empty if it refers to none.
	refersTo string
}

// location identifies a value in a document: a top-level key, or a field of one entry of a list.
type location struct {
	list  string
	index int
	field string
}

// noIndex is the index of a location that is a top-level key.
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

// Error returns the fault as one line: position, path, message, suggestion and code.
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

// FaultList is an error that holds every fault of one document, ordered by position in the text.
type FaultList struct {
	// Name identifies the document, such as the name of its file.
	Name   string
	Faults []Fault
}

// Error returns one line per fault, each with the name of the document.
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
