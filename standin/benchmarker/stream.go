package benchmarker

import (
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// memoryStream is a log stream in memory that counts its appends by the kind of their first record.
type memoryStream struct {
	entries []replayer.Entry
	appends map[messenger.RecordKind]int
	// bytes is the total size of the records by their kind.
	bytes map[messenger.RecordKind]int
}

func newMemoryStream() *memoryStream {
	return &memoryStream{appends: map[messenger.RecordKind]int{}, bytes: map[messenger.RecordKind]int{}}
}

// end returns the offset of the next append.
func (s *memoryStream) end() identifier.Offset { return identifier.Offset(len(s.entries)) + 1 }

// append adds the records of one append and returns the offset of the first.
func (s *memoryStream) append(records [][]byte) identifier.Offset {
	first := s.end()
	for i, r := range records {
		s.entries = append(s.entries, replayer.Entry{Offset: s.end(), Record: r})
		envelope := &messenger.Record{}
		if proto.Unmarshal(r, envelope) != nil {
			continue
		}
		s.bytes[envelope.GetKind()] += len(r)
		if i == 0 {
			s.appends[envelope.GetKind()]++
		}
	}
	return first
}

// read returns the entries at and after an offset.
func (s *memoryStream) read(from identifier.Offset) []replayer.Entry { return s.entries[from-1:] }

// sum returns the total over all record kinds.
func sum(counts map[messenger.RecordKind]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// reset sets the counts to zero and keeps the entries.
func (s *memoryStream) reset() {
	clear(s.appends)
	clear(s.bytes)
}

// scopes returns the lease scopes that occur in the records of the stream.
func (s *memoryStream) scopes() map[string]bool {
	scopes := map[string]bool{}
	for _, e := range s.entries {
		envelope := &messenger.Record{}
		if proto.Unmarshal(e.Record, envelope) == nil && envelope.GetScope() != "" {
			scopes[envelope.GetScope()] = true
		}
	}
	return scopes
}
