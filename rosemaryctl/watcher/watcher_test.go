package watcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/wire/messenger"
)

func TestCount(t *testing.T) {
	view := func(id, environment string, revision uint64, leaving bool) View {
		status := &messenger.InstanceStatus{Environment: environment, Revision: revision}
		return View{Member: lister.Member{ID: id, Leaving: leaving}, Status: status}
	}
	silent := View{Member: lister.Member{ID: "silent"}}
	leavingSilent := View{Member: lister.Member{ID: "leaving", Leaving: true}}
	cases := []struct {
		name     string
		views    []View
		progress Progress
	}{
		{"nobody listed", nil, Progress{}},
		{"all have it", []View{view("a", "trial", 2, false), view("b", "trial", 3, false)}, Progress{Done: 2, Total: 2}},
		{"one is late", []View{view("a", "trial", 2, false), view("b", "trial", 1, false)}, Progress{Done: 1, Total: 2, Missing: []string{"b"}}},
		{"another environment", []View{view("a", "trial", 2, false), view("b", "production", 1, false)}, Progress{Done: 1, Total: 1}},
		{"leaving", []View{view("a", "trial", 2, false), view("b", "trial", 1, true), leavingSilent}, Progress{Done: 1, Total: 1}},
		{"silent", []View{view("a", "trial", 2, false), silent}, Progress{Done: 1, Total: 2, Missing: []string{"silent"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			progress := count(c.views, "trial", func(s *messenger.InstanceStatus) bool { return s.GetRevision() >= 2 })
			require.Equal(t, c.progress, progress)
			require.Equal(t, len(c.progress.Missing) == 0, progress.Complete())
		})
	}
}
