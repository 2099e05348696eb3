package commander

import (
	"errors"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/rosemaryctl/follower"
	"rosemaryspool.example/rosemaryctl/publisher"
)

// Exit codes of rosemaryctl, documented in docs/operations/exit-codes.md.
const (
	ExitOK           = 0
	ExitInternal     = 1
	ExitUsage        = 2
	ExitInvalid      = 3
	ExitConflict     = 4
	ExitDanger       = 5
	ExitUnavailable  = 6
	ExitUnknown      = 7
	ExitNotConfirmed = 8
	ExitNotFound     = 9
)

// Result codes of rosemaryctl, documented in docs/ERRORS.md.
const (
	revisionConflict   refuser.Code = 5101
	dangerNotAccepted  refuser.Code = 5102
	nothingPublished   refuser.Code = 5103
	publicationUnknown refuser.Code = 5104
	notInForce         refuser.Code = 5105
	nothingInForce     refuser.Code = 5106
	unknownUpstream    refuser.Code = 5107
	unknownRequest     refuser.Code = 5108
	changeRefused      refuser.Code = 5109
	missingSetting     refuser.Code = 6001
	badSetting         refuser.Code = 6002
)

// Failure is the error of a command, with the exit code and what the operator can do about it.
type Failure struct {
	Exit    int
	Code    refuser.Code
	Message string
	// Advice is what the operator can do next; it may be empty.
	Advice string
	// Detail is printed below the message if it has a text form, and is always part of JSON output.
	Detail any
}

// Error returns the message, followed by the advice if there is one.
func (f *Failure) Error() string {
	if f.Advice == "" {
		return f.Message
	}
	return f.Message + "; " + f.Advice
}

// toFailure converts an error to a failure with an exit code.
func toFailure(err error) *Failure {
	var failure *Failure
	var faults *configurer.FaultList
	switch {
	case errors.As(err, &failure):
		return failure
	case errors.As(err, &faults):
		return &Failure{Exit: ExitInvalid, Code: faults.Faults[0].Code, Message: faults.Error(), Detail: listFaults(faults)}
	case errors.Is(err, publisher.ErrNotPublished):
		return &Failure{Exit: ExitUnavailable, Code: nothingPublished, Message: err.Error(), Advice: "try again when the log is available"}
	case errors.Is(err, publisher.ErrOutcomeUnknown):
		return &Failure{
			Exit: ExitUnknown, Code: publicationUnknown, Message: err.Error(),
			Advice: "the change may still come into force; look at history before you publish again",
		}
	case errors.Is(err, follower.ErrIncomplete):
		return &Failure{Exit: ExitUnavailable, Code: nothingPublished, Message: err.Error(), Advice: "set --instances, so that a running instance can provide its state"}
	default:
		return &Failure{Exit: ExitInternal, Message: err.Error()}
	}
}

// faultLine is one fault of a document in JSON output.
type faultLine struct {
	Code       refuser.Code `json:"code"`
	Line       int          `json:"line,omitempty"`
	Column     int          `json:"column,omitempty"`
	Path       string       `json:"path,omitempty"`
	Message    string       `json:"message"`
	Suggestion string       `json:"suggestion,omitempty"`
}

func listFaults(list *configurer.FaultList) []faultLine {
	lines := make([]faultLine, 0, len(list.Faults))
	for _, f := range list.Faults {
		lines = append(lines, faultLine{f.Code, f.Line, f.Column, f.Path, f.Message, f.Suggestion})
	}
	return lines
}
