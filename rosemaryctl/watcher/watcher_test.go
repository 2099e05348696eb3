package watcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/wire/messenger"
)

func TestCount(t *testing.T) {
	view := func(id, environment string, revision uint64, leaving bool) StatusReply {
		status := &messenger.InstanceStatus{Environment: environment, Revision: revision}
		return StatusReply{Member: lister.Member{ID: id, Leaving: leaving}, Status: status}
	}
	silent := StatusReply{Member: lister.Member{ID: "silent"}}
	leavingSilent := StatusReply{Member: lister.Member{ID: "leaving", Leaving: true}}
	cases := []struct {
		name     string
		views    []StatusReply
		progress Progress
	}{
		{"nobody listed", nil, Progress{}},
		{"all have it", []StatusReply{view("a", "trial", 2, false), view("b", "trial", 3, false)}, Progress{Done: 2, Total: 2}},
		{"one is late", []StatusReply{view("a", "trial", 2, false), view("b", "trial", 1, false)}, Progress{Done: 1, Total: 2, Pending: []string{"b"}}},
		{"another environment", []StatusReply{view("a", "trial", 2, false), view("b", "production", 1, false)}, Progress{Done: 1, Total: 1}},
		{"leaving", []StatusReply{view("a", "trial", 2, false), view("b", "trial", 1, true), leavingSilent}, Progress{Done: 1, Total: 1}},
		{"silent", []StatusReply{view("a", "trial", 2, false), silent}, Progress{Done: 1, Total: 2, Pending: []string{"silent"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			progress := countProgress(c.views, "trial", func(s *messenger.InstanceStatus) bool { return s.GetRevision() >= 2 })
			require.Equal(t, c.progress, progress)
			require.Equal(t, len(c.progress.Pending) == 0, progress.Complete())
		})
	}
}
