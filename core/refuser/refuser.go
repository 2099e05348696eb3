// Package refuser defines the numbered result codes of failed requests and whether an upstream may have executed them.
package refuser

import "strconv"

// Code is a numbered result code; docs/ERRORS.md lists them.
type Code int

// Effect states whether a failed request was executed.
type Effect int

// Effects of a failed request.
const (
	// NotRun means that no upstream has run or will run the request.
	NotRun Effect = iota + 1
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown
	// RanAndFailed means that an upstream ran the request and reported a failure.
	RanAndFailed
)

// String returns the name of the effect as written in responses and logs.
func (e Effect) String() string {
	switch e {
	case NotRun:
		return "notRun"
	case OutcomeUnknown:
		return "outcomeUnknown"
	case RanAndFailed:
		return "ranAndFailed"
	default:
		return "effect" + strconv.Itoa(int(e))
	}
}

// Result codes. 1xxx: invalid request; 2xxx: admission; 3xxx: upstreams; 4xxx: at-most-once execution;
// 5xxx: configuration; 6xxx: settings; 7xxx: leases and orders.
const (
	BadRequest          Code = 1001
	BodyTooLarge        Code = 1002
	UnknownClass        Code = 1003
	UnknownModel        Code = 1004
	MissingCaller       Code = 1005
	MissingKey          Code = 1006
	BadIssueTime        Code = 1007
	UnknownService      Code = 1008
	UnknownCaller       Code = 1009
	NoConfiguration     Code = 2001
	DeadlineUnreachable Code = 2002
	CallerOverLimit     Code = 2003
	Overloaded          Code = 2004
	ShuttingDown        Code = 2005
	NoUpstream          Code = 2006
	UpstreamFailed      Code = 3001
	DeadlineExceeded    Code = 3002
	AnswerIncomplete    Code = 3003
	UpstreamRejected    Code = 3004
	CallerGone          Code = 3005
	KeyTooOld           Code = 4001
	KeyReused           Code = 4002
	KeyRunning          Code = 4003
	KeyOutcomeUnknown   Code = 4004
	LogUnavailable      Code = 4005
	HistoryIncomplete   Code = 4006
)

// names holds the name of each code as written in responses and logs.
var names = map[Code]string{
	BadRequest:          "badRequest",
	BodyTooLarge:        "bodyTooLarge",
	UnknownClass:        "unknownClass",
	UnknownModel:        "unknownModel",
	MissingCaller:       "missingCaller",
	MissingKey:          "missingKey",
	BadIssueTime:        "badIssueTime",
	UnknownService:      "unknownService",
	UnknownCaller:       "unknownCaller",
	NoConfiguration:     "noConfiguration",
	DeadlineUnreachable: "deadlineUnreachable",
	CallerOverLimit:     "callerOverLimit",
	Overloaded:          "overloaded",
	ShuttingDown:        "shuttingDown",
	NoUpstream:          "noUpstream",
	UpstreamFailed:      "upstreamFailed",
	DeadlineExceeded:    "deadlineExceeded",
	AnswerIncomplete:    "answerIncomplete",
	UpstreamRejected:    "upstreamRejected",
	CallerGone:          "callerGone",
	KeyTooOld:           "keyTooOld",
	KeyReused:           "keyReused",
	KeyRunning:          "keyRunning",
	KeyOutcomeUnknown:   "keyOutcomeUnknown",
	LogUnavailable:      "logUnavailable",
	HistoryIncomplete:   "historyIncomplete",
}

// String returns the name of the code, or its number after "code" when it has none.
func (c Code) String() string {
	if name, ok := names[c]; ok {
		return name
	}
	return "code" + strconv.Itoa(int(c))
}

// Refusal is the error that the caller of a failed request gets.
type Refusal struct {
	Code    Code
	Effect  Effect
	Message string
	// RetryAfterMS is the delay in milliseconds after which the caller may retry; zero when a retry is not suggested.
	RetryAfterMS int
}

// Error returns the code, effect and message on one line.
func (r *Refusal) Error() string {
	return "refuser: code " + strconv.Itoa(int(r.Code)) + " (" + r.Effect.String() + "): " + r.Message
}

// NewRefusal returns a refusal that suggests no retry.
func NewRefusal(code Code, effect Effect, message string) *Refusal {
	return &Refusal{Code: code, Effect: effect, Message: message}
}
