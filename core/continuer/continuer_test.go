package continuer

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Routes of the kinds that there are.
var (
	once       = Route{}
	repeatable = Route{Repeatable: true}
	stream     = Route{Streaming: true}
	resumable  = Route{Streaming: true, Repeatable: true}
)

// begun returns a response of which the header and a part are written.
func begun(route Route, lastID string) *Response {
	r := NewResponse(route)
	r.HeaderWritten(route.Streaming)
	if route.Streaming {
		r.EventWritten(20, lastID)
	} else {
		r.BodyWritten(32 << 10)
	}
	return r
}

func TestJudge(t *testing.T) {
	signed := func(status int) Answer { return Answer{Status: status, Signed: true} }
	eventStream := Answer{Status: http.StatusOK, Signed: true, EventStream: true}
	takenUp := NewResponse(resumable)
	takenUp.TakeUp("2")
	for _, c := range []struct {
		name     string
		response *Response
		answer   Answer
		verdict  Verdict
	}{
		{"whole answer", NewResponse(once), signed(http.StatusOK), Deliver{}},
		{"unsigned answer", NewResponse(once), Answer{Status: http.StatusOK}, Discard{CauseUnsigned}},
		{"redirection", NewResponse(repeatable), signed(http.StatusFound), Deliver{}},
		{"client's error", NewResponse(repeatable), signed(http.StatusNotFound), Deliver{}},
		{"error without signature", NewResponse(repeatable), Answer{Status: http.StatusNotFound}, Deliver{}},
		{"server's error", NewResponse(once), signed(http.StatusInternalServerError), Deliver{}},
		{"server's error that may be better elsewhere", NewResponse(repeatable), signed(http.StatusInternalServerError), Keep{}},
		{
			"server's error by way of another instance", NewResponse(repeatable),
			Answer{Status: http.StatusInternalServerError, Signed: true, Final: true},
			Deliver{},
		},
		// A server's own 503 without a promise reached callers as a promise that the request had not run.
		{"busy without a promise", NewResponse(once), signed(http.StatusServiceUnavailable), Discard{CauseNoPromise}},
		{"limited without a promise", NewResponse(once), signed(http.StatusTooManyRequests), Discard{CauseNoPromise}},
		{"late without a promise", NewResponse(once), signed(http.StatusRequestTimeout), Discard{CauseNoPromise}},
		{"misdirected without a promise", NewResponse(once), Answer{Status: http.StatusMisdirectedRequest}, Discard{CauseNoPromise}},
		{"busy instead of a stream", NewResponse(stream), signed(http.StatusServiceUnavailable), Discard{CauseNoPromise}},
		{
			"busy without a promise by way of another instance", NewResponse(once),
			Answer{Status: http.StatusServiceUnavailable, Signed: true, Final: true},
			Discard{CauseNoPromise},
		},
		{"another instance's refusal", NewResponse(once), Answer{Status: http.StatusServiceUnavailable, Final: true, Own: true}, Deliver{}},
		{"busy that may be better elsewhere", NewResponse(repeatable), signed(http.StatusServiceUnavailable), Discard{CauseNoPromise}},
		{"limited that may be better elsewhere", NewResponse(repeatable), signed(http.StatusTooManyRequests), Discard{CauseNoPromise}},
		{"stream", NewResponse(resumable), signed(http.StatusOK), Relay{}},
		{"unsigned stream", NewResponse(resumable), Answer{Status: http.StatusOK}, Discard{CauseUnsigned}},
		{"client's error instead of a stream", NewResponse(stream), signed(http.StatusNotFound), Deliver{}},
		{"server's error instead of a stream", NewResponse(resumable), signed(http.StatusInternalServerError), Keep{}},
		{"stream that goes on", begun(resumable, "2"), eventStream, Relay{}},
		// Texts with status 200 were appended to streams, which then ended as complete.
		{"text in a stream", begun(resumable, "2"), signed(http.StatusOK), Discard{CauseNoStream}},
		{
			"part of a document in a stream", begun(resumable, "2"),
			Answer{Status: http.StatusPartialContent, Signed: true, EventStream: true},
			Discard{CauseNoStream},
		},
		{"stream that the caller takes up", takenUp, eventStream, Relay{}},
		{"text in a stream that the caller takes up", takenUp, signed(http.StatusOK), Discard{CauseNoStream}},
		{"error in a stream that the caller takes up", takenUp, signed(http.StatusNotFound), Deliver{}},
		{"unsigned stream that goes on", begun(resumable, "2"), Answer{Status: http.StatusOK}, Discard{CauseUnsigned}},
		{"redirection in a stream", begun(resumable, "2"), signed(http.StatusFound), Discard{CauseNoStream}},
		{"client's error in a stream", begun(resumable, "2"), signed(http.StatusNotFound), Discard{CauseNoStream}},
		{"server's error in a stream", begun(resumable, "2"), signed(http.StatusInternalServerError), Discard{CauseNoStream}},
		{
			"server's error in a stream by way of another instance", begun(resumable, "2"),
			Answer{Status: http.StatusInternalServerError, Signed: true, Final: true},
			Discard{CauseNoStream},
		},
		{"second whole answer", begun(repeatable, ""), signed(http.StatusOK), Discard{CauseNoStream}},
		{"error after a part of an answer", begun(repeatable, ""), signed(http.StatusInternalServerError), Discard{CauseNoStream}},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.verdict, c.response.Judge(c.answer)) })
	}
}

func TestBlocked(t *testing.T) {
	ended, broken := begun(resumable, "2"), begun(resumable, "2")
	ended.Complete()
	broken.Break()
	unnumbered := begun(resumable, "2")
	unnumbered.EventWritten(20, "")
	headerOnly := NewResponse(resumable)
	headerOnly.HeaderWritten(true)
	for _, c := range []struct {
		name     string
		response *Response
		// notExecuted and ran are why nothing follows if the upstream has certainly not run the request, and if it may have;
		// after is the event after which the request is sent again where it may be.
		notExecuted, ran string
		after            string
	}{
		{"nothing of an answer that may run once", NewResponse(once), "", CauseMayHaveRun, ""},
		{"nothing of an answer that may run again", NewResponse(repeatable), "", "", ""},
		{"nothing of a stream that may run once", NewResponse(stream), "", CauseMayHaveRun, ""},
		{"nothing of a stream that may be resumed", NewResponse(resumable), "", "", ""},
		{"part of an answer that may run once", begun(once, ""), CausePartWritten, CauseMayHaveRun, ""},
		{"part of an answer that may run again", begun(repeatable, ""), CausePartWritten, CausePartWritten, ""},
		{"part of a stream that may run once", begun(stream, "2"), CausePartWritten, CauseMayHaveRun, "2"},
		{"part of a stream that may be resumed", begun(resumable, "2"), "", "", "2"},
		{"part of a stream without ids", begun(resumable, ""), CauseNoEventID, CauseNoEventID, ""},
		{"part of a stream whose ids are no numbers", begun(resumable, "b"), CauseNoEventID, CauseNoEventID, "b"},
		{"part of a stream with an event without an id", unnumbered, CauseNoEventID, CauseNoEventID, "2"},
		{"header of a stream", headerOnly, CauseNoEventID, CauseNoEventID, ""},
		{"whole response", ended, CausePartWritten, CausePartWritten, "2"},
		{"response that broke off", broken, CausePartWritten, CausePartWritten, "2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.notExecuted, c.response.Blocked(false))
			require.Equal(t, c.ran, c.response.Blocked(true))
			require.Equal(t, c.after, c.response.LastEventID())
		})
	}
}

func TestGoesOn(t *testing.T) {
	takenUp, takenUpAfterText := NewResponse(resumable), NewResponse(resumable)
	takenUp.TakeUp("2")
	takenUpAfterText.TakeUp("b")
	for _, c := range []struct {
		name     string
		response *Response
		want     bool
	}{
		{"stream that begins", NewResponse(resumable), false},
		{"stream of which a part is written", begun(resumable, "2"), true},
		{"stream that the caller takes up", takenUp, true},
		{"stream whose ids are no numbers", begun(resumable, "b"), false},
		{"stream that the caller takes up after another id", takenUpAfterText, false},
		{"part of an answer", begun(repeatable, ""), false},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.response.GoesOn()) })
	}
}

func TestMayEnd(t *testing.T) {
	for _, c := range []struct {
		name     string
		response *Response
		// brought is what follows if the run has brought an event, framed if it has not but its end was marked, and closed if
		// its connection was closed without one.
		brought, framed, closed bool
	}{
		{"stream that begins", NewResponse(resumable), true, true, false},
		{"stream that goes on", begun(resumable, "2"), true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.brought, c.response.MayEnd(true, true))
			require.Equal(t, c.brought, c.response.MayEnd(true, false))
			require.Equal(t, c.framed, c.response.MayEnd(false, true))
			require.Equal(t, c.closed, c.response.MayEnd(false, false))
		})
	}
}
