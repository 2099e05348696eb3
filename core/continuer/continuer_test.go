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
		{"stream", NewResponse(resumable), signed(http.StatusOK), Relay{}},
		{"unsigned stream", NewResponse(resumable), Answer{Status: http.StatusOK}, Discard{CauseUnsigned}},
		{"client's error instead of a stream", NewResponse(stream), signed(http.StatusNotFound), Deliver{}},
		{"server's error instead of a stream", NewResponse(resumable), signed(http.StatusInternalServerError), Keep{}},
		{"stream that goes on", begun(resumable, "2"), signed(http.StatusOK), Relay{}},
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

func TestFollow(t *testing.T) {
	ended, broken := begun(resumable, "2"), begun(resumable, "2")
	ended.Complete()
	broken.Break()
	headerOnly := NewResponse(resumable)
	headerOnly.HeaderWritten(true)
	for _, c := range []struct {
		name     string
		response *Response
		// notExecuted and ran are what follows if the upstream has certainly not run the request, and if it may have.
		notExecuted, ran Following
	}{
		{"nothing of an answer that may run once", NewResponse(once), Again{}, End{CauseMayHaveRun}},
		{"nothing of an answer that may run again", NewResponse(repeatable), Again{}, Again{}},
		{"nothing of a stream that may run once", NewResponse(stream), Again{}, End{CauseMayHaveRun}},
		{"nothing of a stream that may be resumed", NewResponse(resumable), Again{}, Again{}},
		{"part of an answer that may run once", begun(once, ""), End{CausePartWritten}, End{CauseMayHaveRun}},
		{"part of an answer that may run again", begun(repeatable, ""), End{CausePartWritten}, End{CausePartWritten}},
		{"part of a stream that may run once", begun(stream, "2"), End{CausePartWritten}, End{CauseMayHaveRun}},
		{"part of a stream that may be resumed", begun(resumable, "2"), After{"2"}, After{"2"}},
		{"part of a stream without ids", begun(resumable, ""), End{CauseNoEventID}, End{CauseNoEventID}},
		{"part of a stream whose ids are no numbers", begun(resumable, "b"), End{CauseNoEventID}, End{CauseNoEventID}},
		{"header of a stream", headerOnly, End{CauseNoEventID}, End{CauseNoEventID}},
		{"whole response", ended, End{CausePartWritten}, End{CausePartWritten}},
		{"response that broke off", broken, End{CausePartWritten}, End{CausePartWritten}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.notExecuted, c.response.Follow(false))
			require.Equal(t, c.ran, c.response.Follow(true))
		})
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
