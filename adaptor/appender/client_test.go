package appender

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
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
	const megabyte = 1 << 20
	for _, c := range []struct {
		name    string
		lengths []int
		// read is how many records can be read.
		read int
	}{
		{"short", []int{10, 10, 10}, 3},
		{"long together", []int{4 * megabyte, 4 * megabyte, 4 * megabyte, 4 * megabyte, 10, 10}, 6},
		{"long after many short ones", append(slices.Repeat([]int{100}, 300), 5*megabyte, 5*megabyte, 5*megabyte), 303},
		{"one that is too long", []int{10, 20 * megabyte, 10}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				from, err := strconv.Atoi(r.URL.Query().Get("from"))
				require.NoError(t, err)
				limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
				require.NoError(t, err)
				reply := &messenger.ReadReply{FirstOffset: 1, EndOffset: uint64(len(c.lengths) + 1)}
				for n := from; n < from+limit && n <= len(c.lengths); n++ {
					reply.Entries = append(reply.Entries, &messenger.LogEntry{Offset: uint64(n), Record: make([]byte, c.lengths[n-1])})
				}
				content, err := protojson.Marshal(reply)
				require.NoError(t, err)
				_, _ = w.Write(content)
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
