package appender

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAppendResponses(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   error
	}{
		{200, `{"offset":"7"}`, nil},
		{200, `{"offset":"7","addedLater":true}`, nil},
		{200, `{}`, ErrOutcomeUnknown},
		{200, `<html>`, ErrOutcomeUnknown},
		{307, "", ErrOutcomeUnknown},
		{400, "", ErrUnavailable},
		{429, "", ErrUnavailable},
		{503, "", ErrUnavailable},
		{500, "", ErrOutcomeUnknown},
		{502, "", ErrOutcomeUnknown},
		{504, "", ErrOutcomeUnknown},
	}
	for _, c := range cases {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		offset, err := NewClient(s.URL).Append(t.Context(), "s", [][]byte{{1}})
		s.Close()
		require.ErrorIs(t, err, c.want, "status %d %s", c.status, c.body)
		require.Equal(t, c.want == nil, offset == 7, "status %d %s", c.status, c.body)
	}
}
