package checker

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
)

// stream is an in-memory fake of one log stream; offsets start at 1.
type stream struct {
	records [][]byte
	// first is the first offset that is not trimmed.
	first identifier.Offset
	// appends counts the appends; one append holds one or more records.
	appends int
	// onAppend is called with every appended record.
	onAppend func([]byte)
}

func newStream(onAppend func([]byte)) *stream { return &stream{first: 1, onAppend: onAppend} }

// end returns the offset of the next append.
func (s *stream) end() identifier.Offset { return identifier.Offset(len(s.records)) + 1 }

// append appends records and returns the offset of the first.
func (s *stream) append(records [][]byte) identifier.Offset {
	at := s.end()
	s.appends++
	for _, r := range records {
		s.records = append(s.records, r)
		s.onAppend(r)
	}
	return at
}

// read returns up to limit records from an offset on; it reports false when that offset is trimmed.
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

// trim drops all but the latest keep records.
func (s *stream) trim(keep int) {
	if first := s.end() - identifier.Offset(min(keep, len(s.records))); first > s.first {
		s.first = first
	}
}
