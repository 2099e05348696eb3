package watcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/wire/messenger"
)

func TestCountProgress(t *testing.T) {
	reply := func(id, environment string, revision uint64, leaving bool) StatusReply {
		status := &messenger.InstanceStatus{Environment: environment, Revision: revision}
		return StatusReply{Member: lister.Member{ID: id, Leaving: leaving}, Status: status}
	}
	unreachable := StatusReply{Member: lister.Member{ID: "silent"}}
	leavingUnreachable := StatusReply{Member: lister.Member{ID: "leaving", Leaving: true}}
	cases := []struct {
		name     string
		replies  []StatusReply
		progress Progress
	}{
		{"no instance listed", nil, Progress{}},
		{
			"all have applied the change",
			[]StatusReply{reply("a", "trial", 2, false), reply("b", "trial", 3, false)},
			Progress{Done: 2, Total: 2},
		},
		{
			"one has not applied the change",
			[]StatusReply{reply("a", "trial", 2, false), reply("b", "trial", 1, false)},
			Progress{Done: 1, Total: 2, Pending: []string{"b"}},
		},
		{"another environment", []StatusReply{reply("a", "trial", 2, false), reply("b", "production", 1, false)}, Progress{Done: 1, Total: 1}},
		{
			"one leaving, one leaving and unreachable",
			[]StatusReply{reply("a", "trial", 2, false), reply("b", "trial", 1, true), leavingUnreachable},
			Progress{Done: 1, Total: 1},
		},
		{
			"one unreachable",
			[]StatusReply{reply("a", "trial", 2, false), unreachable},
			Progress{Done: 1, Total: 2, Pending: []string{"silent"}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			progress := countProgress(c.replies, "trial", func(s *messenger.InstanceStatus) bool { return s.GetRevision() >= 2 })
			require.Equal(t, c.progress, progress)
			require.Equal(t, len(c.progress.Pending) == 0, progress.Complete())
		})
	}
}
