package deduplicator

import (
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/wire/messenger"
)

// respondToKnownKey replies to or refuses a request whose key was claimed before. It returns nil if the key may be
// claimed.
func (d *Deduplicator) respondToKnownKey(now time.Time, request identifier.RequestID, id keyID, hash uint64) []Action {
	e, ok := d.keys.entries[id]
	if !ok {
		return nil
	}
	if e.hash != hash {
		return refuse(request, refuser.NewRefusal(refuser.KeyReused, refuser.NotRun, "key was used for another request"))
	}
	switch e.status {
	case statusClosed:
		return d.replay(request, e.outcome)
	case statusReleased:
		if len(e.released) > MaxReleases {
			return refuse(request, refuser.NewRefusal(refuser.UpstreamRejected, refuser.NotRun, "key was refused too often"))
		}
		return nil
	default:
		if e.hasOwnResponse() {
			return d.replay(request, e.ownOutcome)
		}
		if now.Sub(e.readAt) < d.settings.RunTimeout {
			return refuse(request, runningRefusal())
		}
		return refuse(request, unknownRefusal())
	}
}

// hasOwnResponse reports whether this process ran the key's current attempt and has its response.
func (e *entry) hasOwnResponse() bool {
	if e.ownOutcome == nil || e.ownOutcome.GetAttemptId() != string(e.attempt) {
		return false
	}
	result := e.ownOutcome.GetResult()
	return result == messenger.DispatchResult_DISPATCH_RESULT_DONE ||
		result == messenger.DispatchResult_DISPATCH_RESULT_FAILED
}

// refuseWaiting drops a waiting call. It responds according to the key's state in the log, or with the refusal if the
// key may be claimed.
func (d *Deduplicator) refuseWaiting(now time.Time, c *call, refusal *refuser.Refusal) []Action {
	d.dropCall(c)
	if actions := d.respondToKnownKey(now, c.request, c.id, c.hash); actions != nil {
		return actions
	}
	return refuse(c.request, refusal)
}

func unknownRefusal() *refuser.Refusal {
	return refuser.NewRefusal(refuser.KeyOutcomeUnknown, refuser.OutcomeUnknown, "outcome of the key's run is unknown")
}

// replay responds to a repeated request with the recorded outcome.
func (d *Deduplicator) replay(request identifier.RequestID, outcome *messenger.DispatchOutcome) []Action {
	switch outcome.GetResult() {
	case messenger.DispatchResult_DISPATCH_RESULT_DONE, messenger.DispatchResult_DISPATCH_RESULT_FAILED:
		return []Action{Reply{
			Request:     request,
			Failed:      outcome.GetResult() == messenger.DispatchResult_DISPATCH_RESULT_FAILED,
			Status:      int(outcome.GetStatus()),
			ContentType: outcome.GetContentType(),
			Body:        outcome.GetAnswer(),
			Truncated:   outcome.GetAnswerTruncated(),
			Repeated:    true,
		}}
	default:
		return refuse(request, unknownRefusal())
	}
}

// endDispatch records the outcome of a run and responds to its caller.
func (d *Deduplicator) endDispatch(e DispatchEnded) []Action {
	r, ok := d.runs[e.Attempt]
	if !ok {
		return nil
	}
	delete(d.runs, e.Attempt)
	outcome := &messenger.DispatchOutcome{
		Caller:      string(r.id.caller),
		Key:         string(r.id.key),
		AttemptId:   string(e.Attempt),
		Result:      e.Result,
		Status:      uint32(e.Status),
		ContentType: strings.ToValidUTF8(e.ContentType, "?"),
		Answer:      e.Body,
	}
	if outcome.Result == messenger.DispatchResult_DISPATCH_RESULT_UNSPECIFIED {
		outcome.Result = messenger.DispatchResult_DISPATCH_RESULT_UNKNOWN
	}
	if len(e.Body) > d.settings.MaxResponseBytes {
		outcome.Answer = e.Body[:d.settings.MaxResponseBytes]
		outcome.AnswerTruncated = true
	}
	d.keys.setOwnOutcome(r.id, outcome)
	d.recordOutcome(e.Now, outcome)
	return respondToRun(r.request, e)
}

func respondToRun(request identifier.RequestID, e DispatchEnded) []Action {
	switch e.Result {
	case messenger.DispatchResult_DISPATCH_RESULT_DONE, messenger.DispatchResult_DISPATCH_RESULT_FAILED:
		return []Action{Reply{
			Request:     request,
			Failed:      e.Result == messenger.DispatchResult_DISPATCH_RESULT_FAILED,
			Status:      e.Status,
			ContentType: e.ContentType,
			Body:        e.Body,
		}}
	case messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN:
		return refuse(request, refuser.NewRefusal(refuser.UpstreamRejected, refuser.NotRun, "service did not run the call"))
	default:
		return refuse(request, unknownRefusal())
	}
}
