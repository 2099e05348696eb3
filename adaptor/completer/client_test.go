package completer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCompletionResponses(t *testing.T) {
	complete := events(
		`{"id":"a1","choices":[{"text":"fits"}]}`, `{"id":"a1","choices":[{"finish_reason":"stop"}]}`, EndMark,
	)
	cases := []struct {
		name   string
		status int
		// attempt is the ID in the response header.
		attempt   string
		body      string
		want      error
		hasReport bool
	}{
		{"complete", 200, "a1", complete, nil, false},
		{"header of another attempt", 200, "a2", complete, ErrMismatched, false},
		{"no header", 200, "", complete, ErrMismatched, false},
		{"malformed", 400, "", "", ErrInvalid, false},
		{"too large", 413, "", "", ErrInvalid, false},
		{"invalid", 422, "", `{"error":{"message":"no"}}`, ErrInvalid, false},
		{"another model", 404, "", "", ErrRejected, false},
		{"overload with report", 503, "", `{"engineReport":{"engine":"engine-1"}}`, ErrRejected, true},
		{"unreadable report", 503, "", `{"engineReport":7}`, ErrRejected, false},
		// The refusal of an earlier attempt, once more on a kept connection, was taken for this one's.
		{"refusal of another attempt", 503, "a2", "", ErrMismatched, false},
		{"malformed request of another attempt", 400, "a2", "", ErrMismatched, false},
		{"refusal", 503, "a1", "", ErrRejected, false},
		{"redirect", 307, "", "", ErrRejected, false},
	}
	for _, c := range cases {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderAttempt, c.attempt)
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		delivered := ""
		request := Request{Attempt: "a1", Model: "m", MaxOutput: 1}
		result, err := NewClient(s.URL).Complete(t.Context(), request, func(chunk Chunk) { delivered += chunk.Text })
		s.Close()
		require.ErrorIs(t, err, c.want, c.name)
		require.Equal(t, c.want == nil, delivered == "fits", c.name)
		require.Equal(t, c.hasReport, result.Report != nil, c.name)
	}
}
