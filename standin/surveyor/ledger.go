package surveyor

import (
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// ledger is a log stream in memory that counts its appends by the kind of their first record.
type memoryStream struct {
	entries []replayer.Entry
	appends map[messenger.RecordKind]int
	// bytes counts the records' bytes by the kind of the record.
	bytes map[messenger.RecordKind]int
}

func newMemoryStream() *memoryStream {
	return &memoryStream{appends: map[messenger.RecordKind]int{}, bytes: map[messenger.RecordKind]int{}}
}

func (l *memoryStream) end() identifier.Offset { return identifier.Offset(len(l.entries)) + 1 }

// append adds the records of one append and returns the offset of the first.
func (l *memoryStream) append(records [][]byte) identifier.Offset {
	first := l.end()
	for i, r := range records {
		l.entries = append(l.entries, replayer.Entry{Offset: l.end(), Record: r})
		envelope := &messenger.Record{}
		if proto.Unmarshal(r, envelope) != nil {
			continue
		}
		l.bytes[envelope.GetKind()] += len(r)
		if i == 0 {
			l.appends[envelope.GetKind()]++
		}
	}
	return first
}

// read returns the entries from an offset on.
func (l *memoryStream) read(from identifier.Offset) []replayer.Entry { return l.entries[from-1:] }

// sum adds up counts of all kinds.
func sum(counts map[messenger.RecordKind]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// reset starts the counts anew.
func (l *memoryStream) reset() {
	clear(l.appends)
	clear(l.bytes)
}

// scopes returns the lease scopes that records of the stream name.
func (l *memoryStream) scopes() map[string]bool {
	scopes := map[string]bool{}
	for _, e := range l.entries {
		envelope := &messenger.Record{}
		if proto.Unmarshal(e.Record, envelope) == nil && envelope.GetScope() != "" {
			scopes[envelope.GetScope()] = true
		}
	}
	return scopes
}
