package appender

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
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

// Records that were longer together than a response may be were never read, nor were those after them.
func TestLongRecordsAreReadInSeveralResponses(t *testing.T) {
	const megabyte = 999_999
	for _, c := range []struct {
		name    string
		lengths []int
		// read is how many records can be read.
		read int
	}{
		{"short", []int{9, 9, 9}, 3},
		{"long together", []int{4 * megabyte, 4 * megabyte, 4 * megabyte, 4 * megabyte, 9, 9}, 6},
		{"long after many short ones", append(slices.Repeat([]int{99}, 300), 6*megabyte, 6*megabyte, 6*megabyte), 303},
		{"one that is too long", []int{9, 20 * megabyte, 9}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				from, err := strconv.Atoi(r.URL.Query().Get("from"))
				require.NoError(t, err)
				limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
				require.NoError(t, err)
				_, _ = fmt.Fprintf(w, `{"firstOffset":"1","endOffset":"%d","entries":[`, len(c.lengths)+1)
				for n := from; n < from+limit && n <= len(c.lengths); n++ {
					separator := ","
					if n == from {
						separator = ""
					}
					// Four characters of base64 are three bytes.
					_, _ = fmt.Fprintf(w, `%s{"offset":"%d","record":"%s"}`, separator, n, strings.Repeat("AAAA", c.lengths[n-1]/3))
				}
				_, _ = io.WriteString(w, "]}")
			}))
			defer s.Close()
			client := NewClient(s.URL)
			read := 0
			for read < len(c.lengths) {
				batch, err := client.Read(t.Context(), "s", identifier.Offset(read+1), 1024, 0)
				if err != nil {
					require.ErrorIs(t, err, ErrUnavailable)
					break
				}
				require.NotEmpty(t, batch.Entries)
				for _, e := range batch.Entries {
					require.Len(t, e.Record, c.lengths[read])
					read++
				}
			}
			require.Equal(t, c.read, read)
		})
	}
}
