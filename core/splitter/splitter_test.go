package splitter

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventsSplitAcrossChunks(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"
	for size := 1; size <= len(stream); size++ {
		s := NewSplitter("")
		var got strings.Builder
		for at := 0; at < len(stream); at += size {
			events, err := s.Add([]byte(stream[at:min(len(stream), at+size)]))
			require.NoError(t, err)
			for _, e := range events {
				got.Write(e.Bytes)
			}
		}
		require.Equal(t, stream, got.String())
		require.Equal(t, "3", s.LastID())
		require.False(t, s.HasPartial())
	}
}

func TestMissingAndDuplicateEvents(t *testing.T) {
	for _, c := range []struct {
		name    string
		last    string
		stream  string
		events  int
		ordered bool
	}{
		{"in order", "", "id: 7\n\nid: 8\n\n", 2, true},
		{"missing event", "", "id: 1\n\nid: 3\n\n", 1, false},
		{"duplicate event", "", "id: 1\n\nid: 1\n\n", 1, false},
		{"resumed with a gap", "4", "id: 6\n\n", 0, false},
		{"resumed in order", "4", "id: 5\n\n", 1, true},
		{"ids that are not numbers", "", "id: x\n\nid: y\n\n", 2, true},
		{"no ids", "3", "data: 1\n\n", 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			events, err := NewSplitter(c.last).Add([]byte(c.stream))
			require.Len(t, events, c.events)
			require.Equal(t, c.ordered, err == nil)
		})
	}
}

func TestResumedStreamTakesOnlyTheEventsThatAreDue(t *testing.T) {
	for _, c := range []struct {
		name, last, stream string
		events             int
		ordered            bool
	}{
		{"in order", "4", "id: 5\n\nrosemaryspool-weight-versions: 2\nid: 6\ndata: a\n\n", 2, true},
		{"duplicate event", "4", "id: 4\n\n", 0, false},
		{"missing event", "4", "id: 6\n\n", 0, false},
		{"no id", "4", "data: 1\n\n", 0, false},
		{"id that is no number", "4", "id: x\n\n", 0, false},
		{"text", "4", "failure\n\n", 0, false},
		{"head of another response", "4", "HTTP/1.1 500 Status\r\nContent-Length: 0\r\n\r\n", 0, false},
		{"text after an event", "4", "id: 5\n\nfailure\n\n", 1, false},
		{"stream without numbers", "x", "id: 5\n\n", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSplitter(c.last)
			_, err := s.Add([]byte("id: 5\nda"))
			require.NoError(t, err)
			s.Resume()
			events, err := s.Add([]byte(c.stream))
			require.Len(t, events, c.events)
			require.Equal(t, c.ordered, err == nil)
		})
	}
}

func TestDiscardPartial(t *testing.T) {
	s := NewSplitter("")
	_, err := s.Add([]byte("id: 1\n\nid: 2\nda"))
	require.NoError(t, err)
	require.True(t, s.HasPartial())
	s.DiscardPartial()
	events, err := s.Add([]byte("id: 2\ndata: b\n\n"))
	require.NoError(t, err)
	require.Len(t, events, 1)
}

func TestEventWithoutEndIsAnError(t *testing.T) {
	s := NewSplitter("")
	events, err := s.Add([]byte("id: 1\n\n"))
	require.NoError(t, err)
	require.Len(t, events, 1)
	block := []byte(strings.Repeat("data: x\n", 1024))
	for sent := 0; err == nil; sent += len(block) {
		require.LessOrEqual(t, sent, maxEventBytes)
		_, err = s.Add(block)
	}
	require.ErrorIs(t, err, ErrEventTooLong)
	require.Equal(t, "1", s.LastID())
}
