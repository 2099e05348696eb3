package checker

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
)

// stream is a fake log stream.
type stream struct {
	records [][]byte
	first   identifier.Offset
	// appends counts the appends, each of one or more records.
	appends int
	// taken is told of every record that is appended.
	onAppend func([]byte)
}

func newStream(taken func([]byte)) *stream { return &stream{first: 1, onAppend: taken} }

func (s *stream) end() identifier.Offset { return identifier.Offset(len(s.records)) + 1 }

func (s *stream) append(records [][]byte) identifier.Offset {
	at := s.end()
	s.appends++
	for _, r := range records {
		s.records = append(s.records, r)
		s.onAppend(r)
	}
	return at
}

// read returns records from an offset on; false when that offset is trimmed.
func (s *stream) read(from identifier.Offset, limit int) ([]replayer.Entry, bool) {
	if from < s.first {
		return nil, false
	}
	var entries []replayer.Entry
	for o := from; o < s.end() && len(entries) < limit; o++ {
		entries = append(entries, replayer.Entry{Offset: o, Record: s.records[o-1]})
	}
	return entries, true
}

// trim drops all but the latest records.
func (s *stream) trim(keep int) {
	if first := s.end() - identifier.Offset(min(keep, len(s.records))); first > s.first {
		s.first = first
	}
}
